#include "packages/daemon/agent_announcer.h"

#include <algorithm>
#include <utility>

#include "packages/core/log.h"

namespace carobrill::daemon {
namespace {

// An entry that does not answer in half the lease is replaced while the lease
// of the last answer still holds.
constexpr std::int64_t kAnnounceTimeoutMs = 1'000;
constexpr std::int64_t kReportTimeoutMs = 2'000;

// Usage lags by seconds anyway, and 16 tasks would double an announcement.
constexpr std::int64_t kUsageIntervalMs = 3'000;

// One announcement may be late while a change of state is announced.
constexpr std::size_t kMostInFlight = 2;

EntryRotation MakeRotation(const AgentContext& context) {
  const AgentSettings& settings = context.settings.agent;
  return EntryRotation(context.self.instance, settings.entries,
                       settings.entries_to_announce_to,
                       settings.announce_interval_ms);
}

}  // namespace

AgentAnnouncer::AgentAnnouncer(AgentContext& context, Fill fill)
    : context(context),
      fill(std::move(fill)),
      rotation(MakeRotation(context)),
      announced(context.gate.State()) {}

void AgentAnnouncer::Tick(Instant now) {
  if (this->announced != this->context.gate.State()) {
    this->announced = this->context.gate.State();
    this->rotation.AnnounceAtOnce(now);
  }
  for (const auto& address : this->rotation.Due(now)) {
    this->Announce(address, now);
  }
}

// Each repetition goes to the next chosen entry, so that an entry that cannot
// record does not hold the report up.
void AgentAnnouncer::Report(const rpc::GangReport& report,
                            std::function<void()> recorded) {
  const Instant now = BootClock{}.Now();
  const auto chosen = this->rotation.Chosen(now);
  if (chosen.empty()) {
    return;
  }
  const std::string& address = chosen[this->next_reporter++ % chosen.size()];
  const Entry& entry = this->known[address];
  rpc::ReportGangRequest request;
  *request.mutable_peers() =
      agent::PeersTo(this->context.self, entry.name, entry.incarnation);
  *request.mutable_report() = report;
  this->context.entries.ReportGang(
      address, request, now.After(kReportTimeoutMs),
      [this, address, recorded = std::move(recorded)](
          const rpc::RpcReply<rpc::ReportGangReply>& reply) {
        if (!reply.Ok()) {
          this->OnFailure(address, reply.detail);
        } else if (reply.value.recorded() &&
                   agent::IsAddressedTo(this->context.self,
                                        reply.value.peers())) {
          recorded();
        }
      });
}

void AgentAnnouncer::Announce(const std::string& address, Instant now) {
  Entry& entry = this->known[address];
  if (entry.in_flight >= kMostInFlight) {
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
  const bool with_usage = now >= entry.usage_at;
  if (with_usage) {
    entry.usage_at = now.After(kUsageIntervalMs);
  }
  this->fill(request, with_usage);
  this->context.entries.Announce(
      address, request, now.After(kAnnounceTimeoutMs),
      [this, address, state,
       now](const rpc::RpcReply<rpc::AnnounceReply>& reply) {
        --this->known[address].in_flight;
        this->OnReply(address, state, now, reply);
      });
}

// The lease counts from the moment before the announcement was sent.
void AgentAnnouncer::OnReply(const std::string& address,
                             agent::GateState state,
                             Instant sent_at,
                             const rpc::RpcReply<rpc::AnnounceReply>& reply) {
  if (!reply.Ok()) {
    this->OnFailure(address, reply.detail);
    return;
  }
  const rpc::Peers& peers = reply.value.peers();
  if (!agent::IsAddressedTo(this->context.self, peers)) {
    return;
  }
  Entry& entry = this->known[address];
  entry.failing = false;
  entry.name = peers.sender();
  entry.incarnation = peers.sender_incarnation();
  this->rotation.OnReply(address, reply.value.announce_interval_ms());
  this->context.lease.Grant(
      {peers.receiver_incarnation(), sent_at, reply.value.lease_ms()});
  if (reply.value.lease_ms() > 0) {
    this->acknowledged = state;
    this->Obey(reply.value);
  }
}

void AgentAnnouncer::OnFailure(const std::string& address,
                               const std::string& detail) {
  Entry& entry = this->known[address];
  if (!entry.failing) {
    Log(LogLevel::kWarning, "entry did not answer; using the next one",
        {{"entry", address}, {"detail", detail}});
  }
  entry.failing = true;
  entry.name.clear();
  entry.incarnation = 0;
  this->rotation.OnFailure(address, BootClock{}.Now());
}

// Entries apply the log at their own pace. A withdrawal is lifted only by the
// entry that told it, or by one with newer rules: another entry may not have
// seen it yet.
void AgentAnnouncer::Obey(const rpc::AnnounceReply& reply) {
  this->rules_version = std::max(this->rules_version, reply.rules_version());
  Withdrawal& current = this->withdrawal;
  const std::string& entry = reply.peers().sender();
  if (reply.must_leave()) {
    if (!current.active) {
      Log(LogLevel::kInfo, "leaving: withdrawn by a rule or an operator",
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
