#ifndef PACKAGES_WORKER_AGENT_WORKER_AGENT_H_
#define PACKAGES_WORKER_AGENT_WORKER_AGENT_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "packages/core/log.h"
#include "packages/core/metrics.h"
#include "packages/core/task.h"
#include "packages/rpc/rpc_types.h"
#include "packages/rpc/worker_control.pb.h"
#include "packages/worker_agent/exchange_codec.h"
#include "packages/worker_agent/fencing_token.h"
#include "packages/worker_agent/heartbeat_order.h"
#include "packages/worker_agent/lease_authority.h"
#include "packages/worker_agent/lease_timer.h"
#include "packages/worker_agent/order_sender.h"
#include "packages/worker_agent/pace_controller.h"
#include "packages/worker_agent/report_channel.h"
#include "packages/worker_agent/run_table.h"
#include "packages/worker_agent/silence_monitor.h"
#include "packages/worker_agent/worker_agent_settings.h"
#include "packages/worker_agent/worker_clock.h"
#include "packages/worker_agent/worker_log.h"
#include "packages/worker_agent/worker_port.h"
#include "packages/worker_agent/worker_probe.h"

namespace carobrill::worker_agent {

/// Agent of one worker: forwards the planner's orders, renews the worker's
/// leases while the planner is reachable, and reports running and ended runs.
template <WorkerPort Port>
class WorkerAgent {
 public:
  /// `port` must outlive the agent. `incarnation` is the start time of the
  /// process (Unix time in µs).
  WorkerAgent(Task& task,
              Port& port,
              std::uint64_t incarnation,
              WorkerAgentSettings settings,
              MetricsRegistry& metrics)
      : task(task),
        port(port),
        incarnation(incarnation),
        settings(std::move(settings)),
        reports(task,
                this->settings.instance,
                incarnation,
                this->ReportCallbacks()),
        orders(port, metrics, this->settings.answer_timeout_ms),
        runs(this->settings.runs),
        pace(this->settings.pace),
        probe(task, port, this->settings.probe, this->ProbeCallbacks()),
        heartbeat_order(this->settings.max_late_heartbeats_ms),
        silence(this->settings.max_silence_ms),
        lease_timer(task, [this] { this->SendLeaseCall(); }) {}

  ~WorkerAgent() { *this->alive = false; }

  WorkerAgent(const WorkerAgent&) = delete;
  WorkerAgent& operator=(const WorkerAgent&) = delete;

  /// Starts the loop that renews the leases and reads the worker's lists.
  void Start() { this->lease_timer.Schedule(0); }

  /// Handles a heartbeat. Anyone may send one, so one that names another
  /// incarnation than the present one is followed only after the worker has
  /// answered as that incarnation. Ignores heartbeats of an incarnation that
  /// has exited, and those that arrive out of order. Calls `done` with whether
  /// the worker is followed as described.
  void OnHeartbeat(const WorkerHeartbeat& heartbeat,
                   std::function<void(bool)> done) {
    const auto& life = heartbeat.description.incarnation;
    if (life != this->description.incarnation) {
      this->probe.VerifyHeartbeat(heartbeat, std::move(done));
      return;
    }
    if (this->heartbeat_order.ArrivesLate(heartbeat.sequence) || this->exited ||
        this->leaving || this->restarted_born_ms.has_value()) {
      Log(LogLevel::kInfo, "ignoring outdated heartbeat",
          {{"worker", life.id.value},
           {"sequence", std::to_string(heartbeat.sequence)}});
    } else if (this->SetDescription(heartbeat)) {
      this->reports.Report();
      this->SendDue();
    }
    done(true);
  }

  /// Handles a notice of the worker's planned shutdown. The runs end as soon as
  /// the worker is found to be gone: the notice may be late, from an earlier
  /// process under the same id, or from another sender.
  void OnWorkerShutdown(const WorkerId& worker) {
    if (worker != this->description.incarnation.id || this->exited ||
        this->leaving) {
      return;
    }
    this->leaving = true;
    this->silent = false;
    this->description.availability = workload::WorkerAvailability::kAbsent;
    this->runs.SetDraining(true);
    this->reports.Report();
    const auto life = this->PresentProcess();
    this->probe.VerifyShutdown(life, [this, life](ShutdownAnswer answer) {
      if (life == this->PresentProcess() && this->leaving) {
        this->OnShutdownAnswer(answer);
      }
    });
  }

  /// As ReportChannel::OnExchange().
  bool OnExchange(const rpc::ExchangeRequest& request,
                  rpc::Responder<rpc::ExchangeReply> respond) {
    return this->reports.OnExchange(request, std::move(respond));
  }

 private:
  /// Due times are searched for at multiples of this interval.
  static constexpr std::int64_t kSearchIntervalMs = 5;

  bool Draining() const {
    return this->description.availability ==
           workload::WorkerAvailability::kDraining;
  }

  /// Returns the incarnation that answers, which differs from the reported one
  /// while the runs of a restarted worker are being stopped.
  workload::WorkerIncarnation PresentProcess() const {
    auto life = this->description.incarnation;
    life.born_ms = this->restarted_born_ms.value_or(life.born_ms);
    return life;
  }

  /// Returns whether orders for the worker may take effect in its next process.
  bool MayHoldRuns(const WorkerId& worker) const {
    return worker == this->description.incarnation.id && !this->exited &&
           !this->runs.AllEnded();
  }

  /// Takes over the worker's description. Returns whether it has changed.
  bool SetDescription(const WorkerHeartbeat& heartbeat) {
    const bool changed = heartbeat.description != this->description;
    const bool new_incarnation =
        heartbeat.description.incarnation != this->description.incarnation;
    this->description = heartbeat.description;
    this->heartbeat_order.Follow(heartbeat.sequence);
    if (new_incarnation) {
      this->BeginIncarnation();
    }
    if (changed) {
      LogWorkerState(this->description);
      this->runs.SetDraining(this->Draining());
      this->runs.SetCapacity(this->description.capacity);
    }
    return changed;
  }

  ReportChannelCallbacks ReportCallbacks() {
    return {[this](std::uint64_t epoch) {
              this->first_orders = true;
              this->orders.SetEpoch(epoch);
            },
            [this](const rpc::ExchangeRequest& request) {
              this->ApplyRequest(request);
            },
            [this] { return this->Reply(); }};
  }

  WorkerProbeCallbacks ProbeCallbacks() {
    return {
        [this] { return this->fence.Value(); }, [this] { this->fence.Raise(); },
        [this](const workload::WorkerIncarnation& life,
               const LeaseReply& lists) {
          return MayHaveReturned(life, lists, this->description.incarnation);
        },
        [this](const WorkerHeartbeat& heartbeat, const LeaseReply& lists,
               Instant sent) {
          this->FollowIncarnation(heartbeat, lists, sent);
        }};
  }

  /// Follows an incarnation that has answered with its lists.
  void FollowIncarnation(const WorkerHeartbeat& heartbeat,
                         const LeaseReply& lists,
                         Instant sent) {
    const auto& life = heartbeat.description.incarnation;
    this->silence.OnAnswer(life);
    if (this->MayHoldRuns(life.id)) {
      this->successor = heartbeat;
      this->OnRestart(life.born_ms);
      return;
    }
    if (!this->description.incarnation.id.empty()) {
      this->EndIncarnation("a new incarnation reports", this->ExitKind());
    }
    this->SetDescription(heartbeat);
    this->ApplyLists(lists, sent);
  }

  void OnShutdownAnswer(ShutdownAnswer answer) {
    switch (answer) {
      case ShutdownAnswer::kSilent:
        if (!std::exchange(this->silent, true)) {
          LogShutdownUnanswered(this->description.incarnation);
          this->reports.Report();
        }
        return;
      case ShutdownAnswer::kEnded:
        this->EndIncarnation("left", WorkerExit::kShutdown);
        return;
      case ShutdownAnswer::kAtWork:
        LogShutdownRefuted(this->description.incarnation);
        // The next heartbeat tells whether the worker accepts tasks.
        this->leaving = false;
        this->reports.Report();
        return;
    }
  }

  /// A worker that is draining may end at any time.
  WorkerExit ExitKind() const {
    return this->Draining() || this->leaving ? WorkerExit::kShutdown
                                             : WorkerExit::kCrash;
  }

  void ApplyRequest(const rpc::ExchangeRequest& request) {
    const bool had_lease = this->authority.Valid();
    this->authority.Extend(Instant{request.authority_until_agent_ms()},
                           request.epoch());
    // The call that waits for the worker's next run end renews no lease.
    const bool first_lease =
        !had_lease && this->lists_read &&
        this->worker_clock.LeaseUntil(this->authority.Until()) != 0;
    const bool ends_acknowledged = this->ApplyOrders(request);
    if (first_lease || ends_acknowledged) {
      this->lease_timer.Schedule(0);
    }
  }

  /// Returns whether the next lease call need not wait for acknowledged ends.
  bool ApplyOrders(const rpc::ExchangeRequest& request) {
    // While runs of an earlier process are being stopped, the acknowledged end
    // counts the ends of that process.
    if (!NamesWorker(request, this->description.incarnation) ||
        this->restarted_born_ms.has_value()) {
      return false;
    }
    this->acknowledged_end =
        std::max(this->acknowledged_end, request.acknowledged_end());
    // An earlier process of this agent may have sent a planner's first orders.
    constexpr std::int64_t kMicrosPerMs = 1'000;
    const bool maybe_started =
        std::exchange(this->first_orders, false) &&
        this->description.incarnation.born_ms * kMicrosPerMs <
            static_cast<std::int64_t>(this->incarnation);
    const Instant now = BootClock{}.Now();
    this->orders_read_at = now;
    this->starts_until = request.starts_until_agent_ms() == 0
                             ? Instant::Never()
                             : Instant{request.starts_until_agent_ms()};
    this->runs.SetDesired(DecodeOrders(request), now, maybe_started);
    this->SendDue();
    return this->lease_timer.Delayed() &&
           this->acknowledged_end >= this->listed_end;
  }

  rpc::ExchangeReply Reply() const {
    // The planner grants no leases to an agent that names no worker, and takes
    // its runs as lost when the last lease has expired.
    const bool unknown =
        (this->leaving && this->silent) || this->silence.Unresponsive();
    auto reported = unknown ? workload::WorkerDescription() : this->description;
    if (!this->lists_read) {
      reported.availability = workload::WorkerAvailability::kAbsent;
    }
    auto reply =
        EncodeReport(reported, this->last_crashed, this->lists_read_at);
    reply.set_agent_incarnation(this->incarnation);
    if (!this->restarted_born_ms.has_value() && !unknown) {
      EncodeRuns(this->runs, reply);
    }
    return reply;
  }

  // Reports changes of the run table since the last report.
  void ReportChanges() {
    if (std::exchange(this->reported_version, this->runs.Version()) !=
        this->runs.Version()) {
      this->reports.Report();
    }
  }

  void SendDue() {
    const Instant now = BootClock{}.Now();
    if (!this->lists_read && !this->restarted_born_ms.has_value()) {
      return;
    }
    const bool orders_too_old =
        this->settings.max_order_age_ms > 0 &&
        now >= this->orders_read_at.After(this->settings.max_order_age_ms);
    if (orders_too_old || now >= this->starts_until) {
      this->runs.HoldStarts();
    }
    DueOrders due = this->runs.TakeDue(now);
    this->starts_left = due.starts_left;
    for (const DesiredRun& run : due.starts) {
      this->SendStart(run, now);
    }
    for (const RunKey& run : due.stops) {
      this->SendStop(run);
    }
    for (const RunKey& run : due.withdrawn) {
      LogStartWithdrawn(run);
    }
    // No result of a start will follow.
    if (due.starts_left && due.starts.empty() && !due.withdrawn.empty()) {
      this->SendDueAt(now);
    }
    this->ReportChanges();
  }

  void SendStart(const DesiredRun& run, Instant now) {
    const RunKey key{run.task, run.run};
    const std::int64_t until =
        this->worker_clock.LeaseUntil(this->authority.Until());
    if (until == 0) {
      this->runs.OnStart(key, OrderResult::kLeaseExpired, now);
      return;
    }
    this->orders.Start(
        {run.task, run.run, run.payload, run.checkpoint, run.ticket, until,
         this->fence.Value(), this->description.incarnation.id},
        [this, key](const StartReply& reply) {
          this->worker_clock.Update(reply.worker_clock_ms);
          this->runs.OnStart(key, reply.result, BootClock{}.Now());
          this->OnOrderResult(reply.result);
        });
  }

  void SendStop(const RunKey& key) {
    this->orders.Stop({key.first, key.second, this->fence.Value(),
                       this->description.incarnation.id},
                      [this, key](OrderResult result) {
                        this->runs.OnStop(key, result, BootClock{}.Now());
                        this->OnOrderResult(result);
                      });
  }

  void SendPaces() {
    for (const PaceChange& change : this->pace.Update(
             this->runs.Running(), this->runs, BootClock{}.Now())) {
      this->orders.Throttle(
          {change.task, change.run, change.percent, this->fence.Value(),
           this->description.incarnation.id},
          [this, change](OrderResult result) {
            if (result != OrderResult::kDone) {
              this->pace.OnFailure({change.task, change.run});
            }
          });
    }
  }

  void OnOrderResult(OrderResult result) {
    if (result == OrderResult::kFenced) {
      this->fence.Raise();
    } else if (result == OrderResult::kOtherIncarnation) {
      this->EndIncarnation("another incarnation answered", this->ExitKind());
      return;
    }
    const Instant now = BootClock{}.Now();
    this->SendDueAt(now.After(this->settings.runs.retry_delay_ms));
    if (this->starts_left) {
      this->SendDueAt(now);
    }
    this->ReportChanges();
  }

  // Thousands of results may arrive at once, and a search for due orders visits
  // all runs. So the searches of one interval become one, at its end.
  void SendDueAt(Instant due_at) {
    const Instant search{(due_at.ms / kSearchIntervalMs + 1) *
                         kSearchIntervalMs};
    if (!this->searches.insert(search).second) {
      return;
    }
    this->task.PostAt(search, [this, alive = this->alive, search] {
      if (*alive) {
        this->searches.erase(search);
        this->SendDue();
      }
    });
  }

  void SendLeaseCall() {
    this->authority.LogEnd(this->description.incarnation.id);
    if (this->description.incarnation.id.empty() || this->exited) {
      this->lease_timer.Schedule(this->settings.retry_delay_ms);
      return;
    }
    const Instant now = BootClock{}.Now();
    const bool restarted = this->restarted_born_ms.has_value();
    const std::int64_t wait_ms =
        this->lists_read && !restarted ? this->settings.list_wait_ms : 0;
    this->port.RenewLeases(
        {this->fence.Value(), this->acknowledged_end,
         restarted ? 0 : this->worker_clock.LeaseUntil(this->authority.Until()),
         wait_ms, this->description.incarnation.id},
        now.After(wait_ms + this->settings.answer_timeout_ms),
        [this, alive = this->alive, call = this->lease_timer.CurrentCall(),
         life = this->description.incarnation,
         sent = now](const LeaseReply& reply) {
          if (*alive && call == this->lease_timer.CurrentCall()) {
            this->OnLeaseReply(reply, life, sent);
          }
        });
  }

  void OnLeaseReply(const LeaseReply& reply,
                    const workload::WorkerIncarnation& life,
                    Instant sent) {
    if (life != this->description.incarnation) {
      this->lease_timer.Schedule(0);
      return;
    }
    if (reply.result != OrderResult::kDone) {
      this->OnLeaseFailure(reply.result);
      return;
    }
    this->refusals = 0;
    const bool responds = this->silence.OnAnswer(life);
    this->OnLists(reply, life, sent);
    if (responds) {
      this->reports.Report();
    }
  }

  void OnLists(const LeaseReply& reply,
               const workload::WorkerIncarnation& life,
               Instant sent) {
    if (this->restarted_born_ms.has_value()) {
      this->OnRestartedLists(reply, sent);
      return;
    }
    if (reply.born_ms != 0 && reply.born_ms != life.born_ms) {
      if (this->MayHoldRuns(life.id)) {
        this->OnRestart(reply.born_ms);
        return;
      }
      this->EndIncarnation("the worker restarted", this->ExitKind());
      this->lease_timer.Schedule(this->settings.retry_delay_ms);
      return;
    }
    this->ApplyLists(reply, sent);
  }

  void ApplyLists(const LeaseReply& reply, Instant sent) {
    this->worker_clock.Update(reply.worker_clock_ms);
    const bool first = !std::exchange(this->lists_read, true);
    this->lists_read_at = BootClock{}.Now();
    this->runs.OnLists(reply, sent, this->lists_read_at);
    this->listed_end = 0;
    for (const ListedRunEnd& end : reply.ended) {
      this->listed_end = std::max(this->listed_end, end.number);
    }
    if (first) {
      this->reports.Report();
    }
    this->ReportChanges();
    this->SendDue();
    this->SendPaces();
    // While listed ends are not stored yet, the worker would answer immediately
    // with the same list.
    const bool has_unstored_ends = this->listed_end > this->acknowledged_end;
    this->lease_timer.Schedule(
        has_unstored_ends ? this->settings.ack_poll_delay_ms : 0);
  }

  void OnLeaseFailure(OrderResult result) {
    if (!this->exited &&
        this->silence.OnFailure(this->description.incarnation)) {
      this->runs.HoldStarts();
      this->reports.Report();
    }
    this->refusals =
        result == OrderResult::kUnreachable ? this->refusals + 1 : 0;
    if (result == OrderResult::kFenced ||
        result == OrderResult::kOtherIncarnation) {
      this->OnOrderResult(result);
    } else if (this->refusals >= this->settings.max_refused_connections) {
      this->EndIncarnation("connections refused", this->ExitKind());
    }
    this->lease_timer.Schedule(this->settings.retry_delay_ms);
  }

  // The worker has started again under its id, and a start for the earlier
  // process may have reached the new one or may still do so. The planner keeps
  // these runs assigned until they are stopped, or it would start them
  // elsewhere while they run.
  void OnRestart(std::int64_t born_ms) {
    if (this->restarted_born_ms == born_ms) {
      return;
    }
    LogWorkerRestarted(this->description.incarnation, born_ms);
    if (!this->restarted_born_ms.has_value()) {
      this->restart_exit = this->ExitKind();
    }
    this->restarted_born_ms = born_ms;
    if (this->successor.has_value() &&
        this->successor->description.incarnation.born_ms != born_ms) {
      this->successor.reset();
    }
    this->description.availability = workload::WorkerAvailability::kAbsent;
    this->ResetWorkerState();
    this->runs.OnWorkerRestarted(this->restart_exit, BootClock{}.Now());
    this->reports.Report();
    this->SendDue();
    this->lease_timer.Schedule(0);
  }

  void OnRestartedLists(const LeaseReply& reply, Instant sent) {
    if (reply.born_ms != 0 && reply.born_ms != *this->restarted_born_ms) {
      this->OnRestart(reply.born_ms);
      return;
    }
    this->runs.OnLists(reply, sent, BootClock{}.Now());
    if (!this->runs.AllEnded()) {
      this->SendDue();
      this->lease_timer.Schedule(this->settings.ack_poll_delay_ms);
      return;
    }
    this->EndIncarnation("the worker restarted", this->restart_exit);
    if (!this->successor.has_value()) {
      this->lease_timer.Schedule(this->settings.retry_delay_ms);
      return;
    }
    // The lists of the new process may contain ends of these runs, so they are
    // reported together with it.
    const WorkerHeartbeat next = *this->successor;
    this->SetDescription(next);
    this->ApplyLists(reply, sent);
  }

  void BeginIncarnation() {
    this->ResetWorkerState();
    this->runs.Reset();
    this->lists_read = false;
    this->exited = false;
    this->leaving = false;
    this->successor.reset();
  }

  /// Forgets the worker's process. The next one rejects late calls to it.
  void ResetWorkerState() {
    this->fence.Advance();
    this->orders.DropResults();
    this->pace.Reset();
    this->refusals = 0;
    this->acknowledged_end = 0;
    this->listed_end = 0;
    this->worker_clock.Reset();
  }

  // The runs of an incarnation that has ended are reported as lost until the
  // planner no longer requests them.
  void EndIncarnation(std::string_view reason, WorkerExit exit) {
    if (std::exchange(this->exited, true)) {
      return;
    }
    LogWorkerGone(this->description.incarnation, reason, exit);
    if (exit == WorkerExit::kCrash) {
      this->last_crashed = this->description.incarnation;
    }
    this->refusals = 0;
    this->restarted_born_ms.reset();
    this->leaving = false;
    this->silence.OnEnd();
    this->description.availability = workload::WorkerAvailability::kAbsent;
    this->runs.OnWorkerGone(exit);
    this->reports.Report();
  }

  Task& task;
  Port& port;
  std::uint64_t incarnation;
  WorkerAgentSettings settings;
  ReportChannel reports;
  OrderSender<Port> orders;
  RunTable runs;
  PaceController pace;
  FencingToken fence;
  WorkerProbe<Port> probe;
  workload::WorkerDescription description;
  /// The incarnation that crashed last; empty for none.
  workload::WorkerIncarnation last_crashed;
  HeartbeatOrder heartbeat_order;
  /// The worker's lists have been read in this incarnation.
  bool lists_read = false;
  /// Boot clock: when the worker last returned its lists.
  Instant lists_read_at;
  /// The worker's process is known to have exited.
  bool exited = false;
  /// The worker's shutdown was announced, and it has not been found to be gone.
  bool leaving = false;
  /// The worker has left a question unanswered since then.
  bool silent = false;
  SilenceMonitor silence;
  std::uint32_t refusals = 0;
  /// Start time of the worker's new process, while the runs ordered from the
  /// earlier one are being stopped there.
  std::optional<std::int64_t> restarted_born_ms;
  WorkerExit restart_exit = WorkerExit::kCrash;
  /// Latest heartbeat of the new process; followed once those runs have ended.
  std::optional<WorkerHeartbeat> successor;
  /// Boot clock: when the planner's latest orders arrived.
  Instant orders_read_at;
  /// Boot clock: until when those orders allow starts.
  Instant starts_until = Instant::Never();
  /// The followed planner has not sent orders for the worker yet.
  bool first_orders = true;
  LeaseAuthority authority;
  /// The last search for due orders left starts over.
  bool starts_left = false;
  /// Boot clock: when due orders are searched.
  std::set<Instant> searches;
  std::uint64_t acknowledged_end = 0;
  std::uint64_t listed_end = 0;
  WorkerClock worker_clock;
  std::uint64_t reported_version = 1;
  LeaseTimer lease_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_WORKER_AGENT_H_
