#include "packages/daemon/entry_core.h"

#include <algorithm>
#include <utility>

#include "packages/core/hash.h"
#include "packages/core/log.h"

namespace carobrill::daemon {
namespace {

constexpr std::int64_t kTickIntervalMs = 20;
constexpr std::int64_t kMembershipIntervalMs = 100;
constexpr std::size_t kAuditLimit = 5'000;

// How long this entry may have older rules than a live peer before it reports
// that it is not ready. Together with the 2 s lease of an agent, this lets a
// withdrawal take effect within the required 7 s.
constexpr std::int64_t kMaxRulesLagMs = 2'000;

// Time after which a gang whose members could not be prepared or started is
// requeued. Longer than the 2 s after which its watcher abandons it.
constexpr std::int64_t kPrepareTimeoutMs = 2'500;
constexpr std::int64_t kStartTimeoutMs = 4'000;

Instant Now() {
  return BootClock{}.Now();
}

ledger::SessionSettings SessionSettingsOf(const LogServiceSettings& log) {
  ledger::SessionSettings settings;
  settings.record_stream = log.record_stream;
  settings.snapshot_stream = log.snapshot_stream;
  settings.read_wait_ms = log.read_wait_ms;
  settings.call_timeout_ms = log.call_timeout_ms;
  settings.retention_ms = log.retention_ms;
  settings.records_per_snapshot = log.records_per_snapshot;
  return settings;
}

records::Writer WriterOf(const EntryIdentity& identity) {
  records::Writer writer;
  writer.set_instance(identity.settings.instance.id);
  writer.set_incarnation(identity.incarnation);
  return writer;
}

membership::DirectorySettings DirectorySettingsOf(
    const EntryIdentity& identity) {
  const EntrySettings& entry = identity.settings.entry;
  membership::DirectorySettings settings;
  settings.self = InstanceId(identity.settings.instance.id);
  settings.self_incarnation = identity.incarnation;
  settings.address = identity.address;
  settings.region = identity.settings.instance.region;
  settings.failure_domain = identity.settings.instance.failure_domain;
  settings.suspect_after_ms = entry.suspect_after_ms;
  settings.dead_after_ms = entry.dead_after_ms;
  settings.agent_lease_ms = entry.agent_lease_ms;
  return settings;
}

requests::DispatcherSettings DispatcherSettingsOf(
    const EntryIdentity& identity) {
  const RequestSettings& limits = identity.settings.entry.requests;
  requests::DispatcherSettings settings;
  settings.self = InstanceId(identity.settings.instance.id);
  settings.self_incarnation = identity.incarnation;
  settings.seed = HashOf(settings.self.value) ^ identity.incarnation;
  settings.queue_limit = limits.queue_limit;
  settings.retry_percent = limits.retry_percent;
  settings.hedge_percent = limits.hedge_percent;
  return settings;
}

PlanningSettings PlanningSettingsOf(const EntryIdentity& identity) {
  const EntrySettings& entry = identity.settings.entry;
  PlanningSettings settings;
  settings.self = InstanceId(identity.settings.instance.id);
  settings.self_incarnation = identity.incarnation;
  settings.enabled = entry.planner.enabled;
  settings.observation_ms = entry.dead_after_ms + entry.suspect_after_ms;
  settings.reservation_ms = entry.planner.prepare_timeout_ms;
  settings.planner.prepare_timeout_ms = kPrepareTimeoutMs;
  settings.planner.start_timeout_ms = kStartTimeoutMs;
  settings.liveness.own_region = RegionId(identity.settings.instance.region);
  return settings;
}

}  // namespace

EntryCore::EntryCore(const EntryIdentity& identity,
                     ReplicatedState initial_state,
                     ledger::Recovery recovery,
                     Task& task,
                     MetricsRegistry& metrics)
    : identity(identity),
      task(task),
      metrics(metrics),
      http(task),
      log(this->http, identity.settings.entry.log_service.url),
      scheduler(task),
      session(SessionSettingsOf(identity.settings.entry.log_service),
              WriterOf(identity),
              recovery,
              this->log,
              this->scheduler,
              this->MakeHooks(),
              std::move(initial_state)),
      proposer(this->session, task),
      agents(task, this->channels),
      entries(task, this->channels),
      directory(DirectorySettingsOf(identity)),
      requests(DispatcherSettingsOf(identity),
               this->session.State().Claims(),
               this->proposer,
               this->agents),
      planning(PlanningSettingsOf(identity),
               this->session,
               this->proposer,
               this->agents,
               Now()),
      registrar(this->session, this->proposer),
      report_recorder(this->session, this->proposer),
      peers(identity.settings.entry.peers,
            identity.settings.entry.digest_interval_ms,
            this->directory,
            this->entries),
      audit(kAuditLimit) {}

void EntryCore::Start() {
  this->session.Start();
  this->task.PostEvery(kTickIntervalMs,
                       [this, alive = std::weak_ptr<int>(this->alive)] {
                         if (!alive.expired()) {
                           this->Tick();
                         }
                       });
}

rpc::EntryHandlers EntryCore::Handlers() {
  rpc::EntryHandlers handlers;
  handlers.announce = [this](const auto& request, const auto& respond) {
    this->OnAnnounce(request, respond);
  };
  handlers.report_gang = [this](const auto& request, const auto& respond) {
    this->report_recorder.OnReport(request.report(), respond);
  };
  handlers.exchange_digest = [this](const auto& request, const auto& respond) {
    this->OnDigest(request, respond);
  };
  handlers.fetch_state = [this](const auto& request, const auto& stream) {
    this->OnFetchState(request, stream);
  };
  return handlers;
}

void EntryCore::BeginDrain() {
  this->draining = true;
  this->UpdateSelfStatus();
  this->peers.MakeDigestsDue();
  this->peers.Tick(Now());
}

Readiness EntryCore::CurrentReadiness() const {
  if (!this->ready && this->log_unresponsive) {
    return {false,
            "the log service does not answer and no peer has sent its state"};
  }
  if (!this->ready) {
    return {false, "the state has not been recovered from the log yet"};
  }
  if (this->rules_outdated) {
    return {false, "the rules in force here are older than those of a peer"};
  }
  return {true, ""};
}

ledger::SessionHooks EntryCore::MakeHooks() {
  ledger::SessionHooks hooks;
  hooks.on_record_applied = [this](const auto& folded) {
    this->OnRecord(folded);
  };
  hooks.on_state_replaced = [this] { this->OnStateReplaced(); };
  hooks.on_recovery_state = [](ledger::RecoveryState state) {
    Log(LogLevel::kInfo, "recovery state changed",
        {{"state", std::string(NameOf(state))}});
  };
  hooks.on_divergence = [](const ledger::Divergence& divergence) {
    Log(LogLevel::kError,
        "replicated state differs from the state in a snapshot",
        {{"offset", std::to_string(divergence.offset)}});
  };
  hooks.on_state_reverted = [] {
    Log(LogLevel::kError,
        "replaced the state by an older one from which the log has continued");
  };
  hooks.should_write_snapshots = [this] { return this->planning.IsPlanning(); };
  hooks.fetch_from_peer = [this](const auto& query, auto callback) {
    this->peers.FetchState(query, std::move(callback));
  };
  return hooks;
}

void EntryCore::OnRecord(const ledger::AppliedRecord& folded) {
  this->metrics.CountRecord(folded.verdict);
  if (folded.status != ledger::ApplyStatus::kApplied) {
    return;
  }
  this->audit.Add(folded.record, folded.offset, folded.appended_at,
                  folded.verdict);
  this->requests.OnRecord(folded);
  this->planning.OnStateChanged();
  if (folded.record.has_rules_published() &&
      folded.verdict == records::Verdict::kAccepted) {
    this->OnRulesChanged();
  }
}

void EntryCore::OnStateReplaced() {
  this->requests.OnStateReplaced();
  this->planning.OnStateChanged();
  this->OnRulesChanged();
}

void EntryCore::OnRulesChanged() {
  const auto& rules = this->State().Rules();
  this->directory.SetWithdrawals(
      {rules.Rules().withdrawn_partners, rules.Rules().drained_endpoints});
  this->requests.OnRules(rules.Rules());
  this->next_membership_at = Instant{};
  this->UpdateSelfStatus();
  Log(LogLevel::kInfo, "rules have taken effect",
      {{"version", std::to_string(rules.Version())},
       {"author", rules.Author()}});
}

// An entry without the current rules could grant a lease to an endpoint that
// these rules withdraw, so an entry that is not ready grants no leases.
void EntryCore::OnAnnounce(const rpc::AnnounceRequest& request,
                           const rpc::Responder<rpc::AnnounceReply>& respond) {
  const Instant now = Now();
  membership::AnnounceOutcome outcome =
      this->directory.OnAnnounce(request, now);
  if (outcome.reception == membership::MessageStatus::kAccepted) {
    this->registrar.OnAnnounce(request, now);
    this->planning.OnAnnounce(request);
    if (request.state() != rpc::ENDPOINT_STATE_SERVING) {
      this->next_membership_at = now;
    }
  }
  if (!this->CurrentReadiness().ready) {
    outcome.reply.set_lease_ms(0);
  }
  respond(std::move(outcome.reply));
}

void EntryCore::OnDigest(const rpc::DigestRequest& request,
                         const rpc::Responder<rpc::DigestReply>& respond) {
  respond(this->directory.OnDigest(request, Now()).reply);
}

void EntryCore::OnFetchState(const rpc::FetchStateRequest& request,
                             const rpc::StateStream& stream) {
  const auto state =
      this->session.Serve({request.lineage(), request.next_offset()});
  if (state.has_value()) {
    StreamState(*state, stream);
  }
}

void EntryCore::Tick() {
  const Instant now = Now();
  this->UpdateLogState();
  if (this->next_membership_at <= now) {
    this->next_membership_at = now.After(kMembershipIntervalMs);
    this->TickMembership(now);
  }
  this->requests.OnTimer(now);
  this->peers.Tick(now);
  this->planning.Tick(this->directory, now);
}

void EntryCore::TickMembership(Instant now) {
  this->UpdateSelfStatus();
  this->directory.OnTimer(now);
  this->requests.OnMembership(this->directory, this->LogAvailable(), now);
  this->UpdateReadiness(now);
  this->metrics.Refresh(this->session, this->directory, this->requests,
                        this->planning, now);
}

// Withdraws unsent records when the log becomes unavailable. A claim that was
// never sent can safely be refused as not run. If it stayed queued during an
// outage, it could run long after its caller has disconnected.
void EntryCore::UpdateLogState() {
  const bool available = this->LogAvailable();
  if (available == this->log_was_available) {
    return;
  }
  this->log_was_available = available;
  this->next_membership_at = Instant{};
  Log(available ? LogLevel::kInfo : LogLevel::kWarning,
      available ? "log service is available" : "log service is unavailable");
  if (!available) {
    this->proposer.WithdrawUnsent();
  }
}

void EntryCore::UpdateReadiness(Instant now) {
  if (!this->RulesAreOutdated(now)) {
    this->rules_outdated_since = Instant::Never();
  } else if (this->rules_outdated_since == Instant::Never()) {
    this->rules_outdated_since = now;
  }
  this->rules_outdated =
      this->rules_outdated_since < Instant::Never() &&
      now >= this->rules_outdated_since.After(kMaxRulesLagMs);
  this->ready = this->session.Ready();
  this->log_unresponsive = this->session.InOutage();
}

bool EntryCore::RulesAreOutdated(Instant now) const {
  const auto entries = this->directory.Entries(now);
  return std::ranges::any_of(entries, [this](const auto& entry) {
    return entry.liveness == membership::Liveness::kLive &&
           entry.rules_version > this->State().Rules().Version();
  });
}

bool EntryCore::LogAvailable() const {
  return this->session.CanPropose() && !this->session.InOutage();
}

void EntryCore::UpdateSelfStatus() {
  membership::LocalEntryStatus status;
  status.applied_offset = this->session.AppliedOffset();
  status.lineage = this->session.Lineage();
  status.rules_version = this->State().Rules().Version();
  status.draining = this->draining;
  this->directory.SetLocalStatus(status);
}

}  // namespace carobrill::daemon
