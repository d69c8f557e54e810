#ifndef PACKAGES_GATEWAY_CALLER_API_H_
#define PACKAGES_GATEWAY_CALLER_API_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "packages/core/keyed_log.h"
#include "packages/core/log.h"
#include "packages/core/metrics.h"
#include "packages/core/task.h"
#include "packages/gateway/caller_types.h"
#include "packages/gateway/configuration.h"
#include "packages/gateway/job_view.h"
#include "packages/gateway/topics.h"
#include "packages/workload/record_codec.h"

namespace carobrill::gateway {

/// Limits for client calls, in ms unless noted otherwise.
struct CallerSettings {
  /// Age of the last confirmation of the configuration after which API keys and
  /// queues are no longer trusted. Must stay below the time within which a
  /// removed key has to stop working.
  std::int64_t max_configuration_age_ms = 3'800;
  /// Age of the job view after which job states are no longer reported.
  std::int64_t max_view_age_ms = 3'000;
  /// Timeout of one append if the client's deadline allows it. The slowest
  /// supported stores answer after about 700 ms.
  std::int64_t append_timeout_ms = 900;
  /// Age of the job view after which a gateway that cannot read the log rejects
  /// submissions and cancellations immediately, so that the client tries
  /// another gateway.
  std::int64_t max_append_view_age_ms = 2'000;
  /// Part of a client's deadline reserved for returning the response, which
  /// takes 3 ms, and for a process that runs a few times slower than usual.
  std::int64_t response_margin_ms = 60;
  std::int64_t retry_delay_ms = 80;
  /// Maximum number of attempts for an append that the log refuses.
  std::uint32_t max_refused_attempts = 4;
  /// Retry delay suggested to a client whose call was not done.
  std::int64_t retry_after_ms = 300;
  /// How long an unanswered append may still take effect. Until then the
  /// gateway does not answer kNotDone for the same job.
  std::int64_t late_append_window_ms = 15'000;
};

/// Inputs of the caller API. Set by the owner and called on its task.
struct CallerSources {
  /// Current configuration, or null before the first one has been read.
  std::function<const Configuration*()> configuration;
  /// Boot clock. The configuration was up to date at this time.
  std::function<Instant()> configuration_fresh_at;
  /// Boot clock. The view contains everything stored before this time.
  std::function<Instant()> view_fresh_at;
  /// True while all reads of the log fail.
  std::function<bool()> log_failing;
  /// True while direct calls of the log fail. Other paths may still work.
  std::function<bool()> direct_path_failing;
  /// True if the view may lack progress that was stored some time ago.
  std::function<bool()> progress_behind;
  /// @{
  /// Runs the callback with true once the view contains all jobs, or all
  /// progress, stored before the call, or with false if the log does not
  /// answer.
  std::function<void(std::function<void(bool)>)> barrier;
  std::function<void(std::function<void(bool)>)> progress_barrier;
  /// @}
};

/// Serves client calls: answers queries from the job view, and stores
/// submissions and cancellations in the log.
template <KeyedLog LogStore>
class CallerApi {
 public:
  CallerApi(Task& task,
            LogStore& log,
            const JobView& view,
            CallerSources sources,
            CallerSettings settings,
            MetricsRegistry& metrics)
      : task(task),
        log(log),
        view(view),
        sources(std::move(sources)),
        settings(settings),
        metrics(metrics) {}

  ~CallerApi() { *this->alive = false; }

  CallerApi(const CallerApi&) = delete;
  CallerApi& operator=(const CallerApi&) = delete;

  /// Handles one call; `respond` runs exactly once.
  void Handle(CallerRequest request, CallerResponder respond) {
    auto call = std::make_shared<Call>();
    call->request = std::move(request);
    call->began = BootClock{}.Now();
    call->respond = std::move(respond);
    if (const auto early = this->Resolve(*call)) {
      const bool not_done = early->outcome == CallerOutcome::kNotDone;
      this->Answer(*call, *early,
                   not_done ? "the configuration is missing or too old" : "");
      return;
    }
    switch (call->request.verb) {
      case CallerOperation::kSubmit:
        this->Submit(call);
        return;
      case CallerOperation::kCancel:
        this->Cancel(call);
        return;
      default:
        this->Query(call);
        return;
    }
  }

 private:
  struct Call {
    CallerRequest request;
    Queue queue;
    AccountId account;
    JobId job;
    Instant began;
    KeyedEntry entry;
    bool may_be_stored = false;
    std::uint32_t attempts = 0;
    CallerResponder respond;
  };
  using CallRef = std::shared_ptr<Call>;

  static CallerAnswer MakeAnswer(CallerOutcome outcome) {
    return {outcome, {}, 0, 0};
  }

  CallerAnswer NotDone() const {
    return {CallerOutcome::kNotDone, {}, 0, this->settings.retry_after_ms};
  }

  /// Resolves the queue, account and job of the call. Returns an answer if the
  /// call can be rejected without further work.
  std::optional<CallerAnswer> Resolve(Call& call) {
    const Configuration* configuration = this->sources.configuration();
    const Instant fresh_at = this->sources.configuration_fresh_at();
    if (configuration == nullptr ||
        call.began >= fresh_at.After(this->settings.max_configuration_age_ms)) {
      return this->NotDone();
    }
    const std::string path =
        call.request.path.substr(0, call.request.path.find('?'));
    const Queue* queue = configuration->FindQueue(call.request.host, path);
    if (queue == nullptr && !path.ends_with('/')) {
      queue = configuration->FindQueue(call.request.host, path + "/");
    }
    if (queue == nullptr) {
      return MakeAnswer(CallerOutcome::kUnknownQueue);
    }
    call.queue = *queue;
    if (path.size() > queue->path_prefix.size()) {
      call.job = JobId(path.substr(queue->path_prefix.size()));
    }
    const auto account =
        configuration->account_by_key.find(call.request.api_key);
    if (account != configuration->account_by_key.end()) {
      call.account = account->second;
    } else if (!queue->anonymous) {
      return MakeAnswer(CallerOutcome::kUnknownKey);
    }
    return this->CheckFormat(call, *configuration);
  }

  std::optional<CallerAnswer> CheckFormat(const Call& call,
                                          const Configuration& configuration) {
    const CallerOperation verb = call.request.verb;
    if (verb == CallerOperation::kUnknown) {
      return MakeAnswer(CallerOutcome::kMalformed);
    }
    if (verb == CallerOperation::kSubmit &&
        call.request.body_bytes > configuration.max_body_bytes) {
      return MakeAnswer(CallerOutcome::kTooLarge);
    }
    const bool needs_job = verb != CallerOperation::kQuery;
    if ((needs_job && !IsJobId(call.job)) ||
        (verb == CallerOperation::kSubmit && !call.request.spec.has_value())) {
      return MakeAnswer(CallerOutcome::kMalformed);
    }
    return std::nullopt;
  }

  static bool IsJobId(const JobId& id) {
    constexpr std::size_t kDigits = 16;
    return id.value.size() == kDigits &&
           std::ranges::all_of(
               id.value, [](unsigned char c) { return std::isxdigit(c) != 0; });
  }

  void Submit(const CallRef& call) {
    if (this->view.Find(call->job) != nullptr) {
      this->Answer(*call, MakeAnswer(CallerOutcome::kAccepted), "known");
      return;
    }
    workload::Submission submission;
    submission.id = call->job;
    submission.account = call->account;
    submission.queue = call->queue.name;
    submission.service = call->queue.service;
    submission.priority = call->queue.priority;
    submission.max_attempts = call->queue.max_attempts;
    submission.stretch_percent = call->queue.stretch_percent;
    submission.objective_slack_ms = call->queue.objective_slack_ms;
    submission.advice = call->queue.advice;
    submission.accepted_at = WallClock{}.Now();
    submission.spec = std::move(*call->request.spec);
    call->entry = {JobKey(call->job), workload::EncodeSubmission(submission)};
    this->Store(call, CallerOutcome::kAccepted);
  }

  void Cancel(const CallRef& call) {
    if (const workload::Job* job = this->FindVisible(*call)) {
      if (workload::IsFinal(job->phase)) {
        this->Answer(*call, MakeAnswer(CallerOutcome::kUnknownJob), "ended");
        return;
      }
      call->entry = {CancelKey(call->job), "1"};
      this->Store(call, CallerOutcome::kCancelAccepted);
      return;
    }
    this->sources.barrier([this, alive = this->alive, call](bool complete) {
      if (!*alive) {
        return;
      }
      if (!complete) {
        this->Answer(*call, this->NotDone(), "view incomplete");
      } else if (this->FindVisible(*call) != nullptr) {
        this->Cancel(call);
      } else {
        this->Answer(*call, MakeAnswer(CallerOutcome::kUnknownJob), "");
      }
    });
  }

  /// Returns the job of the call if the caller's account may see it, otherwise
  /// null.
  const workload::Job* FindVisible(const Call& call) const {
    const workload::Job* job = this->view.Find(call.job);
    const bool own =
        job != nullptr &&
        (call.account.empty() || job->submission.account == call.account);
    return own ? job : nullptr;
  }

  void Query(const CallRef& call) {
    const bool stale = call->began >= this->sources.view_fresh_at().After(
                                          this->settings.max_view_age_ms);
    if (stale) {
      this->Answer(*call, this->NotDone(), "view too old");
      return;
    }
    if (call->job.empty()) {
      CallerAnswer answer = MakeAnswer(CallerOutcome::kQueueCount);
      answer.count = this->view.CountQueued(call->queue.name);
      this->Answer(*call, answer, "");
      return;
    }
    if (const workload::Job* job = this->FindVisible(*call)) {
      this->AnswerNewestState(call, *job);
      return;
    }
    this->sources.barrier([this, alive = this->alive, call](bool complete) {
      if (!*alive) {
        return;
      }
      if (const workload::Job* job = this->FindVisible(*call)) {
        this->AnswerState(*call, *job);
      } else if (!complete) {
        this->Answer(*call, this->NotDone(), "view incomplete");
      } else {
        this->Answer(*call, MakeAnswer(CallerOutcome::kUnknownJob), "");
      }
    });
  }

  // The view is behind the log while the gateway gathers records, and a client
  // waits for the end of its job. A final state does not change any more. If
  // the log does not answer, the view is recent enough (max_view_age_ms).
  void AnswerNewestState(const CallRef& call, const workload::Job& job) {
    if (workload::IsFinal(job.phase) || !this->sources.progress_behind()) {
      this->AnswerState(*call, job);
      return;
    }
    this->sources.progress_barrier([this, alive = this->alive, call](bool) {
      if (!*alive) {
        return;
      }
      if (const workload::Job* known = this->FindVisible(*call)) {
        this->AnswerState(*call, *known);
      } else {
        this->Answer(*call, MakeAnswer(CallerOutcome::kUnknownJob), "removed");
      }
    });
  }

  void AnswerState(Call& call, const workload::Job& job) {
    CallerAnswer answer = MakeAnswer(CallerOutcome::kJobState);
    answer.state = std::string(NameOf(job.phase));
    this->Answer(call, answer, "");
  }

  /// Returns an answer if the call is no longer permitted. Between the first
  /// check and an append, the process may have been suspended.
  std::optional<CallerAnswer> FindRefusal(const Call& call, Instant now) const {
    const Configuration* configuration = this->sources.configuration();
    if (configuration == nullptr ||
        now >= this->sources.configuration_fresh_at().After(
                   this->settings.max_configuration_age_ms)) {
      return this->NotDone();
    }
    if (!call.queue.anonymous &&
        !configuration->account_by_key.contains(call.request.api_key)) {
      return MakeAnswer(CallerOutcome::kUnknownKey);
    }
    return std::nullopt;
  }

  // An unanswered append may still take effect later, so the call must not be
  // answered with kNotDone. The append is not retried: this gateway may be
  // partitioned from the log, and the client reaches another gateway on its
  // next attempt. While direct calls fail, an append is sent only after a read
  // has succeeded on some path, so that a call that no path can store can still
  // be refused.
  void Store(const CallRef& call, CallerOutcome success) {
    if (this->GiveUpIfHopeless(*call)) {
      return;
    }
    if (!this->sources.direct_path_failing()) {
      this->Append(call, success);
      return;
    }
    this->sources.barrier(
        [this, alive = this->alive, call, success](bool complete) {
          if (!*alive) {
            return;
          }
          if (!complete) {
            this->GiveUp(*call, "cut off from the log");
          } else if (!this->GiveUpIfHopeless(*call)) {
            this->Append(call, success);
          }
        });
  }

  /// Answers the call and returns true if it is no longer permitted or cannot
  /// be stored now.
  bool GiveUpIfHopeless(Call& call) {
    const Instant now = BootClock{}.Now();
    if (const auto refusal = this->FindRefusal(call, now)) {
      this->Answer(call,
                   this->MayBeStored(call)
                       ? MakeAnswer(CallerOutcome::kOutcomeUnknown)
                       : *refusal,
                   "the permission has ended meanwhile");
      return true;
    }
    if (this->TimeLeftMs(call, now) <= 0) {
      this->GiveUp(call, "deadline");
      return true;
    }
    if (this->sources.log_failing() ||
        now >= this->sources.view_fresh_at().After(
                   this->settings.max_append_view_age_ms)) {
      this->GiveUp(call, "cut off from the log");
      return true;
    }
    return false;
  }

  /// Time left for an append before the response has to be sent.
  std::int64_t TimeLeftMs(const Call& call, Instant now) const {
    return call.request.deadline.RemainingMs(now) -
           this->settings.response_margin_ms;
  }

  void Append(const CallRef& call, CallerOutcome success) {
    const Instant now = BootClock{}.Now();
    ++call->attempts;
    KeyedAppend append;
    append.topic = kIntakeTopic;
    append.entries = {call->entry};
    append.deadline = now.After(std::min(this->TimeLeftMs(*call, now),
                                         this->settings.append_timeout_ms));
    this->log.Append(append, [this, alive = this->alive, call,
                              success](const KeyedAppendReply& reply) {
      if (*alive) {
        this->OnStored(call, success, reply.failure);
      }
    });
  }

  void OnStored(const CallRef& call,
                CallerOutcome success,
                KeyedLogFailure failure) {
    if (failure == KeyedLogFailure::kNone) {
      this->Answer(*call, MakeAnswer(success), "");
      return;
    }
    const bool refused = failure == KeyedLogFailure::kRefused;
    if (!refused) {
      call->may_be_stored = true;
      this->RememberUnanswered(call->job);
    }
    if (!refused || call->attempts >= this->settings.max_refused_attempts) {
      this->GiveUp(*call, NameOf(failure));
      return;
    }
    this->task.PostAt(BootClock{}.Now().After(this->settings.retry_delay_ms),
                      [this, alive = this->alive, call, success] {
                        if (*alive) {
                          this->Store(call, success);
                        }
                      });
  }

  // Remembers the job because the append of an earlier attempt by the client
  // may still take effect later.
  void RememberUnanswered(const JobId& job) {
    const Instant now = BootClock{}.Now();
    std::erase_if(this->unanswered,
                  [&](const auto& entry) { return entry.second <= now; });
    this->unanswered[job] = now.After(this->settings.late_append_window_ms);
  }

  bool MayBeStored(const Call& call) const {
    const auto earlier = this->unanswered.find(call.job);
    return call.may_be_stored || (earlier != this->unanswered.end() &&
                                  BootClock{}.Now() < earlier->second);
  }

  void GiveUp(Call& call, std::string_view reason) {
    this->Answer(call,
                 this->MayBeStored(call)
                     ? MakeAnswer(CallerOutcome::kOutcomeUnknown)
                     : this->NotDone(),
                 reason);
  }

  void Answer(Call& call, const CallerAnswer& answer, std::string_view reason) {
    const std::int64_t age_ms = BootClock{}.Now().ms - call.began.ms;
    this->metrics
        .GetCounter("carobrill_caller_answers_total",
                    "Answers to calls of clients, by outcome.",
                    {{"outcome", std::string(NameOf(answer.outcome))}})
        .Increment();
    this->metrics
        .GetHistogram("carobrill_caller_answer_seconds",
                      "Time to answer a call of a client.", LatencyBounds())
        .Observe(static_cast<double>(age_ms) / 1000);
    const bool routine = call.request.verb == CallerOperation::kQuery &&
                         (answer.outcome == CallerOutcome::kJobState ||
                          answer.outcome == CallerOutcome::kQueueCount);
    Log(routine ? LogLevel::kDebug : LogLevel::kInfo, "call_answered",
        {{"job", call.job.value},
         {"queue", call.queue.name},
         {"account", call.account.value},
         {"outcome", std::string(NameOf(answer.outcome))},
         {"reason", std::string(reason)},
         {"attempts", std::to_string(call.attempts)},
         {"age_ms", std::to_string(age_ms)}});
    call.respond(answer);
  }

  Task& task;
  LogStore& log;
  const JobView& view;
  CallerSources sources;
  CallerSettings settings;
  MetricsRegistry& metrics;
  /// Jobs with an unanswered append, with the time until which it may still
  /// take effect (boot clock).
  std::map<JobId, Instant> unanswered;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_CALLER_API_H_
