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

/// Operations that the API requires of an entry. All calls are made on the HTTP
/// server's task and must not block; each callback must be called exactly once,
/// from any thread.
template <typename B>
concept ApiBackend = requires(B& backend,
                              RequestCommand request,
                              JobCommand job,
                              CancelCommand cancel,
                              PublishRulesCommand publish,
                              DrainCommand drain,
                              JobQuery jobs,
                              PageQuery page,
                              JobId id,
                              std::string text) {
  // Executes a short request; the answer must have the command's `request`.
  backend.ExecuteRequest(request, ApiResultCallback<RequestResult>());
  // Queues a job, or rejects it with a Problem.
  backend.SubmitJob(job, ApiResultCallback<JobView>());
  backend.CancelJob(cancel, ApiResultCallback<JobView>());
  backend.GetJob(id, ApiResultCallback<JobView>());
  backend.ListJobs(jobs, ApiResultCallback<Page<JobView>>());
  backend.GetRules(ApiResultCallback<RulesView>());
  // Returns the new version, kRulesConflict or kRulesInvalid.
  backend.Publish(publish, ApiResultCallback<RulesView>());
  backend.CheckRules(text, ApiResultCallback<RulesCheckView>());
  backend.ListRuleVersions(page, ApiResultCallback<Page<RuleVersionView>>());
  backend.ListAccounts(page, ApiResultCallback<Page<AccountView>>());
  backend.ListWorkers(page, ApiResultCallback<Page<WorkerView>>());
  backend.ListEndpoints(page, ApiResultCallback<Page<EndpointView>>());
  backend.ListInstances(page, ApiResultCallback<Page<InstanceView>>());
  backend.ListAudit(page, ApiResultCallback<Page<AuditView>>());
  backend.SetWorkerDrain(drain, ApiResultCallback<WorkerView>());
  // Whether the entry has recovered the state it needs, regardless of draining.
  { backend.CurrentReadiness() } -> std::same_as<Readiness>;
};

namespace detail {

/// Builds an HTTP response with a JSON body.
http::HttpResponse JsonResponse(int status, std::string body);

/// Builds the response of /readyz.
http::HttpResponse ReadyResponse(const Readiness& readiness, bool draining);

/// Returns the Problem to reject a call to `route` with, if it is rejected.
/// `may_be_retry` tells whether the call may be a retry of an earlier one.
std::optional<Problem> CheckAdmission(ApiRoute route,
                                      const Readiness& readiness,
                                      bool draining,
                                      bool may_be_retry);

/// True when the call has an Idempotency-Key and its body does not assert with
/// `first_attempt` that the key is new.
bool MayBeRetry(const http::HttpRequest& request);

/// Returns the client's X-Request-Id if it is valid, else an empty string.
std::string GetClientRequestId(const http::HttpRequest& request);

}  // namespace detail

/// The HTTP API of an entry (docs/design.md, section 6.4). Converts HTTP
/// requests to backend commands and backend results to HTTP responses.
/// `backend` and `metrics` must outlive the exchanges.
template <ApiBackend Backend>
class HttpApi {
 public:
  /// `id_prefix` is the prefix of generated request ids. It identifies the
  /// instance and its incarnation, so that ids are unique across entries.
  HttpApi(Backend& backend,
          MetricsRegistry& metrics,
          ApiLimits limits,
          std::string id_prefix)
      : backend(backend),
        metrics(metrics),
        api_metrics(std::make_shared<ApiMetrics>(metrics)),
        limits(limits),
        id_prefix(std::move(id_prefix)),
        drain_tracker(std::make_shared<DrainTracker>()) {}

  /// Handles one HTTP request; can be used as http::HttpHandler.
  void Handle(const http::HttpRequest& request, http::HttpResponder respond) {
    const Answer<RouteMatch> match = MatchRoute(request.method, request.path);
    const auto* found = std::get_if<RouteMatch>(&match);
    const ApiRoute route = found == nullptr ? ApiRoute::kUnknown : found->route;
    auto exchange = std::make_shared<ApiExchange>(
        std::move(respond), this->drain_tracker, this->api_metrics, route,
        detail::GetClientRequestId(request));
    if (found == nullptr) {
      exchange->Send(std::get<Problem>(match));
      return;
    }
    const auto rejection = detail::CheckAdmission(
        route, this->backend.CurrentReadiness(),
        this->drain_tracker->Draining(), detail::MayBeRetry(request));
    if (rejection.has_value()) {
      exchange->Send(*rejection);
      return;
    }
    this->Dispatch(request, *found, exchange);
  }

  /// Makes /readyz fail and rejects new work. `drained` is called once, when
  /// every request in progress has a response; the HTTP server may still be
  /// sending the last one (see http::HttpServer::NotifyWhenIdle).
  void BeginDrain(std::function<void()> drained = {}) {
    this->drain_tracker->BeginDrain(std::move(drained));
  }

  /// Number of requests that have no response yet.
  std::size_t InProgress() const { return this->drain_tracker->InProgress(); }

 private:
  using Exchange = std::shared_ptr<ApiExchange>;

  /// Returns a callback that sends the backend's result as the response of
  /// `exchange`.
  template <typename T>
  ApiResultCallback<T> ReplyTo(Exchange exchange, int status = 200) {
    return [exchange = std::move(exchange), status](Answer<T> answer) {
      if (const auto* problem = std::get_if<Problem>(&answer)) {
        exchange->Send(*problem);
        return;
      }
      exchange->Send(detail::JsonResponse(status, Render(std::get<T>(answer))));
    };
  }

  /// Calls `handle` with the parsed command, or sends the parse error.
  template <typename T, typename Handler>
  void WithParsed(Answer<T> parsed,
                  const Exchange& exchange,
                  Handler&& handle) {
    if (const auto* problem = std::get_if<Problem>(&parsed)) {
      exchange->Send(*problem);
      return;
    }
    handle(std::move(std::get<T>(parsed)));
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
            this->backend.CurrentReadiness(), this->drain_tracker->Draining()));
      default:
        return this->DispatchList(request, match, exchange);
    }
  }

  // Checks the request id of each answer and never forwards a mismatched one,
  // which would disclose the answer to another client's request.
  void ExecuteRequest(const http::HttpRequest& request,
                      const std::string& service,
                      const Exchange& exchange) {
    this->WithParsed(
        ParseRequestCommand(request, service, this->limits, BootClock{}.Now()),
        exchange, [&](RequestCommand command) {
          command.request =
              this->id_prefix + "-" + std::to_string(this->next_request_id++);
          auto reply = this->template ReplyTo<RequestResult>(exchange);
          auto verified_reply = [id = command.request,
                                 reply](Answer<RequestResult> answer) {
            const auto* value = std::get_if<RequestResult>(&answer);
            if (value != nullptr && value->request != id) {
              reply(Problem{ApiError::kInternal,
                            "the answer belonged to another request"});
              return;
            }
            reply(std::move(answer));
          };
          this->backend.ExecuteRequest(std::move(command),
                                       std::move(verified_reply));
        });
  }

  void DispatchJob(const http::HttpRequest& request,
                   const RouteMatch& match,
                   const Exchange& exchange) {
    if (match.route == ApiRoute::kSubmitJob) {
      this->WithParsed(
          ParseJobCommand(request, this->limits, WallClock{}.Now()), exchange,
          [&](JobCommand command) {
            this->backend.SubmitJob(
                std::move(command),
                this->template ReplyTo<JobView>(exchange, 201));
          });
    } else if (match.route == ApiRoute::kListJobs) {
      this->WithParsed(ParseJobQuery(request), exchange, [&](JobQuery query) {
        this->backend.ListJobs(std::move(query),
                               this->template ReplyTo<Page<JobView>>(exchange));
      });
    } else if (match.route == ApiRoute::kCancelJob) {
      this->WithParsed(ParseCancelCommand(request, match.name), exchange,
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
      this->WithParsed(ParsePublishRules(request, this->limits), exchange,
                       [&](PublishRulesCommand command) {
                         this->backend.Publish(
                             std::move(command),
                             this->template ReplyTo<RulesView>(exchange));
                       });
    } else if (match.route == ApiRoute::kCheckRules) {
      this->WithParsed(ParseRulesText(request, this->limits), exchange,
                       [&](std::string text) {
                         this->backend.CheckRules(
                             std::move(text),
                             this->template ReplyTo<RulesCheckView>(exchange));
                       });
    } else if (match.route == ApiRoute::kListRuleVersions) {
      this->WithParsed(ParsePageQuery(request), exchange, [&](PageQuery query) {
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
    this->WithParsed(ParsePageQuery(request), exchange, [&](PageQuery query) {
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
    this->WithParsed(
        ParseDrainCommand(request, match.name, drain, this->limits), exchange,
        [&](DrainCommand command) {
          this->backend.SetWorkerDrain(
              std::move(command), this->template ReplyTo<WorkerView>(exchange));
        });
  }

  Backend& backend;
  MetricsRegistry& metrics;
  std::shared_ptr<ApiMetrics> api_metrics;
  ApiLimits limits;
  std::string id_prefix;
  std::shared_ptr<DrainTracker> drain_tracker;
  std::atomic<std::uint64_t> next_request_id = 1;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_HTTP_API_H_
