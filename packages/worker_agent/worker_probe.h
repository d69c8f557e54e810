#ifndef PACKAGES_WORKER_AGENT_WORKER_PROBE_H_
#define PACKAGES_WORKER_AGENT_WORKER_PROBE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "packages/core/log.h"
#include "packages/core/task.h"
#include "packages/worker_agent/worker_port.h"

namespace carobrill::worker_agent {

/// Timing of a probe, in ms.
struct WorkerProbeSettings {
  std::int64_t answer_timeout_ms = 400;
  std::int64_t retry_delay_ms = 150;
  /// How long an unanswered worker is asked whether it is the incarnation that
  /// a heartbeat names. Heartbeats follow more often than this.
  std::int64_t candidate_timeout_ms = 5'000;
  /// How long a worker may answer after it has announced its shutdown. If it
  /// still answers then, the announcement was not its own.
  std::int64_t shutdown_timeout_ms = 1'000;
};

/// True when `worker` may have returned the lists. Lists without a start time
/// prove only the id, and are believed of a process later than the `followed`
/// one.
inline bool MayHaveReturned(const workload::WorkerIncarnation& worker,
                            const LeaseReply& lists,
                            const workload::WorkerIncarnation& followed) {
  return lists.born_ms != 0 ? lists.born_ms == worker.born_ms
                            : worker.born_ms > followed.born_ms;
}

/// Callbacks of a probe to its agent.
struct WorkerProbeCallbacks {
  /// Returns the fence of all calls.
  std::function<std::uint64_t()> fence;
  /// Called when the worker has rejected the fence.
  std::function<void()> on_fenced;
  /// Returns whether the incarnation may have returned the lists.
  std::function<bool(const workload::WorkerIncarnation&, const LeaseReply&)>
      matches;
  /// Called with the lists of the incarnation that a heartbeat names, which
  /// were requested at `sent`.
  std::function<
      void(const WorkerHeartbeat&, const LeaseReply& lists, Instant sent)>
      on_verified;
};

/// What a worker that has announced its shutdown answers.
enum class ShutdownAnswer {
  /// Nothing. It may still be at work.
  kSilent,
  kAtWork,
  /// Its process has ended.
  kEnded,
};

/// Asks the worker itself before a message about it is believed, since anyone
/// may send heartbeats and shutdown notices. Each question is a request for the
/// worker's lists: it is addressed to an id, and the answer contains the start
/// time of the process.
template <WorkerPort Port>
class WorkerProbe {
 public:
  /// `port` must outlive the probe.
  WorkerProbe(Task& task,
              Port& port,
              WorkerProbeSettings settings,
              WorkerProbeCallbacks callbacks)
      : task(task),
        port(port),
        settings(settings),
        callbacks(std::move(callbacks)) {}

  ~WorkerProbe() { *this->alive = false; }

  WorkerProbe(const WorkerProbe&) = delete;
  WorkerProbe& operator=(const WorkerProbe&) = delete;

  /// Asks whether the worker is the incarnation that the heartbeat names, again
  /// and again while it does not answer. Calls `done` after the first question
  /// with whether it is.
  void VerifyHeartbeat(const WorkerHeartbeat& heartbeat,
                       std::function<void(bool)> done) {
    const auto& life = heartbeat.description.incarnation;
    const Instant expires_at =
        BootClock{}.Now().After(this->settings.candidate_timeout_ms);
    const auto known = this->Find(life);
    if (known != this->candidates.end()) {
      if (heartbeat.sequence >= known->heartbeat.sequence) {
        *known = {heartbeat, expires_at};
      }
      done(false);
      return;
    }
    if (this->candidates.size() >= kMaxCandidates) {
      this->candidates.erase(this->candidates.begin());
    }
    this->candidates.push_back({heartbeat, expires_at});
    this->AskForCandidate(life, std::move(done));
  }

  /// Asks until the incarnation has ended, or still answers after the timeout,
  /// and calls `on_answer` with that. Calls it with kSilent whenever there is
  /// no answer.
  void VerifyShutdown(const workload::WorkerIncarnation& life,
                      std::function<void(ShutdownAnswer)> on_answer) {
    this->AskForShutdown(
        life, BootClock{}.Now().After(this->settings.shutdown_timeout_ms),
        std::move(on_answer));
  }

 private:
  /// Bounds what the heartbeats of other senders occupy.
  static constexpr std::size_t kMaxCandidates = 4;

  /// A heartbeat of an incarnation that has not been verified.
  struct Candidate {
    WorkerHeartbeat heartbeat;
    Instant expires_at;
  };

  auto Find(const workload::WorkerIncarnation& life) {
    return std::ranges::find_if(
        this->candidates, [&](const Candidate& candidate) {
          return candidate.heartbeat.description.incarnation == life;
        });
  }

  template <typename Callback>
  void Ask(const workload::WorkerIncarnation& life, Callback callback) {
    const Instant now = BootClock{}.Now();
    this->port.RenewLeases(
        {this->callbacks.fence(), 0, 0, 0, life.id},
        now.After(this->settings.answer_timeout_ms),
        [this, alive = this->alive, sent = now,
         callback = std::move(callback)](const LeaseReply& reply) {
          if (!*alive) {
            return;
          }
          if (reply.result == OrderResult::kFenced) {
            this->callbacks.on_fenced();
          }
          callback(reply, sent);
        });
  }

  template <typename Step>
  void RetryLater(Step step) {
    this->task.PostAt(BootClock{}.Now().After(this->settings.retry_delay_ms),
                      [alive = this->alive, step = std::move(step)] {
                        if (*alive) {
                          step();
                        }
                      });
  }

  void AskForCandidate(const workload::WorkerIncarnation& life,
                       std::function<void(bool)> done) {
    this->Ask(life, [this, life, done = std::move(done)](
                        const LeaseReply& reply, Instant sent) {
      done(this->OnCandidateReply(life, reply, sent));
    });
  }

  bool OnCandidateReply(const workload::WorkerIncarnation& life,
                        const LeaseReply& reply,
                        Instant sent) {
    const auto candidate = this->Find(life);
    if (candidate == this->candidates.end()) {
      return false;
    }
    const bool answered = reply.result == OrderResult::kDone;
    if (answered && this->callbacks.matches(life, reply)) {
      const WorkerHeartbeat heartbeat = candidate->heartbeat;
      this->candidates.clear();
      this->callbacks.on_verified(heartbeat, reply, sent);
      return true;
    }
    if (answered || reply.result == OrderResult::kOtherIncarnation ||
        sent >= candidate->expires_at) {
      Log(LogLevel::kWarning, "heartbeat_refuted",
          {{"worker", life.id.value},
           {"born_ms", std::to_string(life.born_ms)},
           {"result", std::string(NameOf(reply.result))},
           {"answered_born_ms", std::to_string(reply.born_ms)}});
      this->candidates.erase(candidate);
      return false;
    }
    this->RetryLater([this, life] {
      if (this->Find(life) != this->candidates.end()) {
        this->AskForCandidate(life, [](bool) {});
      }
    });
    return false;
  }

  void AskForShutdown(const workload::WorkerIncarnation& life,
                      Instant deadline,
                      std::function<void(ShutdownAnswer)> on_answer) {
    this->Ask(life, [this, life, deadline, on_answer = std::move(on_answer)](
                        const LeaseReply& reply, Instant) {
      const ShutdownAnswer answer = ShutdownAnswerOf(life, reply);
      const bool timed_out = BootClock{}.Now() >= deadline;
      if (answer == ShutdownAnswer::kEnded ||
          (answer == ShutdownAnswer::kAtWork && timed_out)) {
        on_answer(answer);
        return;
      }
      if (answer == ShutdownAnswer::kSilent) {
        on_answer(answer);
      }
      this->RetryLater([this, life, deadline, on_answer] {
        this->AskForShutdown(life, deadline, on_answer);
      });
    });
  }

  static ShutdownAnswer ShutdownAnswerOf(
      const workload::WorkerIncarnation& life,
      const LeaseReply& reply) {
    switch (reply.result) {
      case OrderResult::kFenced:
        return ShutdownAnswer::kAtWork;
      case OrderResult::kDone:
        return reply.born_ms == 0 || reply.born_ms == life.born_ms
                   ? ShutdownAnswer::kAtWork
                   : ShutdownAnswer::kEnded;
      case OrderResult::kOtherIncarnation:
      case OrderResult::kUnreachable:
        return ShutdownAnswer::kEnded;
      default:
        return ShutdownAnswer::kSilent;
    }
  }

  Task& task;
  Port& port;
  WorkerProbeSettings settings;
  WorkerProbeCallbacks callbacks;
  std::vector<Candidate> candidates;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_WORKER_PROBE_H_
