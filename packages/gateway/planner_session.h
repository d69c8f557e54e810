#ifndef PACKAGES_GATEWAY_PLANNER_SESSION_H_
#define PACKAGES_GATEWAY_PLANNER_SESSION_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/core/keyed_log.h"
#include "packages/core/task.h"
#include "packages/gateway/advice_caller.h"
#include "packages/gateway/commit_pipeline.h"
#include "packages/gateway/job_removal.h"
#include "packages/gateway/planner_log.h"
#include "packages/gateway/planner_records.h"
#include "packages/gateway/topics.h"
#include "packages/gateway/worker_link.h"
#include "packages/rpc/task_key_codec.h"
#include "packages/workload/job_planner.h"
#include "packages/workload/record_codec.h"

namespace carobrill::gateway {

/// Planner timing, in ms.
struct PlannerSessionSettings {
  /// Interval between planner heartbeats in the log. Several fit into the
  /// silence after which another instance takes over.
  std::int64_t heartbeat_interval_ms = 300;
  /// How long agents may continue after the planner's last stored append: the
  /// longest store outage that running work has to survive.
  std::int64_t max_store_outage_ms = 15'000;
  /// Maximum interval between planning passes.
  std::int64_t tick_ms = 200;
  /// Minimum time between the end of a planning pass and the next one. Events
  /// in between share one pass.
  std::int64_t min_pass_interval_ms = 5;
  /// The same as a multiple of the time that the pass took.
  std::int64_t pass_pause_factor = 3;
  /// How long a new term waits for agents that have not answered yet before it
  /// assigns new runs. Otherwise all work would be placed on the agents that
  /// answer first.
  std::int64_t agent_answer_wait_ms = 300;
  /// Maximum number of idle exchanges per second. Each costs the planner about
  /// 0.1 ms of CPU time.
  std::int64_t max_exchanges_per_s = 200;
  /// Minimum time between two records of what has been learned from runs.
  std::int64_t learned_interval_ms = 5'000;
  WorkerLinkSettings link;
  workload::JobPlannerSettings planner;
};

/// One term of an instance as the planner.
struct PlannerTerm {
  /// Writer identity with which the term was claimed.
  WriterIdentity claim;
  /// Boot clock: when the claim was sent.
  Instant claimed_at;
  /// Boot clock: when the leases of earlier planners have certainly expired.
  Instant earlier_leases_end;
};

/// External calls of a planner, besides the log.
struct PlannerPorts {
  ExchangeFunction exchange;
  AdviseFunction advise;
  /// Returns the time (boot clock) until which runs may be assigned and
  /// started, as far as is known now.
  std::function<Instant()> starts_until = [] { return Instant::Never(); };
};

/// One term of this instance as the planner: plans, stores the changes in the
/// log, and sends agents the orders that are stored.
template <KeyedLog LogStore>
class PlannerSession {
 public:
  /// `on_ended` is posted to the task once, when the term ends because another
  /// planner took over or this one resigned.
  PlannerSession(Task& task,
                 LogStore& log,
                 InstanceId instance,
                 std::uint32_t processor_millis,
                 const PlannerTerm& term,
                 PlannerSessionSettings settings,
                 PlannerPorts ports,
                 PlannerLog& planner_log,
                 std::function<void(std::string reason)> on_ended)
      : task(task),
        instance(std::move(instance)),
        processor_millis(processor_millis),
        epoch(term.claim.epoch),
        settings(settings),
        ports(std::move(ports)),
        planner_log(planner_log),
        on_ended(std::move(on_ended)),
        planner(settings.planner),
        commits(task, log, kProgressTopic, term.claim),
        removal(task, log),
        advice(task,
               this->ports.advise,
               [this](const workload::AdviceRequest& request,
                      const std::vector<workload::AdviceGrant>& granted,
                      Instant expires_at) {
                 this->planner.ApplyAdvice(request, granted, expires_at);
                 this->SchedulePass();
               }),
        claimed_at(term.claimed_at),
        stored_at(term.claimed_at),
        earlier_leases_end(term.earlier_leases_end) {
    this->began_at = BootClock{}.Now();
    this->planner.SetUnknownWorkerDeadline(this->earlier_leases_end);
  }

  ~PlannerSession() { *this->alive = false; }

  PlannerSession(const PlannerSession&) = delete;
  PlannerSession& operator=(const PlannerSession&) = delete;

  std::uint64_t Epoch() const { return this->epoch; }
  const workload::JobPlanner& Planner() const { return this->planner; }

  /// @{
  /// State loaded at the start of the term, and updates during the term.
  void Load(workload::Job job) {
    const bool cancel = job.cancel_requested && !workload::IsFinal(job.phase);
    const JobId id = job.submission.id;
    this->planner.Load(std::move(job), this->Time());
    if (cancel) {
      this->Cancel(id);
    }
  }
  void Submit(workload::Submission submission) {
    this->removal.OnSubmission(submission.id);
    this->planner.Submit(std::move(submission));
    this->SchedulePass();
  }
  /// The submission of a job that has progress has been stored again.
  void Restore(const workload::Job& job) {
    this->removal.OnSubmission(job.submission.id);
    if (!this->planner.Jobs().contains(job.submission.id)) {
      this->Load(job);
    }
    this->SchedulePass();
  }
  /// Removes stored progress whose submission has been removed.
  void RemoveProgress(const JobId& id) { this->removal.AddRemoved(id); }
  void Cancel(const JobId& id) {
    this->planner.Cancel(id, this->Time());
    this->SchedulePass();
  }
  void SetGuarantees(std::map<AccountId, std::int64_t> guarantees) {
    this->planner.SetGuarantees(std::move(guarantees));
    this->SchedulePass();
  }
  /// Returns false when the record cannot be decoded.
  bool LoadLearned(const std::string& bytes) {
    return this->planner.LoadLearned(bytes);
  }
  void SetEvacuatedDomains(std::map<FailureDomainId, Instant> domains) {
    this->planner.SetEvacuatedDomains(std::move(domains));
    this->SchedulePass();
  }
  void SetAgent(const InstanceId& agent, const std::string& address) {
    const auto known = this->links.find(agent);
    if (known != this->links.end() && known->second->Address() == address) {
      return;
    }
    this->planner.RegisterWorker(agent, this->earlier_leases_end);
    this->planner.MarkOrdersChanged(agent);
    this->links[agent] = std::make_unique<WorkerLink>(
        this->task, agent, address, this->epoch, this->settings.link,
        this->ports.exchange, this->LinkCallbacks());
    const std::int64_t wait_ms = this->ExchangeWaitMs();
    for (auto& [name, link] : this->links) {
      link->SetWaitMs(wait_ms);
    }
  }
  void RemoveAgent(const InstanceId& agent) {
    this->links.erase(agent);
    this->planner.MarkWorkerUnreachable(agent);
  }
  /// @}

  /// Starts planning.
  void Start() {
    this->Tick();
    this->SchedulePass();
  }

  /// Handles a claim read from the log. A claim by another instance with the
  /// same or a higher epoch ends the term.
  void ObserveClaim(const PlannerClaim& claim) {
    if (claim.epoch >= this->epoch && claim.instance != this->instance) {
      this->End("another claim of epoch " + std::to_string(claim.epoch));
    }
  }

  /// Stores a resignation in the log, so that another instance takes over
  /// immediately, first `successor` unless it is empty.
  void Resign(const InstanceId& successor) {
    this->resigned = true;
    this->successor = successor;
    this->SchedulePass();
  }

 private:
  workload::TransitionTime Time() const {
    return {BootClock{}.Now(), WallClock{}.Now()};
  }

  // Limits the number of exchanges per second, while two exchanges still fit
  // into a lease.
  std::int64_t ExchangeWaitMs() const {
    constexpr std::int64_t kMsPerSecond = 1'000;
    const auto agents = static_cast<std::int64_t>(this->links.size());
    const std::int64_t longest_ms = this->settings.link.lease_ms / 2 -
                                    this->settings.link.answer_timeout_ms;
    return std::clamp(
        agents * kMsPerSecond / this->settings.max_exchanges_per_s,
        std::min(this->settings.link.wait_ms, longest_ms), longest_ms);
  }

  void Tick() {
    this->SchedulePass();
    this->task.PostAt(BootClock{}.Now().After(this->settings.tick_ms),
                      [this, alive = this->alive] {
                        if (*alive) {
                          this->Tick();
                        }
                      });
  }

  // Coalesces events into one planning pass.
  void SchedulePass() {
    if (std::exchange(this->pass_scheduled, true)) {
      return;
    }
    this->task.PostAt(this->next_pass_at, [this, alive = this->alive] {
      if (*alive) {
        this->pass_scheduled = false;
        this->RunPass();
      }
    });
  }

  // On a slow machine, passes are spaced so that exchanges and calls of clients
  // get most of the processor time.
  void RunPass() {
    if (this->ended) {
      return;
    }
    const Instant began = BootClock{}.Now();
    this->RunPassNow();
    const Instant ended_at = BootClock{}.Now();
    this->planner_log.ObservePass(ended_at.ms - began.ms,
                                  this->settings.heartbeat_interval_ms,
                                  this->epoch);
    this->next_pass_at = ended_at.After(
        std::max(this->settings.min_pass_interval_ms,
                 this->settings.pass_pause_factor * (ended_at.ms - began.ms)));
    if (this->planner.PassWasCutShort()) {
      this->SchedulePass();
    }
  }

  // Orders of the stored runs are sent before the first planning pass, so
  // starts in evacuated domains are withdrawn also without one.
  void RunPassNow() {
    const auto time = this->Time();
    if (!this->resigned && this->AgentsAnswered()) {
      this->planner.Plan(time, time.now < this->ports.starts_until());
      this->advice.SendNext(this->planner.PendingAdviceRequests());
    } else if (!this->resigned) {
      this->planner.WithdrawEvacuatedStarts(time.now);
    }
    this->planner_log.Write(this->planner.TakeEvents(), this->epoch);
    this->planner_log.SetSlowWorkers(this->planner.CountSlowWorkers());
    this->Flush();
    this->SendOrders();
  }

  bool AgentsAnswered() {
    if (!this->agents_answered) {
      const bool all_answered = std::ranges::all_of(
          this->planner.Workers(),
          [](const auto& entry) { return entry.second.reachable; });
      this->agents_answered =
          all_answered ||
          BootClock{}.Now() >=
              this->began_at.After(this->settings.agent_answer_wait_ms);
    }
    return this->agents_answered;
  }

  void Flush() {
    if (this->commits.Busy() || this->ended) {
      return;
    }
    const Instant now = BootClock{}.Now();
    this->removal.RemoveSubmissions(this->planner.ExpiredJobs(now));
    const std::uint64_t commit = this->planner.NextCommit();
    std::vector<KeyedEntry> entries;
    for (const JobId& id : this->planner.TakeChanges()) {
      const auto job = this->planner.Jobs().find(id);
      if (job != this->planner.Jobs().end()) {
        entries.push_back({JobKey(id), workload::EncodeProgress(job->second)});
      }
    }
    const std::vector<JobId> removed = this->removal.Removed();
    for (const JobId& id : removed) {
      entries.push_back({JobKey(id), {}});
    }
    const bool resigning = this->resigned;
    if (resigning) {
      // The next planner relies on it from the moment this append is stored.
      this->resignation_limit = now.After(this->settings.link.lease_ms);
      this->LimitLeases();
    }
    if (now >= this->next_heartbeat_at || resigning) {
      entries.push_back(
          {kPlannerKey,
           EncodeClaim({this->instance, this->epoch, ++this->heartbeat,
                        resigning, this->processor_millis, this->successor,
                        this->earlier_leases_end.RemainingMs(now)})});
      this->next_heartbeat_at = now.After(this->settings.heartbeat_interval_ms);
    }
    // With other entries only, so that it never costs an append of its own.
    if (!entries.empty() && now >= this->next_learned_at &&
        this->planner.HasLearned()) {
      entries.push_back({kLearnedKey, this->planner.EncodeLearned()});
      this->next_learned_at = now.After(this->settings.learned_interval_ms);
    }
    if (entries.empty()) {
      this->committed = commit;
      return;
    }
    this->commits.Store(
        std::move(entries),
        [this, commit, removed, resigning,
         append = ++this->appends](Instant sent) {
          this->FinishRemoval(removed);
          this->OnStored(commit, sent, resigning);
          this->ConfirmRole(append);
        },
        [this](KeyedLogFailure failure) {
          this->End(std::string(NameOf(failure)));
        });
  }

  // A process that has run since before the claim follows any later planner
  // that reaches it. One that does not reach it waits for the leases of this
  // planner.
  bool OnProcessChanged(const InstanceId& agent, Instant started_by) {
    if (started_by < this->claimed_at) {
      return true;
    }
    this->unconfirmed[agent] = this->appends;
    this->next_heartbeat_at = BootClock{}.Now();
    this->SchedulePass();
    return false;
  }

  /// Tells the links whose agents had answered before the append was sent that
  /// no other planner had taken over by then.
  void ConfirmRole(std::uint64_t append) {
    std::erase_if(this->unconfirmed, [&](const auto& entry) {
      if (entry.second >= append) {
        return false;
      }
      const auto link = this->links.find(entry.first);
      if (link != this->links.end()) {
        link->second->ConfirmRole();
      }
      return true;
    });
  }

  void OnStored(std::uint64_t commit, Instant sent, bool resigning) {
    this->committed = commit;
    this->stored_at = sent;
    if (resigning) {
      this->End("resigned");
      return;
    }
    this->Flush();
    this->SendOrders();
  }

  void FinishRemoval(const std::vector<JobId>& jobs) {
    for (const JobId& id : jobs) {
      if (this->removal.Finish(id)) {
        this->planner.Erase(id);
      }
    }
  }

  void End(const std::string& reason) {
    if (std::exchange(this->ended, true)) {
      return;
    }
    this->links.clear();
    this->task.Post([on_ended = this->on_ended, reason] { on_ended(reason); });
  }

  void SendOrders() {
    if (this->ended) {
      return;
    }
    this->LimitLeases();
    this->LimitStarts();
    for (auto& [agent, orders] :
         this->planner.TakeChangedOrders(this->committed)) {
      const auto link = this->links.find(agent);
      if (link != this->links.end()) {
        link->second->SetOrders(std::move(orders),
                                this->AcknowledgedEnd(agent));
      }
    }
    this->AcknowledgeEnds();
  }

  /// Tells the links how long the leases that they grant may last.
  void LimitLeases() {
    const Instant limit =
        std::min(this->resignation_limit,
                 this->stored_at.After(this->settings.max_store_outage_ms));
    for (auto& [agent, link] : this->links) {
      link->SetLeaseLimit(limit);
    }
  }

  /// Tells the links until when agents may start the runs that they order.
  void LimitStarts() {
    const Instant limit = this->ports.starts_until();
    for (auto& [agent, link] : this->links) {
      link->SetStartLimit(limit);
    }
  }

  /// Acknowledges the run ends that have been stored.
  void AcknowledgeEnds() {
    std::erase_if(this->unacknowledged, [this](const InstanceId& agent) {
      const std::uint64_t acknowledged = this->AcknowledgedEnd(agent);
      const auto link = this->links.find(agent);
      if (link != this->links.end()) {
        link->second->SetAcknowledgedEnd(acknowledged);
      }
      return this->run_ends[agent].pending.empty();
    });
  }

  /// Returns the highest run end of the agent's worker up to which all ends are
  /// stored.
  std::uint64_t AcknowledgedEnd(const InstanceId& agent) {
    auto& progress = this->run_ends[agent];
    while (!progress.pending.empty() &&
           progress.pending.front().second <= this->committed) {
      progress.acknowledged =
          std::max(progress.acknowledged, progress.pending.front().first);
      progress.pending.pop_front();
    }
    return progress.acknowledged;
  }

  WorkerLinkCallbacks LinkCallbacks() {
    return {[this](const InstanceId& agent, const rpc::ExchangeReply& reply,
                   Instant lease_expires_at) {
              this->OnReport(agent, reply, lease_expires_at);
            },
            [this](const InstanceId& agent) {
              this->planner.MarkWorkerUnreachable(agent);
              this->SchedulePass();
            },
            [this](const InstanceId& agent) {
              this->planner.MarkOrdersChanged(agent);
              this->unacknowledged.insert(agent);
              this->SchedulePass();
            },
            [this](const InstanceId& agent, Instant started_by) {
              return this->OnProcessChanged(agent, started_by);
            },
            [this](std::uint64_t other) {
              this->task.Post([this, alive = this->alive, other] {
                if (*alive) {
                  this->End("an agent follows epoch " + std::to_string(other));
                }
              });
            }};
  }

  void OnReport(const InstanceId& agent,
                const rpc::ExchangeReply& reply,
                Instant lease_expires_at) {
    const auto time = this->Time();
    const auto description = DecodeDescription(agent, reply);
    auto& progress = this->run_ends[agent];
    if (progress.incarnation != description.incarnation) {
      progress = {};
      progress.incarnation = description.incarnation;
    }
    const bool news =
        this->planner.UpdateWorker(agent, description, lease_expires_at, time);
    std::vector<workload::RunningTask> running;
    for (const auto& run : reply.running()) {
      running.push_back({rpc::FromProto(run.task()), run.run(), run.percent(),
                         run.checkpoint(), run.usage()});
    }
    this->planner.UpdateRunning(
        agent, running,
        time.now.After(-std::max<std::int64_t>(0, reply.running_age_ms())));
    for (const auto& ended : reply.ended()) {
      this->OnEnd(agent, ended, time, progress);
    }
    // A planning pass visits every worker and task, and every agent reports
    // each second, so a report without changes waits for the next tick.
    if (news || this->planner.HasChanges()) {
      this->SchedulePass();
    }
  }

  struct RunEndProgress {
    workload::WorkerIncarnation incarnation;
    std::uint64_t highest = 0;
    std::uint64_t acknowledged = 0;
    /// Run end numbers and the commits that store them, in order.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> pending;
  };

  void OnEnd(const InstanceId& agent,
             const rpc::EndedRun& ended,
             const workload::TransitionTime& time,
             RunEndProgress& progress) {
    if (ended.number() != 0 && ended.number() <= progress.highest) {
      return;
    }
    const auto end = static_cast<workload::RunEnd>(
        std::min(ended.end(),
                 static_cast<std::uint32_t>(workload::RunEnd::kWorkerCrashed)));
    this->planner.ApplyRunReport(
        agent,
        {rpc::FromProto(ended.task()), ended.run(), end, ended.checkpoint()},
        time);
    if (ended.number() != 0) {
      progress.highest = ended.number();
      progress.pending.emplace_back(ended.number(), this->planner.NextCommit());
      this->unacknowledged.insert(agent);
    }
  }

  Task& task;
  InstanceId instance;
  std::uint32_t processor_millis;
  std::uint64_t epoch;
  PlannerSessionSettings settings;
  PlannerPorts ports;
  PlannerLog& planner_log;
  std::function<void(std::string)> on_ended;
  workload::JobPlanner planner;
  CommitPipeline<LogStore> commits;
  JobRemoval<LogStore> removal;
  AdviceCaller advice;
  std::map<InstanceId, std::unique_ptr<WorkerLink>> links;
  std::map<InstanceId, RunEndProgress> run_ends;
  /// Agents whose latest run ends have not been acknowledged.
  std::set<InstanceId> unacknowledged;
  /// Number of appends that have been sent.
  std::uint64_t appends = 0;
  /// Agents whose present process has not been confirmed to have this planner,
  /// with the value of `appends` when it first answered.
  std::map<InstanceId, std::uint64_t> unconfirmed;
  std::uint64_t committed = 0;
  std::uint64_t heartbeat = 0;
  /// As in PlannerTerm.
  Instant claimed_at;
  /// Boot clock. Send time of the last append that was stored.
  Instant stored_at;
  /// As in PlannerTerm.
  Instant earlier_leases_end;
  /// Boot clock: no lease ends later, because this planner resigns.
  Instant resignation_limit = Instant::Never();
  Instant began_at;
  bool agents_answered = false;
  Instant next_heartbeat_at;
  /// Boot clock: earliest time of the next record of what has been learned.
  Instant next_learned_at;
  bool pass_scheduled = false;
  /// Boot clock.
  Instant next_pass_at;
  bool ended = false;
  bool resigned = false;
  InstanceId successor;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_PLANNER_SESSION_H_
