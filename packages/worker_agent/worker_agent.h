#ifndef PACKAGES_WORKER_AGENT_WORKER_AGENT_H_
#define PACKAGES_WORKER_AGENT_WORKER_AGENT_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "packages/core/log.h"
#include "packages/core/metrics.h"
#include "packages/core/task.h"
#include "packages/rpc/rpc_types.h"
#include "packages/rpc/task_key_codec.h"
#include "packages/rpc/worker_control.pb.h"
#include "packages/worker_agent/pace_controller.h"
#include "packages/worker_agent/run_table.h"
#include "packages/worker_agent/worker_port.h"

namespace carobrill::worker_agent {

/// Timing of an agent, in ms.
struct WorkerAgentSettings {
  /// How long a request for the worker's lists waits for a run to end.
  std::int64_t list_wait_ms = 500;
  /// Delay before the lists are requested again while listed run ends have not
  /// been stored by the planner.
  std::int64_t ack_poll_delay_ms = 60;
  /// Timeout of a worker call beyond its wait. An order that is answered too
  /// late is repeated, which has no further effect.
  std::int64_t answer_timeout_ms = 400;
  std::int64_t retry_delay_ms = 150;
  /// Number of consecutive refused connections after which the worker's process
  /// is considered to have exited.
  std::uint32_t max_refused_connections = 2;
  /// How long an unanswered worker is asked whether it is the incarnation that
  /// a heartbeat names. Heartbeats follow more often than this.
  std::int64_t candidate_timeout_ms = 5'000;
  /// Heartbeats that arrive out of order for longer than this are not late: the
  /// one that overtook them was odd.
  std::int64_t max_late_heartbeats_ms = 3'000;
  /// How long a worker may answer after it has announced its shutdown. If it
  /// still answers then, the announcement was not its own.
  std::int64_t shutdown_timeout_ms = 1'000;
  RunTableSettings runs;
  PaceSettings pace;
};

/// Agent of one worker: forwards the planner's orders, renews the worker's
/// leases while the planner is reachable, and reports running and ended runs.
template <WorkerPort Port>
class WorkerAgent {
 public:
  /// `port` must outlive the agent. `incarnation` is the start time of the
  /// process.
  WorkerAgent(Task& task,
              Port& port,
              std::uint64_t incarnation,
              WorkerAgentSettings settings,
              MetricsRegistry& metrics)
      : task(task),
        port(port),
        incarnation(incarnation),
        settings(settings),
        metrics(metrics),
        runs(settings.runs),
        pace(settings.pace),
        fence(static_cast<std::uint64_t>(WallClock{}.Now().ms)) {}

  ~WorkerAgent() { *this->alive = false; }

  WorkerAgent(const WorkerAgent&) = delete;
  WorkerAgent& operator=(const WorkerAgent&) = delete;

  /// Starts the loop that renews the leases and reads the worker's lists.
  void Start() { this->ScheduleLeaseCall(0); }

  /// Handles a heartbeat. Anyone may send one, so one that names another
  /// incarnation than the present one is followed only after the worker has
  /// answered as that incarnation. Ignores heartbeats of an incarnation that
  /// has exited, and those that arrive out of order. Calls `done` with whether
  /// the worker is followed as described.
  void OnHeartbeat(const WorkerHeartbeat& heartbeat,
                   std::function<void(bool)> done) {
    const auto& life = heartbeat.description.incarnation;
    if (life != this->description.incarnation) {
      this->VerifyIncarnation(heartbeat, std::move(done));
      return;
    }
    if (this->ArrivesLate(heartbeat) || this->exited || this->leaving ||
        this->restarted_born_ms.has_value()) {
      Log(LogLevel::kInfo, "ignoring outdated heartbeat",
          {{"worker", life.id.value},
           {"sequence", std::to_string(heartbeat.sequence)}});
    } else if (this->SetDescription(heartbeat)) {
      this->Report();
      this->SendDue();
    }
    done(true);
  }

  /// Handles a notice of the worker's planned shutdown. The runs end as soon as
  /// the worker does not answer any more: the notice may be late, from an
  /// earlier process under the same id, or from another sender.
  void OnWorkerShutdown(const WorkerId& worker) {
    if (worker != this->description.incarnation.id || this->exited ||
        this->leaving) {
      return;
    }
    this->leaving = true;
    this->description.availability = workload::WorkerAvailability::kAbsent;
    this->runs.SetDraining(true);
    this->Report();
    this->VerifyShutdown(
        BootClock{}.Now().After(this->settings.shutdown_timeout_ms));
  }

  /// Handles one exchange with a planner.
  void OnExchange(const rpc::ExchangeRequest& request,
                  rpc::Responder<rpc::ExchangeReply> respond) {
    if (request.epoch() < this->epoch) {
      rpc::ExchangeReply reply;
      reply.set_accepted(false);
      reply.set_highest_epoch(this->epoch);
      respond(std::move(reply));
      return;
    }
    if (request.epoch() > this->epoch) {
      Log(LogLevel::kInfo, "following a new planner",
          {{"epoch", std::to_string(request.epoch())}});
      this->epoch = request.epoch();
      this->last_exchange = 0;
    }
    if (request.sequence() > this->last_exchange) {
      this->last_exchange = request.sequence();
      this->ApplyRequest(request);
    }
    this->AnswerPending();
    if (request.wait_ms() <= 0 || request.seen_report() < this->report) {
      respond(this->Reply());
      return;
    }
    this->pending_response = std::move(respond);
    this->task.PostAt(
        BootClock{}.Now().After(request.wait_ms()),
        [this, alive = this->alive, number = ++this->pending_number] {
          if (*alive && number == this->pending_number) {
            this->AnswerPending();
          }
        });
  }

 private:
  // The heartbeats that a partition has delayed arrive together.
  bool ArrivesLate(const WorkerHeartbeat& heartbeat) {
    if (heartbeat.sequence >= this->sequence) {
      this->late_until.reset();
      return false;
    }
    const Instant now = BootClock{}.Now();
    if (!this->late_until.has_value()) {
      this->late_until = now.After(this->settings.max_late_heartbeats_ms);
    }
    return now < *this->late_until;
  }

  bool Draining() const {
    return this->description.availability ==
           workload::WorkerAvailability::kDraining;
  }

  /// Returns whether orders for the present incarnation of a worker may take
  /// effect in a later one, which has the same id.
  bool MayHoldRuns(const WorkerId& worker) const {
    return worker == this->description.incarnation.id && !this->exited &&
           !this->runs.AllEnded();
  }

  /// Takes over the worker's description. Returns whether it has changed.
  bool SetDescription(const WorkerHeartbeat& heartbeat) {
    const auto& life = heartbeat.description.incarnation;
    const bool changed = heartbeat.description != this->description;
    const bool new_incarnation = life != this->description.incarnation;
    this->description = heartbeat.description;
    this->sequence = heartbeat.sequence;
    if (new_incarnation) {
      this->BeginIncarnation();
    }
    if (changed) {
      Log(LogLevel::kInfo, "worker_state",
          {{"worker", life.id.value},
           {"born_ms", std::to_string(life.born_ms)},
           {"state", std::string(NameOf(this->description.availability))},
           {"cpu_millis",
            std::to_string(this->description.capacity.cpu_millis)},
           {"memory_mb", std::to_string(this->description.capacity.memory_mb)},
           {"accelerators",
            std::to_string(this->description.capacity.accelerators)}});
      this->runs.SetDraining(this->Draining());
      this->runs.SetCapacity(this->description.capacity);
    }
    return changed;
  }

  /// A heartbeat of an incarnation that has not been verified.
  struct Candidate {
    WorkerHeartbeat heartbeat;
    Instant expires_at;
  };

  std::vector<Candidate>::iterator FindCandidate(
      const workload::WorkerIncarnation& life) {
    return std::ranges::find_if(
        this->candidates, [&](const Candidate& candidate) {
          return candidate.heartbeat.description.incarnation == life;
        });
  }

  void VerifyIncarnation(const WorkerHeartbeat& heartbeat,
                         std::function<void(bool)> done) {
    const auto& life = heartbeat.description.incarnation;
    const Instant expires_at =
        BootClock{}.Now().After(this->settings.candidate_timeout_ms);
    const auto known = this->FindCandidate(life);
    if (known != this->candidates.end()) {
      if (heartbeat.sequence >= known->heartbeat.sequence) {
        *known = {heartbeat, expires_at};
      }
    } else {
      if (this->candidates.size() >= kMaxCandidates) {
        this->candidates.erase(this->candidates.begin());
      }
      this->candidates.push_back({heartbeat, expires_at});
    }
    this->SendVerification(life, std::move(done));
  }

  // Reads the worker's lists. They are addressed to the candidate's id, and
  // contain the start time of the process that answers.
  void SendVerification(const workload::WorkerIncarnation& life,
                        std::function<void(bool)> done) {
    const Instant now = BootClock{}.Now();
    this->port.RenewLeases(
        {this->fence, 0, 0, 0, life.id},
        now.After(this->settings.answer_timeout_ms),
        [this, alive = this->alive, life, done = std::move(done),
         sent = now](const LeaseReply& reply) {
          if (*alive) {
            this->OnVerification(life, reply, sent, done);
          }
        });
  }

  void OnVerification(const workload::WorkerIncarnation& life,
                      const LeaseReply& reply,
                      Instant sent,
                      const std::function<void(bool)>& done) {
    const auto candidate = this->FindCandidate(life);
    if (candidate == this->candidates.end()) {
      done(life == this->description.incarnation);
      return;
    }
    const bool answered = reply.result == OrderResult::kDone;
    if (answered && this->IsStartTime(life, reply.born_ms)) {
      const WorkerHeartbeat heartbeat = candidate->heartbeat;
      this->candidates.clear();
      this->FollowIncarnation(heartbeat, reply, sent);
      done(true);
      return;
    }
    if (answered || reply.result == OrderResult::kOtherIncarnation ||
        sent >= candidate->expires_at) {
      Log(LogLevel::kWarning, "heartbeat_refuted",
          {{"worker", life.id.value},
           {"born_ms", std::to_string(life.born_ms)},
           {"result", std::string(NameOf(reply.result))},
           {"answered_born_ms", std::to_string(reply.born_ms)},
           {"present_worker", this->description.incarnation.id.value}});
      this->candidates.erase(candidate);
      done(false);
      return;
    }
    if (reply.result == OrderResult::kFenced) {
      this->RaiseFence();
    }
    this->task.PostAt(
        BootClock{}.Now().After(this->settings.retry_delay_ms),
        [this, alive = this->alive, life] {
          if (*alive && this->FindCandidate(life) != this->candidates.end()) {
            this->SendVerification(life, [](bool) {});
          }
        });
    done(false);
  }

  // Lists without a start time prove only the id.
  bool IsStartTime(const workload::WorkerIncarnation& life,
                   std::int64_t answered_born_ms) const {
    return answered_born_ms != 0
               ? answered_born_ms == life.born_ms
               : life.born_ms > this->description.incarnation.born_ms;
  }

  /// Follows an incarnation that has answered with its lists.
  void FollowIncarnation(const WorkerHeartbeat& heartbeat,
                         const LeaseReply& lists,
                         Instant sent) {
    const auto& life = heartbeat.description.incarnation;
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

  void VerifyShutdown(Instant deadline) {
    const Instant now = BootClock{}.Now();
    this->port.RenewLeases(
        {this->fence, 0, 0, 0, this->description.incarnation.id},
        now.After(this->settings.answer_timeout_ms),
        [this, alive = this->alive, deadline,
         process = this->worker_process](const LeaseReply& reply) {
          if (*alive && process == this->worker_process && !this->exited) {
            this->OnShutdownVerification(reply, deadline);
          }
        });
  }

  void OnShutdownVerification(const LeaseReply& reply, Instant deadline) {
    const std::int64_t born_ms =
        this->restarted_born_ms.value_or(this->description.incarnation.born_ms);
    const bool at_work = reply.result == OrderResult::kFenced ||
                         (reply.result == OrderResult::kDone &&
                          (reply.born_ms == 0 || reply.born_ms == born_ms));
    if (!at_work) {
      this->EndIncarnation("left", WorkerExit::kShutdown);
      return;
    }
    if (BootClock{}.Now() >= deadline) {
      Log(LogLevel::kWarning, "shutdown_refuted",
          {{"worker", this->description.incarnation.id.value},
           {"born_ms", std::to_string(born_ms)}});
      // The next heartbeat tells whether the worker accepts tasks.
      this->leaving = false;
      return;
    }
    this->task.PostAt(
        BootClock{}.Now().After(this->settings.retry_delay_ms),
        [this, alive = this->alive, deadline, process = this->worker_process] {
          if (*alive && process == this->worker_process && !this->exited) {
            this->VerifyShutdown(deadline);
          }
        });
  }

  /// A worker that is draining may end at any time.
  WorkerExit ExitKind() const {
    return this->Draining() || this->leaving ? WorkerExit::kShutdown
                                             : WorkerExit::kCrash;
  }

  void ApplyRequest(const rpc::ExchangeRequest& request) {
    const bool had_lease = this->lease_limit > BootClock{}.Now();
    this->lease_limit = std::max(this->lease_limit,
                                 Instant{request.authority_until_agent_ms()});
    const bool same_incarnation =
        request.worker().id() == this->description.incarnation.id.value &&
        request.worker().born_unix_ms() ==
            this->description.incarnation.born_ms;
    // While runs of an earlier process are being stopped, the acknowledged end
    // counts the ends of that process.
    if (!same_incarnation || request.worker().id().empty() ||
        this->restarted_born_ms.has_value()) {
      return;
    }
    this->acknowledged_end =
        std::max(this->acknowledged_end, request.acknowledged_end());
    std::vector<DesiredRun> desired;
    for (const auto& order : request.orders()) {
      desired.push_back(
          {rpc::FromProto(order.task()),
           order.run(),
           order.stop(),
           order.started(),
           order.payload(),
           order.checkpoint(),
           order.ticket(),
           {order.filler(), order.latency_target_ms()},
           {order.cpu_millis(), order.memory_mb(), order.accelerators()}});
    }
    this->runs.SetDesired(std::move(desired), BootClock{}.Now());
    this->SendDue();
    const bool ends_acknowledged =
        this->lease_call_delayed && this->acknowledged_end >= this->listed_end;
    // The call that waits for the worker's next run end renews no lease.
    const bool first_lease =
        !had_lease && this->lists_read && this->LeaseUntil() != 0;
    if (ends_acknowledged || first_lease) {
      this->ScheduleLeaseCall(0);
    }
  }

  rpc::ExchangeReply Reply() const {
    rpc::ExchangeReply reply;
    reply.set_accepted(true);
    reply.set_highest_epoch(this->epoch);
    reply.set_report(this->report);
    reply.set_agent_clock_ms(BootClock{}.Now().ms);
    reply.set_agent_incarnation(this->incarnation);
    const auto& description = this->description;
    reply.mutable_worker()->set_id(description.incarnation.id.value);
    reply.mutable_worker()->set_born_unix_ms(description.incarnation.born_ms);
    reply.set_availability(static_cast<std::uint32_t>(
        this->lists_read ? description.availability
                         : workload::WorkerAvailability::kAbsent));
    reply.set_service(description.service.value);
    reply.set_failure_domain(description.failure_domain.value);
    reply.set_rack(description.rack.value);
    for (const std::string& label : description.labels) {
      reply.add_labels(label);
    }
    reply.set_cpu_millis(description.capacity.cpu_millis);
    reply.set_memory_mb(description.capacity.memory_mb);
    reply.set_accelerators(description.capacity.accelerators);
    if (!this->last_crashed.id.empty()) {
      reply.mutable_crashed_worker()->set_id(this->last_crashed.id.value);
      reply.mutable_crashed_worker()->set_born_unix_ms(
          this->last_crashed.born_ms);
    }
    reply.set_running_age_ms(BootClock{}.Now().ms - this->lists_read_at.ms);
    if (this->restarted_born_ms.has_value()) {
      return reply;
    }
    for (const ListedRun& run : this->runs.Running()) {
      auto* message = reply.add_running();
      *message->mutable_task() = rpc::ToProto(run.task);
      message->set_run(run.run);
      message->set_percent(run.percent);
      message->set_checkpoint(run.checkpoint);
      message->set_usage(run.usage);
    }
    for (const ListedRunEnd& end : this->runs.Ends()) {
      auto* message = reply.add_ended();
      message->set_number(end.number);
      *message->mutable_task() = rpc::ToProto(end.task);
      message->set_run(end.run);
      message->set_end(static_cast<std::uint32_t>(end.end));
      message->set_checkpoint(end.checkpoint);
    }
    return reply;
  }

  void AnswerPending() {
    if (this->pending_response) {
      const auto respond = std::exchange(this->pending_response, std::nullopt);
      (*respond)(this->Reply());
    }
  }

  void Report() {
    ++this->report;
    this->AnswerPending();
  }

  // Reports changes of the run table since the last report.
  void ReportChanges() {
    if (std::exchange(this->reported_version, this->runs.Version()) !=
        this->runs.Version()) {
      this->Report();
    }
  }

  /// Returns the time on the worker's clock until which leases may last; 0 for
  /// none.
  std::int64_t LeaseUntil() const {
    const Instant now = BootClock{}.Now();
    if (!this->worker_clock.has_value() || this->lease_limit <= now) {
      return 0;
    }
    return this->lease_limit.ms + *this->worker_clock;
  }

  void UpdateWorkerClock(std::int64_t worker_ms) {
    if (worker_ms != 0) {
      // The worker read its clock before the answer was transmitted, so the
      // offset is never too large.
      this->worker_clock = worker_ms - BootClock{}.Now().ms;
    }
  }

  void SendDue() {
    const Instant now = BootClock{}.Now();
    if (!this->lists_read && !this->restarted_born_ms.has_value()) {
      return;
    }
    DueOrders due = this->runs.TakeDue(now);
    for (const DesiredRun& run : due.starts) {
      this->SendStart(run, now);
    }
    for (const RunKey& run : due.stops) {
      this->SendStop(run, now);
    }
    for (const RunKey& run : due.withdrawn) {
      Log(LogLevel::kInfo, "start_withdrawn",
          {{"job", run.first.job.value},
           {"task", run.first.Position()},
           {"run", std::to_string(run.second)},
           {"reason", "exceeds the worker's capacity"}});
    }
    this->ReportChanges();
  }

  void SendStart(const DesiredRun& run, Instant now) {
    const RunKey key{run.task, run.run};
    const std::int64_t until = this->LeaseUntil();
    if (until == 0) {
      this->runs.OnStart(key, OrderResult::kLeaseExpired, now);
      return;
    }
    this->port.Start(
        {run.task, run.run, run.payload, run.checkpoint, run.ticket, until,
         this->fence, this->description.incarnation.id},
        now.After(this->settings.answer_timeout_ms),
        [this, alive = this->alive, key, process = this->worker_process,
         sent = now](const StartReply& reply) {
          if (*alive && process == this->worker_process) {
            this->UpdateWorkerClock(reply.worker_clock_ms);
            this->LogOrder("start", key, reply.result, sent);
            this->runs.OnStart(key, reply.result, BootClock{}.Now());
            this->OnOrderResult(reply.result);
          }
        });
  }

  void SendStop(const RunKey& key, Instant now) {
    this->port.Stop(
        {key.first, key.second, this->fence, this->description.incarnation.id},
        now.After(this->settings.answer_timeout_ms),
        [this, alive = this->alive, key, process = this->worker_process,
         sent = now](OrderResult result) {
          if (*alive && process == this->worker_process) {
            this->LogOrder("stop", key, result, sent);
            this->runs.OnStop(key, result, BootClock{}.Now());
            this->OnOrderResult(result);
          }
        });
  }

  void SendPaces() {
    const Instant now = BootClock{}.Now();
    for (const PaceChange& change :
         this->pace.Update(this->runs.Running(), this->runs, now)) {
      this->port.Throttle(
          {change.task, change.run, change.percent, this->fence,
           this->description.incarnation.id},
          now.After(this->settings.answer_timeout_ms),
          [this, alive = this->alive, change, process = this->worker_process,
           sent = now](OrderResult result) {
            if (*alive && process == this->worker_process) {
              const RunKey key{change.task, change.run};
              this->LogOrder("pace " + std::to_string(change.percent), key,
                             result, sent);
              if (result != OrderResult::kDone) {
                this->pace.OnFailure(key);
              }
            }
          });
    }
  }

  // A rejected fence means that an earlier process of this agent sent orders
  // with a higher fence, because the clock was set back in between.
  void RaiseFence() {
    constexpr std::uint64_t kFenceStep = 10'000;
    this->fence += kFenceStep;
  }

  void OnOrderResult(OrderResult result) {
    if (result == OrderResult::kFenced) {
      this->RaiseFence();
    } else if (result == OrderResult::kOtherIncarnation) {
      this->EndIncarnation("another incarnation answered", this->ExitKind());
      return;
    }
    this->task.PostAt(
        BootClock{}.Now().After(this->settings.runs.retry_delay_ms),
        [this, alive = this->alive] {
          if (*alive) {
            this->SendDue();
          }
        });
    this->ReportChanges();
  }

  void LogOrder(std::string_view order,
                const RunKey& key,
                OrderResult result,
                Instant sent) {
    this->metrics
        .GetCounter("carobrill_worker_orders_total",
                    "Orders to the worker, by order and result.",
                    {{"order", std::string(order)},
                     {"result", std::string(NameOf(result))}})
        .Increment();
    Log(LogLevel::kInfo, "worker_order",
        {{"job", key.first.job.value},
         {"task", key.first.Position()},
         {"run", std::to_string(key.second)},
         {"order", std::string(order)},
         {"result", std::string(NameOf(result))},
         {"epoch", std::to_string(this->epoch)},
         {"age_ms", std::to_string(BootClock{}.Now().ms - sent.ms)}});
  }

  void ScheduleLeaseCall(std::int64_t delay_ms) {
    this->lease_call_delayed = delay_ms > 0;
    this->task.PostAt(
        BootClock{}.Now().After(delay_ms),
        [this, alive = this->alive,
         generation = ++this->lease_call_generation] {
          if (*alive && generation == this->lease_call_generation) {
            this->lease_call_delayed = false;
            this->SendLeaseCall();
          }
        });
  }

  void SendLeaseCall() {
    if (this->description.incarnation.id.empty() || this->exited) {
      this->ScheduleLeaseCall(this->settings.retry_delay_ms);
      return;
    }
    const Instant now = BootClock{}.Now();
    const bool restarted = this->restarted_born_ms.has_value();
    const std::int64_t wait_ms =
        this->lists_read && !restarted ? this->settings.list_wait_ms : 0;
    this->port.RenewLeases(
        {this->fence, this->acknowledged_end,
         restarted ? 0 : this->LeaseUntil(), wait_ms,
         this->description.incarnation.id},
        now.After(wait_ms + this->settings.answer_timeout_ms),
        [this, alive = this->alive, generation = this->lease_call_generation,
         life = this->description.incarnation,
         sent = now](const LeaseReply& reply) {
          if (*alive && generation == this->lease_call_generation) {
            this->OnLeaseReply(reply, life, sent);
          }
        });
  }

  void OnLeaseReply(const LeaseReply& reply,
                    const workload::WorkerIncarnation& life,
                    Instant sent) {
    if (life != this->description.incarnation) {
      this->ScheduleLeaseCall(0);
      return;
    }
    if (reply.result != OrderResult::kDone) {
      this->OnLeaseFailure(reply.result);
      return;
    }
    this->refusals = 0;
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
      this->ScheduleLeaseCall(this->settings.retry_delay_ms);
      return;
    }
    this->ApplyLists(reply, sent);
  }

  void ApplyLists(const LeaseReply& reply, Instant sent) {
    this->UpdateWorkerClock(reply.worker_clock_ms);
    const bool first = !std::exchange(this->lists_read, true);
    this->lists_read_at = BootClock{}.Now();
    this->runs.OnLists(reply, sent, this->lists_read_at);
    this->listed_end = 0;
    for (const ListedRunEnd& end : reply.ended) {
      this->listed_end = std::max(this->listed_end, end.number);
    }
    if (first) {
      this->Report();
    }
    this->ReportChanges();
    this->SendDue();
    this->SendPaces();
    // While listed ends are not stored yet, the worker would answer immediately
    // with the same list.
    const bool has_unstored_ends = this->listed_end > this->acknowledged_end;
    this->ScheduleLeaseCall(has_unstored_ends ? this->settings.ack_poll_delay_ms
                                              : 0);
  }

  void OnLeaseFailure(OrderResult result) {
    if (result == OrderResult::kUnreachable) {
      ++this->refusals;
    }
    if (result == OrderResult::kFenced ||
        result == OrderResult::kOtherIncarnation) {
      this->OnOrderResult(result);
    } else if (this->refusals >= this->settings.max_refused_connections) {
      this->EndIncarnation("connections refused", this->ExitKind());
    }
    this->ScheduleLeaseCall(this->settings.retry_delay_ms);
  }

  // The worker has started again under its id, and a start for the earlier
  // process may have reached the new one or may still do so. The planner keeps
  // these runs assigned until they are stopped, or it would start them
  // elsewhere while they run.
  void OnRestart(std::int64_t born_ms) {
    if (this->restarted_born_ms == born_ms) {
      return;
    }
    Log(LogLevel::kWarning, "worker_restarted",
        {{"worker", this->description.incarnation.id.value},
         {"earlier_born_ms",
          std::to_string(this->description.incarnation.born_ms)},
         {"born_ms", std::to_string(born_ms)}});
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
    this->Report();
    this->SendDue();
    this->ScheduleLeaseCall(0);
  }

  void OnRestartedLists(const LeaseReply& reply, Instant sent) {
    if (reply.born_ms != 0 && reply.born_ms != *this->restarted_born_ms) {
      this->OnRestart(reply.born_ms);
      return;
    }
    this->runs.OnLists(reply, sent, BootClock{}.Now());
    if (!this->runs.AllEnded()) {
      this->SendDue();
      this->ScheduleLeaseCall(this->settings.ack_poll_delay_ms);
      return;
    }
    this->EndIncarnation("the worker restarted", this->restart_exit);
    if (!this->successor.has_value()) {
      this->ScheduleLeaseCall(this->settings.retry_delay_ms);
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

  /// Clears what is known about the worker's process.
  void ResetWorkerState() {
    ++this->worker_process;
    this->pace.Reset();
    this->refusals = 0;
    this->acknowledged_end = 0;
    this->listed_end = 0;
    this->worker_clock.reset();
  }

  // The runs of an incarnation that has ended are reported as lost until the
  // planner no longer requests them.
  void EndIncarnation(std::string_view reason, WorkerExit exit) {
    if (std::exchange(this->exited, true)) {
      return;
    }
    Log(LogLevel::kWarning, "worker_gone",
        {{"worker", this->description.incarnation.id.value},
         {"born_ms", std::to_string(this->description.incarnation.born_ms)},
         {"reason", std::string(reason)},
         {"exit", std::string(NameOf(exit))}});
    if (exit == WorkerExit::kCrash) {
      this->last_crashed = this->description.incarnation;
    }
    this->refusals = 0;
    this->restarted_born_ms.reset();
    this->leaving = false;
    this->description.availability = workload::WorkerAvailability::kAbsent;
    this->runs.OnWorkerGone(exit);
    this->Report();
  }

  /// Bounds what other senders' heartbeats occupy.
  static constexpr std::size_t kMaxCandidates = 4;

  Task& task;
  Port& port;
  std::uint64_t incarnation;
  WorkerAgentSettings settings;
  MetricsRegistry& metrics;
  RunTable runs;
  PaceController pace;
  /// Fence of all orders, normally higher than in any order of an earlier
  /// process of this agent.
  std::uint64_t fence;
  workload::WorkerDescription description;
  /// The incarnation that crashed last; empty for none.
  workload::WorkerIncarnation last_crashed;
  std::uint64_t sequence = 0;
  /// Until when heartbeats with a lower sequence number count as late; not set
  /// after one that arrived in order.
  std::optional<Instant> late_until;
  /// The worker's lists have been read in this incarnation.
  bool lists_read = false;
  /// Boot clock: when the worker last returned its lists.
  Instant lists_read_at;
  /// The worker's process is known to have exited.
  bool exited = false;
  /// The worker's shutdown was announced, and it has not been found to be gone.
  bool leaving = false;
  std::vector<Candidate> candidates;
  std::uint32_t refusals = 0;
  /// Start time of the worker's new process, while the runs ordered from the
  /// earlier one are being stopped there.
  std::optional<std::int64_t> restarted_born_ms;
  WorkerExit restart_exit = WorkerExit::kCrash;
  /// Latest heartbeat of the new process; followed once those runs have ended.
  std::optional<WorkerHeartbeat> successor;
  /// Incremented when another process of the worker is followed or detected.
  std::uint64_t worker_process = 0;
  std::uint64_t epoch = 0;
  std::uint64_t last_exchange = 0;
  /// Until when the planner lets this agent renew leases (boot clock).
  Instant lease_limit;
  std::uint64_t acknowledged_end = 0;
  std::uint64_t listed_end = 0;
  /// Worker clock minus boot clock, in ms.
  std::optional<std::int64_t> worker_clock;
  std::uint64_t report = 1;
  std::uint64_t reported_version = 1;
  std::optional<rpc::Responder<rpc::ExchangeReply>> pending_response;
  std::uint64_t pending_number = 0;
  std::uint64_t lease_call_generation = 0;
  bool lease_call_delayed = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_WORKER_AGENT_H_
