#include "packages/daemon/agent_announcer.h"

#include <algorithm>
#include <utility>

#include "packages/core/log.h"

namespace carobrill::daemon {
namespace {

// Half of the lease, so that an unresponsive entry is replaced while the lease
// from the last reply is still valid.
constexpr std::int64_t kAnnounceTimeoutMs = 1'000;
constexpr std::int64_t kReportTimeoutMs = 2'000;

// Usage samples are seconds old in any case, and the samples of 16 tasks would
// double the size of an announcement.
constexpr std::int64_t kUsageIntervalMs = 3'000;

// Allows a change of state to be announced while an earlier announcement is
// still unanswered.
constexpr std::size_t kMaxInFlight = 2;

EntrySelector MakeEntrySelector(const AgentContext& context) {
  const AgentSettings& settings = context.settings.agent;
  return EntrySelector(context.self.instance, settings.entries,
                       settings.announced_entry_count,
                       settings.announce_interval_ms);
}

}  // namespace

AgentAnnouncer::AgentAnnouncer(AgentContext& context,
                               RequestFiller fill_request)
    : context(context),
      fill_request(std::move(fill_request)),
      entry_selector(MakeEntrySelector(context)),
      announced_state(context.gate.State()) {}

void AgentAnnouncer::Tick(Instant now) {
  if (this->announced_state != this->context.gate.State()) {
    this->announced_state = this->context.gate.State();
    this->entry_selector.MakeAllDue(now);
  }
  for (const auto& address : this->entry_selector.TakeDue(now)) {
    this->Announce(address, now);
  }
}

// Each retry goes to the next chosen entry, so that an entry that cannot write
// to the log does not delay the report.
void AgentAnnouncer::Report(const rpc::GangReport& report,
                            std::function<void()> on_recorded) {
  const Instant now = BootClock{}.Now();
  const auto chosen = this->entry_selector.Chosen(now);
  if (chosen.empty()) {
    return;
  }
  const std::string& address =
      chosen[this->next_report_entry++ % chosen.size()];
  const EntryState& entry = this->entry_states[address];
  rpc::ReportGangRequest request;
  *request.mutable_peers() =
      agent::PeersTo(this->context.self, entry.name, entry.incarnation);
  *request.mutable_report() = report;
  this->context.entries.ReportGang(
      address, request, now.After(kReportTimeoutMs),
      [this, address, on_recorded = std::move(on_recorded)](
          const rpc::RpcResult<rpc::ReportGangReply>& reply) {
        if (!reply.Ok()) {
          this->OnFailure(address, reply.detail);
        } else if (reply.value.recorded() &&
                   agent::IsAddressedTo(this->context.self,
                                        reply.value.peers())) {
          on_recorded();
        }
      });
}

void AgentAnnouncer::Announce(const std::string& address, Instant now) {
  EntryState& entry = this->entry_states[address];
  if (entry.in_flight >= kMaxInFlight) {
    return;
  }
  ++entry.in_flight;
  const InstanceSettings& instance = this->context.settings.instance;
  const agent::GateState state = this->context.gate.State();
  rpc::AnnounceRequest request;
  *request.mutable_peers() =
      agent::PeersTo(this->context.self, entry.name, entry.incarnation);
  request.set_address(this->context.address);
  request.set_failure_domain(instance.failure_domain);
  request.set_region(instance.region);
  request.set_state(agent::ToWire(state));
  request.set_rules_version(this->rules_version);
  request.set_announce_interval_ms(static_cast<std::uint32_t>(
      this->context.settings.agent.announce_interval_ms));
  const bool include_usage = now >= entry.next_usage_at;
  if (include_usage) {
    entry.next_usage_at = now.After(kUsageIntervalMs);
  }
  this->fill_request(request, include_usage);
  this->context.entries.Announce(
      address, request, now.After(kAnnounceTimeoutMs),
      [this, address, state,
       now](const rpc::RpcResult<rpc::AnnounceReply>& reply) {
        --this->entry_states[address].in_flight;
        this->OnReply(address, state, now, reply);
      });
}

// The lease is counted from the time just before the announcement was sent.
void AgentAnnouncer::OnReply(const std::string& address,
                             agent::GateState state,
                             Instant sent_at,
                             const rpc::RpcResult<rpc::AnnounceReply>& reply) {
  if (!reply.Ok()) {
    this->OnFailure(address, reply.detail);
    return;
  }
  const rpc::Peers& peers = reply.value.peers();
  if (!agent::IsAddressedTo(this->context.self, peers)) {
    return;
  }
  EntryState& entry = this->entry_states[address];
  entry.failing = false;
  entry.name = peers.sender();
  entry.incarnation = peers.sender_incarnation();
  this->entry_selector.OnReply(address, reply.value.announce_interval_ms());
  this->context.lease.Grant(
      {peers.receiver_incarnation(), sent_at, reply.value.lease_ms()});
  if (reply.value.lease_ms() > 0) {
    this->acknowledged_state = state;
    this->ApplyWithdrawal(reply.value);
  }
}

void AgentAnnouncer::OnFailure(const std::string& address,
                               const std::string& detail) {
  EntryState& entry = this->entry_states[address];
  if (!entry.failing) {
    Log(LogLevel::kWarning, "call to entry failed; switching to the next entry",
        {{"entry", address}, {"detail", detail}});
  }
  entry.failing = true;
  entry.name.clear();
  entry.incarnation = 0;
  this->entry_selector.OnFailure(address, BootClock{}.Now());
}

// Entries apply the log independently, so another entry may not have seen the
// withdrawal yet. Only the entry that reported a withdrawal, or one with newer
// rules, can cancel it.
void AgentAnnouncer::ApplyWithdrawal(const rpc::AnnounceReply& reply) {
  this->rules_version = std::max(this->rules_version, reply.rules_version());
  Withdrawal& current = this->withdrawal;
  const std::string& entry = reply.peers().sender();
  if (reply.must_leave()) {
    if (!current.active) {
      Log(LogLevel::kInfo,
          "agent is leaving: withdrawn by a rule or an operator",
          {{"entry", entry}});
    }
    if (!current.active || reply.rules_version() >= current.rules_version) {
      current = Withdrawal{true, entry, reply.rules_version()};
    }
    this->context.gate.SetLeaving(agent::LeaveCause::kRule, true);
    return;
  }
  if (current.active && (entry == current.entry ||
                         reply.rules_version() > current.rules_version)) {
    current.active = false;
    this->context.gate.SetLeaving(agent::LeaveCause::kRule, false);
  }
}

}  // namespace carobrill::daemon
