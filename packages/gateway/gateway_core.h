#ifndef PACKAGES_GATEWAY_GATEWAY_CORE_H_
#define PACKAGES_GATEWAY_GATEWAY_CORE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/core/keyed_log.h"
#include "packages/core/metrics.h"
#include "packages/core/task.h"
#include "packages/gateway/caller_api.h"
#include "packages/gateway/configuration.h"
#include "packages/gateway/job_view.h"
#include "packages/gateway/lease_bounds.h"
#include "packages/gateway/planner_lease.h"
#include "packages/gateway/planner_session.h"
#include "packages/gateway/registration.h"
#include "packages/gateway/topic_follower.h"

namespace carobrill::gateway {

/// Location and decoder of the configuration and of the operator's requests.
struct ConfigurationSource {
  std::string topic;
  std::string key;
  /// A record under this prefix and the name of a failure domain evacuates the
  /// domain while it exists.
  std::string evacuation_prefix;
  /// Returns nothing if the bytes cannot be decoded.
  std::function<std::optional<Configuration>(const std::string&)> decode;
};

/// External calls and notifications of a gateway, besides the log.
struct GatewayPorts {
  PlannerPorts planner;
  /// Reports another gateway and its address ("ip:port").
  std::function<void(const InstanceId&, const std::string& address)> on_gateway;
  /// True while direct calls of the log fail. Other paths may still work.
  std::function<bool()> direct_path_failing = [] { return false; };
};

/// Gateway settings; times in ms.
struct GatewaySettings {
  InstanceId instance;
  /// Processor share of the instance in thousandths of a core; 0 when unknown.
  std::uint32_t processor_millis = 0;
  /// Address at which other gateways reach this one ("ip:port"). Empty if they
  /// cannot.
  std::string relay_address;
  FollowerSettings follower;
  PlannerLeaseSettings lease;
  PlannerSessionSettings session;
  CallerSettings caller;
  /// Interval between checks of the planner lease.
  std::int64_t tick_ms = 100;
  /// Gap between two checks from which the process counts as having been
  /// suspended.
  std::int64_t suspension_ms = 600;
  /// Age of the view after which the gateway reports that it is not ready for
  /// new connections.
  std::int64_t max_ready_view_age_ms = 2'600;
  /// How long calls are served after shutdown has begun. The platform stops
  /// sending connections after two failed readiness checks, one per second.
  std::int64_t drain_ms = 2'600;
  /// Age of the operator's records from which the planner assigns no new runs,
  /// because an evacuation may be in force that it does not know of; 0 where
  /// evacuations are not used.
  std::int64_t max_evacuation_view_age_ms = 0;
  /// How long after an evacuation was read runs may still be confirmed as
  /// started; those that are not are withdrawn. Covers an order, its answer and
  /// a report; the rest of the time limit is left for the stop.
  std::int64_t evacuation_confirm_ms = 1'000;
};

/// A gateway: serves clients from the log, and schedules jobs while it is the
/// elected planner.
template <KeyedLog LogStore>
class GatewayCore {
 public:
  GatewayCore(Task& task,
              LogStore& log,
              GatewaySettings settings,
              ConfigurationSource source,
              GatewayPorts ports,
              MetricsRegistry& metrics)
      : task(task),
        log(log),
        settings(std::move(settings)),
        source(std::move(source)),
        ports(std::move(ports)),
        planner_log(metrics),
        planner_gauge(metrics.GetGauge("carobrill_planner",
                                       "1 while this instance plans.")),
        evacuation_gauge(metrics.GetGauge(
            "carobrill_evacuated_domains",
            "Failure domains that the operator has evacuated.")),
        lease(this->settings.lease,
              RankOf(this->settings.instance),
              this->settings.instance,
              this->settings.processor_millis),
        intake(task,
               log,
               kIntakeTopic,
               this->settings.follower,
               {[this](const KeyedRecord& record) {
                  this->OnIntakeRecord(record);
                },
                [this](const std::set<std::string>& keys) {
                  this->view.RetainIntake(keys);
                }}),
        progress(task,
                 log,
                 kProgressTopic,
                 this->ProgressFollowerSettings(),
                 {[this](const KeyedRecord& record) {
                    this->OnProgressRecord(record);
                  },
                  [this](const std::set<std::string>& keys) {
                    this->view.RetainProgress(keys);
                  }}),
        agents(task,
               log,
               kAgentTopic,
               this->settings.follower,
               {[this](const KeyedRecord& record) {
                  this->OnAddressRecord(record);
                },
                [](const std::set<std::string>&) {}}),
        operator_topic(task,
                       log,
                       this->source.topic,
                       this->settings.follower,
                       {[this](const KeyedRecord& record) {
                          this->OnOperatorRecord(record);
                        },
                        [this](const std::set<std::string>& keys) {
                          this->RetainEvacuations(keys);
                        }}),
        registration(task, log),
        api(task,
            log,
            this->view,
            this->MakeSources(),
            this->settings.caller,
            metrics) {}

  ~GatewayCore() { *this->alive = false; }

  GatewayCore(const GatewayCore&) = delete;
  GatewayCore& operator=(const GatewayCore&) = delete;

  /// Starts following the log.
  void Start() {
    this->operator_topic.Start();
    this->intake.Start();
    this->progress.Start();
    this->agents.Start();
    if (!this->settings.relay_address.empty()) {
      this->registration.Start(
          GatewayKey(this->settings.instance),
          {this->settings.relay_address, this->incarnation});
    }
    this->Tick();
  }

  /// Handles a client call; `respond` runs exactly once.
  void Handle(CallerRequest request, CallerResponder respond) {
    this->api.Handle(std::move(request), std::move(respond));
  }

  /// Returns why the gateway is not ready for new connections; empty if it is.
  std::string_view NotReadyReason() const {
    if (this->draining) {
      return "shutting down";
    }
    if (!this->configuration.has_value()) {
      return "no configuration";
    }
    if (!this->intake.Loaded() || !this->progress.Loaded()) {
      return "records not loaded";
    }
    const Instant fresh_at =
        std::min({this->intake.FreshAt(), this->progress.FreshAt(),
                  this->operator_topic.FreshAt()});
    return BootClock{}.Now() <
                   fresh_at.After(this->settings.max_ready_view_age_ms)
               ? ""
               : "records too old";
  }

  /// True if the gateway is ready for new connections.
  bool Ready() const { return this->NotReadyReason().empty(); }

  /// Resigns as planner and reports not ready. `drained` runs after the time
  /// allowed for open connections.
  void BeginShutdown(std::function<void()> drained) {
    this->draining = true;
    if (this->session != nullptr) {
      this->session->Resign({});
    }
    this->task.PostAt(BootClock{}.Now().After(this->settings.drain_ms),
                      std::move(drained));
  }

  const Configuration* CurrentConfiguration() const {
    return this->configuration.has_value() ? &*this->configuration : nullptr;
  }
  /// Returns the planner's state while this instance is the planner, otherwise
  /// null.
  const workload::JobPlanner* Planner() const {
    return this->session == nullptr ? nullptr : &this->session->Planner();
  }

 private:
  static std::uint32_t RankOf(const InstanceId& instance) {
    // Instances do not know each other. A small number of ranks is enough to
    // spread most claims over time.
    constexpr std::uint32_t kRanks = 4;
    return static_cast<std::uint32_t>(std::hash<std::string>{}(instance.value) %
                                      kRanks);
  }

  // A progress record holds the complete progress of its job.
  FollowerSettings ProgressFollowerSettings() const {
    FollowerSettings result = this->settings.follower;
    result.newest_only = true;
    return result;
  }

  // Only the planner needs every change at once. Other gateways read on demand
  // when a client asks for a job.
  void SetGatherMs(std::int64_t gather_ms) {
    this->intake.SetGatherMs(gather_ms);
    this->progress.SetGatherMs(gather_ms);
    this->agents.SetGatherMs(gather_ms);
  }

  CallerSources MakeSources() {
    return {
        [this] { return this->CurrentConfiguration(); },
        [this] { return this->operator_topic.FreshAt(); },
        [this] {
          return std::min(this->intake.FreshAt(), this->progress.FreshAt());
        },
        [this] { return this->intake.Failing() && this->progress.Failing(); },
        this->ports.direct_path_failing,
        [this] { return this->progress.Gathering(); },
        [this](std::function<void(bool)> done) {
          this->intake.Barrier(std::move(done));
        },
        [this](std::function<void(bool)> done) {
          this->progress.Barrier(std::move(done));
        }};
  }

  void OnIntakeRecord(const KeyedRecord& record) {
    if (record.entry.key == kHandoverKey) {
      this->OnHandoverRequest(record);
      return;
    }
    const IntakeChange change = this->view.ApplyIntake(record.entry);
    if (this->session == nullptr || change == IntakeChange::kNone) {
      return;
    }
    const bool cancelled = change == IntakeChange::kCancelled;
    const auto id =
        JobIdFromKey(record.entry.key, cancelled ? kCancelPrefix : kJobPrefix);
    if (!id.has_value()) {
      return;
    }
    const workload::Job& job = *this->view.Find(*id);
    if (change == IntakeChange::kAccepted) {
      this->session->Submit(job.submission);
    } else if (change == IntakeChange::kRestored &&
               !this->view.IsProgressUnreadable(*id)) {
      this->session->Restore(job);
    }
    if (cancelled || job.cancel_requested) {
      this->session->Cancel(*id);
    }
  }

  // A request that names another epoch was meant for an earlier planner.
  void OnHandoverRequest(const KeyedRecord& record) {
    const auto request = DecodeHandover(record.entry.value);
    if (!request.has_value()) {
      Log(LogLevel::kWarning, "cannot decode hand-over request",
          {{"offset", std::to_string(record.offset)}});
      return;
    }
    if (this->session == nullptr || request->epoch != this->session->Epoch() ||
        request->instance == this->settings.instance) {
      return;
    }
    Log(LogLevel::kInfo, "planner_hands_over",
        {{"epoch", std::to_string(request->epoch)},
         {"successor", request->instance.value}});
    this->session->Resign(request->instance);
  }

  void OnProgressRecord(const KeyedRecord& record) {
    if (record.entry.key == kLearnedKey) {
      this->learned = record.entry.value;
      return;
    }
    if (record.entry.key != kPlannerKey) {
      this->view.ApplyProgress(record.entry);
      return;
    }
    const auto claim = DecodeClaim(record.entry.value);
    if (!claim.has_value()) {
      Log(LogLevel::kWarning, "cannot decode planner claim",
          {{"offset", std::to_string(record.offset)}});
      return;
    }
    if (claim->epoch != this->lease.Newest().epoch) {
      Log(LogLevel::kInfo, "planner_changed",
          {{"planner", claim->instance.value},
           {"epoch", std::to_string(claim->epoch)},
           {"offset", std::to_string(record.offset)}});
    }
    this->lease.Observe(*claim, BootClock{}.Now());
    if (this->session != nullptr) {
      this->session->ObserveClaim(*claim);
    }
    if (claim->resigned) {
      // Posted, because a claim names the end of the topic after this record.
      this->task.Post([this, alive = this->alive] {
        if (*alive) {
          this->ClaimIfDue(BootClock{}.Now());
        }
      });
    }
  }

  void OnAddressRecord(const KeyedRecord& record) {
    const auto address = DecodeAddress(record.entry.value);
    // An entry without a value has been removed.
    if (!address.has_value() && !record.entry.value.empty()) {
      Log(LogLevel::kWarning, "ignoring a malformed address",
          {{"key", record.entry.key},
           {"offset", std::to_string(record.offset)}});
      return;
    }
    if (record.entry.key.starts_with(kGatewayPrefix)) {
      const InstanceId gateway(record.entry.key.substr(kGatewayPrefix.size()));
      if (address.has_value() && gateway != this->settings.instance) {
        this->ports.on_gateway(gateway, address->rpc_address);
      }
      return;
    }
    const InstanceId agent(record.entry.key);
    if (!address.has_value()) {
      this->agent_addresses.erase(agent);
      if (this->session != nullptr) {
        this->session->RemoveAgent(agent);
      }
      return;
    }
    this->agent_addresses[agent] = address->rpc_address;
    if (this->session != nullptr) {
      this->session->SetAgent(agent, address->rpc_address);
    }
  }

  // Versions only increase, so a record that is read again is ignored.
  void OnOperatorRecord(const KeyedRecord& record) {
    const std::string& prefix = this->source.evacuation_prefix;
    if (!prefix.empty() && record.entry.key.starts_with(prefix)) {
      if (record.entry.key == prefix) {
        Log(LogLevel::kWarning, "ignoring an evacuation without a domain",
            {{"offset", std::to_string(record.offset)}});
        return;
      }
      this->SetEvacuated(
          FailureDomainId(record.entry.key.substr(prefix.size())),
          !record.entry.value.empty(), record.offset);
      return;
    }
    if (record.entry.key != this->source.key || record.entry.value.empty()) {
      return;
    }
    auto read = this->source.decode(record.entry.value);
    if (!read.has_value() || (this->configuration.has_value() &&
                              read->version <= this->configuration->version)) {
      return;
    }
    Log(LogLevel::kInfo, "configuration_in_force",
        {{"version", std::to_string(read->version)},
         {"queues", std::to_string(read->queues.size())},
         {"keys", std::to_string(read->account_by_key.size())},
         {"offset", std::to_string(record.offset)}});
    this->configuration = std::move(read);
    if (this->session != nullptr) {
      this->session->SetGuarantees(
          this->configuration->guaranteed_accelerators);
    }
  }

  void SetEvacuated(const FailureDomainId& domain,
                    bool evacuated,
                    Offset offset) {
    const bool changed = evacuated ? this->evacuated_domains
                                         .try_emplace(domain, this->ConfirmBy())
                                         .second
                                   : this->evacuated_domains.erase(domain) > 0;
    if (!changed) {
      return;
    }
    Log(LogLevel::kInfo, evacuated ? "domain_evacuated" : "domain_restored",
        {{"domain", domain.value}, {"offset", std::to_string(offset)}});
    this->evacuation_gauge.Set(
        static_cast<double>(this->evacuated_domains.size()));
    if (this->session != nullptr) {
      this->session->SetEvacuatedDomains(this->evacuated_domains);
    }
  }

  // The store may have dropped the removal of a request with its history.
  void RetainEvacuations(const std::set<std::string>& keys) {
    const std::map<FailureDomainId, Instant> known = this->evacuated_domains;
    for (const auto& [domain, confirm_by] : known) {
      if (!keys.contains(this->source.evacuation_prefix + domain.value)) {
        this->SetEvacuated(domain, false, this->operator_topic.Next());
      }
    }
  }

  // An evacuation that is not known now was stored at or after the time of the
  // operator's newest records.
  Instant StartsUntil() const {
    const std::int64_t max_age_ms = this->settings.max_evacuation_view_age_ms;
    return max_age_ms == 0 ? Instant::Never()
                           : this->operator_topic.FreshAt().After(max_age_ms);
  }

  // An evacuation that is read late, or at the start of the process, may have
  // been stored long before. No confirmation is awaited then.
  Instant ConfirmBy() const {
    return std::min(
        BootClock{}.Now().After(this->settings.evacuation_confirm_ms),
        this->StartsUntil());
  }

  void Tick() {
    const Instant now = BootClock{}.Now();
    const bool was_suspended =
        now >= this->ticked_at.After(this->settings.suspension_ms);
    if (was_suspended || this->progress.Failing() || !this->progress.Loaded()) {
      this->lease.RestartSilence(now);
    }
    this->ticked_at = now;
    this->ClaimIfDue(now);
    this->task.PostAt(now.After(this->settings.tick_ms),
                      [this, alive = this->alive] {
                        if (*alive) {
                          this->Tick();
                        }
                      });
  }

  void ClaimIfDue(Instant now) {
    const bool can_claim = this->session == nullptr && !this->claiming &&
                           !this->draining && this->progress.Loaded() &&
                           this->intake.Loaded() && this->agents.Loaded() &&
                           this->configuration.has_value() &&
                           this->EvacuationsKnown();
    if (!can_claim) {
      return;
    }
    if (this->lease.ShouldClaim(now)) {
      this->Claim(
          std::max(this->lease.NextEpoch(), this->last_tried_epoch + 1));
    } else if (this->lease.ShouldRequestHandover(now)) {
      this->RequestHandover(this->lease.Newest().epoch);
    }
  }

  // The configuration may be read before the other records of its topic.
  bool EvacuationsKnown() const {
    return this->settings.max_evacuation_view_age_ms == 0 ||
           this->operator_topic.FreshAt() != Instant{};
  }

  void RequestHandover(std::uint64_t epoch) {
    KeyedAppend append;
    append.topic = kIntakeTopic;
    append.entries = {
        {kHandoverKey, EncodeHandover({this->settings.instance, epoch})}};
    append.deadline =
        BootClock{}.Now().After(this->settings.follower.answer_timeout_ms);
    this->log.Append(append, [epoch](const KeyedAppendReply& reply) {
      Log(LogLevel::kInfo, "hand_over_requested",
          {{"epoch", std::to_string(epoch)},
           {"outcome", std::string(NameOf(reply.failure))}});
    });
  }

  // The log answers a repeated sequence number with the first answer, so claims
  // by different instances must use different numbers. Each process starts at
  // its own number, with room for 2^28 appends before the next start.
  WriterIdentity IdentityOf(std::uint64_t epoch) const {
    constexpr std::uint64_t kSequenceStarts = 1U << 24;
    constexpr unsigned kSequenceBits = 28;
    const std::uint64_t start =
        std::hash<std::string>{}(this->settings.instance.value + "/" +
                                 std::to_string(this->incarnation)) %
        kSequenceStarts;
    return {epoch, start << kSequenceBits};
  }

  // The claim takes effect only if nothing was appended since this instance
  // last read the topic, so a new planner knows everything that the previous
  // one stored.
  void Claim(std::uint64_t epoch) {
    this->claiming = true;
    this->last_tried_epoch = epoch;
    this->lease.ObserveOwnClaim(epoch);
    const Instant now = BootClock{}.Now();
    this->claimed_at = now;
    this->earlier_leases_ms =
        EarlierLeasesMs(this->lease.Newest(), this->settings.instance,
                        {this->settings.session.link.lease_ms,
                         this->settings.session.max_store_outage_ms});
    KeyedAppend append;
    append.topic = kProgressTopic;
    append.entries = {
        {kPlannerKey, EncodeClaim({this->settings.instance,
                                   epoch,
                                   0,
                                   false,
                                   this->settings.processor_millis,
                                   {},
                                   this->earlier_leases_ms})}};
    append.expected_end = this->progress.Next();
    append.writer = this->IdentityOf(epoch);
    append.deadline = now.After(this->settings.follower.answer_timeout_ms);
    this->log.Append(append, [this, alive = this->alive,
                              epoch](const KeyedAppendReply& reply) {
      if (*alive) {
        this->OnClaim(epoch, reply.failure);
      }
    });
  }

  void OnClaim(std::uint64_t epoch, KeyedLogFailure failure) {
    Log(LogLevel::kInfo, "planner_claim",
        {{"epoch", std::to_string(epoch)},
         {"outcome", std::string(NameOf(failure))}});
    if (failure != KeyedLogFailure::kNone) {
      this->claiming = false;
      this->lease.RestartSilence(BootClock{}.Now());
      return;
    }
    this->earlier_leases_end = BootClock{}.Now().After(this->earlier_leases_ms);
    this->AwaitIntake(epoch);
  }

  // The planner stops runs of jobs that it does not know. The term therefore
  // begins only once everything accepted before the claim has been read.
  void AwaitIntake(std::uint64_t epoch) {
    this->intake.Barrier([this, alive = this->alive, epoch](bool complete) {
      if (!*alive) {
        return;
      }
      if (complete) {
        this->BeginTerm(epoch);
        return;
      }
      this->task.PostAt(
          BootClock{}.Now().After(this->settings.follower.retry_delay_ms),
          [this, alive, epoch] {
            if (*alive) {
              this->AwaitIntake(epoch);
            }
          });
    });
  }

  void BeginTerm(std::uint64_t epoch) {
    this->claiming = false;
    const PlannerClaim& newest = this->lease.Newest();
    const bool superseded =
        newest.epoch > epoch ||
        (newest.epoch == epoch && newest.instance != this->settings.instance);
    if (superseded || this->draining) {
      return;
    }
    PlannerPorts planner_ports = this->ports.planner;
    planner_ports.starts_until = [this] { return this->StartsUntil(); };
    this->session = std::make_unique<PlannerSession<LogStore>>(
        this->task, this->log, this->settings.instance,
        this->settings.processor_millis,
        PlannerTerm{this->IdentityOf(epoch), this->claimed_at,
                    this->earlier_leases_end},
        this->settings.session, std::move(planner_ports), this->planner_log,
        [this, alive = this->alive](const std::string& reason) {
          if (*alive) {
            this->EndTerm(reason);
          }
        });
    for (const auto& [id, job] : this->view.Jobs()) {
      // Its tasks may have run already.
      if (this->view.IsProgressUnreadable(id)) {
        Log(LogLevel::kError, "job_not_planned",
            {{"job", id.value}, {"reason", "cannot decode its progress"}});
        continue;
      }
      this->session->Load(job);
    }
    const std::vector<JobId> removed = this->view.RemovedJobs();
    for (const JobId& id : removed) {
      this->session->RemoveProgress(id);
    }
    this->session->SetGuarantees(this->configuration->guaranteed_accelerators);
    this->session->SetEvacuatedDomains(this->evacuated_domains);
    if (!this->learned.empty() && !this->session->LoadLearned(this->learned)) {
      Log(LogLevel::kWarning, "cannot decode the learned run times",
          {{"bytes", std::to_string(this->learned.size())}});
    }
    for (const auto& [agent, address] : this->agent_addresses) {
      this->session->SetAgent(agent, address);
    }
    this->SetGatherMs(0);
    this->planner_gauge.Set(1);
    Log(LogLevel::kInfo, "planner_term_begins",
        {{"epoch", std::to_string(epoch)},
         {"jobs", std::to_string(this->view.Jobs().size())},
         {"removed_jobs", std::to_string(removed.size())},
         {"agents", std::to_string(this->agent_addresses.size())}});
    this->session->Start();
  }

  void EndTerm(const std::string& reason) {
    Log(LogLevel::kWarning, "planner_term_ends",
        {{"epoch", std::to_string(this->session->Epoch())},
         {"reason", reason}});
    this->session.reset();
    this->planner_gauge.Set(0);
    this->SetGatherMs(this->settings.follower.gather_ms);
    this->lease.RestartSilence(BootClock{}.Now());
  }

  Task& task;
  LogStore& log;
  GatewaySettings settings;
  ConfigurationSource source;
  GatewayPorts ports;
  PlannerLog planner_log;
  Gauge& planner_gauge;
  Gauge& evacuation_gauge;
  PlannerLease lease;
  JobView view;
  std::optional<Configuration> configuration;
  std::map<InstanceId, std::string> agent_addresses;
  /// Evacuated domains, and when starts there must have been confirmed (boot
  /// clock).
  std::map<FailureDomainId, Instant> evacuated_domains;
  /// Newest record of what planners have learned from runs; empty for none.
  std::string learned;
  TopicFollower<LogStore> intake;
  TopicFollower<LogStore> progress;
  TopicFollower<LogStore> agents;
  TopicFollower<LogStore> operator_topic;
  Registration<LogStore> registration;
  CallerApi<LogStore> api;
  std::unique_ptr<PlannerSession<LogStore>> session;
  bool claiming = false;
  bool draining = false;
  std::uint64_t last_tried_epoch = 0;
  /// Boot clock: when the latest claim was sent.
  Instant claimed_at;
  /// How long leases of earlier planners may last after the latest claim.
  std::int64_t earlier_leases_ms = 0;
  /// Boot clock: the same for the last claim that succeeded.
  Instant earlier_leases_end;
  /// Start time of this process (Unix µs).
  std::uint64_t incarnation = WallClockMicros();
  Instant ticked_at;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_GATEWAY_CORE_H_
