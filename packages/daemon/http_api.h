#ifndef PACKAGES_DAEMON_HTTP_API_H_
#define PACKAGES_DAEMON_HTTP_API_H_

#include <atomic>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "packages/core/metrics.h"
#include "packages/core/time.h"
#include "packages/daemon/api_codec.h"
#include "packages/daemon/api_exchange.h"
#include "packages/daemon/api_metrics.h"
#include "packages/daemon/api_route.h"
#include "packages/daemon/api_types.h"
#include "packages/http/http_types.h"

namespace carobrill::daemon {

/// What the API asks of the entry. All calls are made on the HTTP server's
/// task and must not wait; each callback is called once, from any thread.
template <typename B>
concept ApiBackend = requires(B& backend,
                              RequestCommand request,
                              JobCommand job,
                              CancelCommand cancel,
                              PublishRules publish,
                              DrainCommand drain,
                              JobQuery jobs,
                              PageQuery page,
                              JobId id,
                              std::string text) {
  // Runs a short request; the answer carries the command's `request`.
  backend.ExecuteRequest(request, AnswerCallback<RequestAnswer>());
  // Queues a job, or refuses it with the reason.
  backend.SubmitJob(job, AnswerCallback<JobView>());
  backend.CancelJob(cancel, AnswerCallback<JobView>());
  backend.GetJob(id, AnswerCallback<JobView>());
  backend.ListJobs(jobs, AnswerCallback<Page<JobView>>());
  backend.GetRules(AnswerCallback<RulesView>());
  // Answers the new version, or kRulesConflict, or kRulesInvalid.
  backend.Publish(publish, AnswerCallback<RulesView>());
  backend.CheckRules(text, AnswerCallback<RulesCheckView>());
  backend.ListRuleVersions(page, AnswerCallback<Page<RuleVersionView>>());
  backend.ListAccounts(page, AnswerCallback<Page<AccountView>>());
  backend.ListWorkers(page, AnswerCallback<Page<WorkerView>>());
  backend.ListEndpoints(page, AnswerCallback<Page<EndpointView>>());
  backend.ListInstances(page, AnswerCallback<Page<InstanceView>>());
  backend.ListAudit(page, AnswerCallback<Page<AuditView>>());
  backend.SetWorkerDrain(drain, AnswerCallback<WorkerView>());
  // Whether the entry has the state it needs; does not cover draining.
  { backend.CurrentReadiness() } -> std::same_as<Readiness>;
};

namespace detail {

/// An HTTP answer with a JSON body.
http::HttpResponse JsonResponse(int status, std::string body);

/// The answer of /readyz.
http::HttpResponse ReadyResponse(const Readiness& readiness, bool draining);

/// The problem with which `route` is refused now, if it is.
std::optional<Problem> RefusalOf(ApiRoute route,
                                 const Readiness& readiness,
                                 bool draining,
                                 bool may_repeat);

/// True when the call has an Idempotency-Key and its body does not vouch, by
/// `first_attempt`, that the key is new.
bool MayRepeat(const http::HttpRequest& request);

/// The caller's X-Request-Id when it has a valid form, else empty.
std::string CallerIdOf(const http::HttpRequest& request);

}  // namespace detail

/// The HTTP API of an entry (docs/design.md, section 6.4). It turns HTTP
/// requests into commands for the backend and answers into HTTP responses.
/// `backend` and `metrics` must outlive the exchanges.
template <ApiBackend Backend>
class HttpApi {
 public:
  /// `id_prefix` starts the ids of requests; it names the instance and its
  /// incarnation, so that ids are unique across entries.
  HttpApi(Backend& backend,
          MetricsRegistry& metrics,
          ApiLimits limits,
          std::string id_prefix)
      : backend(backend),
        metrics(metrics),
        api_metrics(std::make_shared<ApiMetrics>(metrics)),
        limits(limits),
        id_prefix(std::move(id_prefix)),
        gate(std::make_shared<DrainGate>()) {}

  /// Handles one request; for use as http::HttpHandler.
  void Handle(const http::HttpRequest& request, http::HttpResponder respond) {
    const Answer<RouteMatch> match = MatchRoute(request.method, request.path);
    const auto* found = std::get_if<RouteMatch>(&match);
    const ApiRoute route = found == nullptr ? ApiRoute::kUnknown : found->route;
    auto exchange = std::make_shared<ApiExchange>(
        std::move(respond), this->gate, this->api_metrics, route,
        detail::CallerIdOf(request));
    if (found == nullptr) {
      exchange->Send(std::get<Problem>(match));
      return;
    }
    const auto refusal =
        detail::RefusalOf(route, this->backend.CurrentReadiness(),
                          this->gate->Draining(), detail::MayRepeat(request));
    if (refusal.has_value()) {
      exchange->Send(*refusal);
      return;
    }
    this->Dispatch(request, *found, exchange);
  }

  /// Makes /readyz fail and refuses new work. `drained` runs once, when every
  /// request in progress has its answer; the HTTP server may still be sending
  /// the last one (see http::HttpServer::WhenIdle).
  void BeginDrain(std::function<void()> drained = {}) {
    this->gate->BeginDrain(std::move(drained));
  }

  /// Requests that have no answer yet.
  std::size_t InProgress() const { return this->gate->InProgress(); }

 private:
  using Exchange = std::shared_ptr<ApiExchange>;

  /// A callback that sends the backend's answer to the caller of `exchange`.
  template <typename T>
  AnswerCallback<T> ReplyTo(Exchange exchange, int status = 200) {
    return [exchange = std::move(exchange), status](Answer<T> answer) {
      if (const auto* problem = std::get_if<Problem>(&answer)) {
        exchange->Send(*problem);
        return;
      }
      exchange->Send(detail::JsonResponse(status, Render(std::get<T>(answer))));
    };
  }

  /// Calls `use` with a parsed command, or sends the problem of parsing it.
  template <typename T, typename Use>
  void With(Answer<T> parsed, const Exchange& exchange, Use&& use) {
    if (const auto* problem = std::get_if<Problem>(&parsed)) {
      exchange->Send(*problem);
      return;
    }
    use(std::move(std::get<T>(parsed)));
  }

  void Dispatch(const http::HttpRequest& request,
                const RouteMatch& match,
                const Exchange& exchange) {
    switch (match.route) {
      case ApiRoute::kExecuteRequest:
        return this->ExecuteRequest(request, match.name, exchange);
      case ApiRoute::kSubmitJob:
      case ApiRoute::kListJobs:
      case ApiRoute::kGetJob:
      case ApiRoute::kCancelJob:
        return this->DispatchJob(request, match, exchange);
      case ApiRoute::kGetRules:
      case ApiRoute::kPublishRules:
      case ApiRoute::kCheckRules:
      case ApiRoute::kListRuleVersions:
        return this->DispatchRules(request, match, exchange);
      case ApiRoute::kDrainWorker:
      case ApiRoute::kUndrainWorker:
        return this->DrainWorker(request, match, exchange);
      case ApiRoute::kMetrics:
        return exchange->Send(http::HttpResponse{
            200, this->metrics.Render(), "text/plain; version=0.0.4", {}});
      case ApiRoute::kHealth:
        return exchange->Send(detail::JsonResponse(200, "{\"status\":\"ok\"}"));
      case ApiRoute::kReady:
        return exchange->Send(detail::ReadyResponse(
            this->backend.CurrentReadiness(), this->gate->Draining()));
      default:
        return this->DispatchList(request, match, exchange);
    }
  }

  // An answer that carries another request's id is never passed on: its caller
  // would read the answer to somebody else's request.
  void ExecuteRequest(const http::HttpRequest& request,
                      const std::string& service,
                      const Exchange& exchange) {
    this->With(
        ParseRequestCommand(request, service, this->limits, BootClock{}.Now()),
        exchange, [&](RequestCommand command) {
          command.request =
              this->id_prefix + "-" + std::to_string(this->next_request++);
          auto reply = this->template ReplyTo<RequestAnswer>(exchange);
          auto checked = [id = command.request,
                          reply](Answer<RequestAnswer> answer) {
            const auto* value = std::get_if<RequestAnswer>(&answer);
            if (value != nullptr && value->request != id) {
              reply(Problem{ApiError::kInternal,
                            "the answer belonged to another request"});
              return;
            }
            reply(std::move(answer));
          };
          this->backend.ExecuteRequest(std::move(command), std::move(checked));
        });
  }

  void DispatchJob(const http::HttpRequest& request,
                   const RouteMatch& match,
                   const Exchange& exchange) {
    if (match.route == ApiRoute::kSubmitJob) {
      this->With(ParseJobCommand(request, this->limits, WallClock{}.Now()),
                 exchange, [&](JobCommand command) {
                   this->backend.SubmitJob(
                       std::move(command),
                       this->template ReplyTo<JobView>(exchange, 201));
                 });
    } else if (match.route == ApiRoute::kListJobs) {
      this->With(ParseJobQuery(request), exchange, [&](JobQuery query) {
        this->backend.ListJobs(std::move(query),
                               this->template ReplyTo<Page<JobView>>(exchange));
      });
    } else if (match.route == ApiRoute::kCancelJob) {
      this->With(ParseCancelCommand(request, match.name), exchange,
                 [&](CancelCommand command) {
                   this->backend.CancelJob(
                       std::move(command),
                       this->template ReplyTo<JobView>(exchange));
                 });
    } else {
      this->backend.GetJob(JobId(match.name),
                           this->template ReplyTo<JobView>(exchange));
    }
  }

  void DispatchRules(const http::HttpRequest& request,
                     const RouteMatch& match,
                     const Exchange& exchange) {
    if (match.route == ApiRoute::kPublishRules) {
      this->With(ParsePublishRules(request, this->limits), exchange,
                 [&](PublishRules command) {
                   this->backend.Publish(
                       std::move(command),
                       this->template ReplyTo<RulesView>(exchange));
                 });
    } else if (match.route == ApiRoute::kCheckRules) {
      this->With(ParseRulesText(request, this->limits), exchange,
                 [&](std::string text) {
                   this->backend.CheckRules(
                       std::move(text),
                       this->template ReplyTo<RulesCheckView>(exchange));
                 });
    } else if (match.route == ApiRoute::kListRuleVersions) {
      this->With(ParsePageQuery(request), exchange, [&](PageQuery query) {
        this->backend.ListRuleVersions(
            std::move(query),
            this->template ReplyTo<Page<RuleVersionView>>(exchange));
      });
    } else {
      this->backend.GetRules(this->template ReplyTo<RulesView>(exchange));
    }
  }

  void DispatchList(const http::HttpRequest& request,
                    const RouteMatch& match,
                    const Exchange& exchange) {
    this->With(ParsePageQuery(request), exchange, [&](PageQuery query) {
      switch (match.route) {
        case ApiRoute::kListAccounts:
          return this->backend.ListAccounts(
              std::move(query),
              this->template ReplyTo<Page<AccountView>>(exchange));
        case ApiRoute::kListWorkers:
          return this->backend.ListWorkers(
              std::move(query),
              this->template ReplyTo<Page<WorkerView>>(exchange));
        case ApiRoute::kListEndpoints:
          return this->backend.ListEndpoints(
              std::move(query),
              this->template ReplyTo<Page<EndpointView>>(exchange));
        case ApiRoute::kListInstances:
          return this->backend.ListInstances(
              std::move(query),
              this->template ReplyTo<Page<InstanceView>>(exchange));
        case ApiRoute::kListAudit:
          return this->backend.ListAudit(
              std::move(query),
              this->template ReplyTo<Page<AuditView>>(exchange));
        default:
          return exchange->Send(
              Problem{ApiError::kNotFound, "there is no such list"});
      }
    });
  }

  void DrainWorker(const http::HttpRequest& request,
                   const RouteMatch& match,
                   const Exchange& exchange) {
    const bool drain = match.route == ApiRoute::kDrainWorker;
    this->With(ParseDrainCommand(request, match.name, drain, this->limits),
               exchange, [&](DrainCommand command) {
                 this->backend.SetWorkerDrain(
                     std::move(command),
                     this->template ReplyTo<WorkerView>(exchange));
               });
  }

  Backend& backend;
  MetricsRegistry& metrics;
  std::shared_ptr<ApiMetrics> api_metrics;
  ApiLimits limits;
  std::string id_prefix;
  std::shared_ptr<DrainGate> gate;
  std::atomic<std::uint64_t> next_request = 1;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_HTTP_API_H_
