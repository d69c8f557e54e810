// Members of Directory that maintain the records of agents and entries.

#include "packages/membership/directory.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "packages/membership/rendezvous.h"

namespace carobrill::membership {
namespace {

constexpr std::int64_t kMsPerSecond = 1'000;

// A digest is sent every 300 ms even when the traffic limit is exhausted,
// because the liveness of entries depends on it. It then has at least this much
// room for changes.
constexpr std::int64_t kMinChangeBytes = 256;

// Minimum interval between load updates to peers. Routing gets newer values
// from the agent's own replies; one update per second took 7 KB/s for the loads
// of 24 endpoints.
constexpr std::int64_t kLoadUpdateIntervalMs = 5'000;

// Endpoints are few, and routing must detect a silent one quickly.
constexpr std::int64_t kMaxEndpointIntervalMs = 500;

// Tag and length prefix of an element in DigestRequest.agents.
constexpr std::size_t kElementOverhead = 4;

// Removes usage, gang reports, rules version and interval. They matter only to
// the entry that receives the announcement, and would turn every announcement
// into a change.
rpc::AnnounceRequest WithoutReceiverFields(
    const rpc::AnnounceRequest& announcement) {
  rpc::AnnounceRequest stripped = announcement;
  stripped.clear_usage();
  stripped.clear_gangs();
  stripped.clear_rules_version();
  stripped.clear_announce_interval_ms();
  stripped.mutable_peers()->clear_receiver();
  stripped.mutable_peers()->clear_receiver_incarnation();
  return stripped;
}

bool EqualIgnoringLoad(rpc::AnnounceRequest a, rpc::AnnounceRequest b) {
  for (rpc::AnnounceRequest* announcement : {&a, &b}) {
    if (announcement->has_service()) {
      announcement->mutable_service()->clear_slots_used();
      announcement->mutable_service()->clear_long_used();
      announcement->mutable_service()->clear_connections_used();
    }
  }
  return a.SerializeAsString() == b.SerializeAsString();
}

// Load changes with every request. Peers are updated only when it has changed
// by a quarter of the slots, or when the endpoint became full or stopped being
// full.
bool LoadChangedSignificantly(const rpc::ServiceLoad& published,
                              const rpc::ServiceLoad& current) {
  const std::int64_t change =
      std::int64_t{published.slots_used()} - std::int64_t{current.slots_used()};
  const bool was_full = published.slots_used() >= published.slots();
  const bool is_full = current.slots_used() >= current.slots();
  return was_full != is_full ||
         4 * std::abs(change) >= std::max<std::int64_t>(1, current.slots());
}

}  // namespace

MessageStatus Directory::CheckPeers(const rpc::Peers& message_peers) const {
  if (message_peers.sender().empty() ||
      message_peers.sender_incarnation() == 0) {
    return MessageStatus::kMalformed;
  }
  const bool other_process =
      !message_peers.receiver().empty() &&
      message_peers.receiver() != this->settings.self.value;
  const bool other_incarnation =
      message_peers.receiver_incarnation() != 0 &&
      message_peers.receiver_incarnation() != this->settings.self_incarnation;
  return other_process || other_incarnation ? MessageStatus::kWrongReceiver
                                            : MessageStatus::kAccepted;
}

rpc::AnnounceReply Directory::MakeAnnounceReply(
    const rpc::AnnounceRequest& announcement) const {
  rpc::AnnounceReply reply;
  *reply.mutable_peers() = this->MakePeers(
      announcement.peers().sender(), announcement.peers().sender_incarnation());
  reply.set_lease_ms(static_cast<std::uint32_t>(this->settings.agent_lease_ms));
  reply.set_rules_version(this->self_status.rules_version);
  reply.set_must_leave(this->MustLeave(announcement));
  reply.set_announce_interval_ms(
      static_cast<std::uint32_t>(this->GrantedIntervalFor(announcement)));
  return reply;
}

std::int64_t Directory::GrantedIntervalFor(
    const rpc::AnnounceRequest& announcement) const {
  return announcement.service().endpoint().empty()
             ? this->granted_interval_ms
             : std::min(this->granted_interval_ms, kMaxEndpointIntervalMs);
}

// Returns the record for the agent's incarnation, or null if a later
// incarnation is known.
Directory::AgentRecord* Directory::RecordFor(const InstanceId& agent,
                                             Incarnation incarnation) {
  AgentRecord& record = this->agents[agent];
  if (incarnation < record.incarnation) {
    return nullptr;
  }
  if (incarnation > record.incarnation) {
    this->changes.erase(record.changed_at_version);
    record = AgentRecord{};
    record.incarnation = incarnation;
  }
  return &record;
}

void Directory::UpdateFromAnnouncement(AgentRecord& record,
                                       const rpc::AnnounceRequest& announcement,
                                       Instant now) {
  rpc::AnnounceRequest stripped = WithoutReceiverFields(announcement);
  const bool changed =
      !record.direct || !EqualIgnoringLoad(record.announcement, stripped) ||
      (record.published_at.After(kLoadUpdateIntervalMs) <= now &&
       LoadChangedSignificantly(record.published_load, stripped.service()));
  record.announcement = std::move(stripped);
  record.direct = true;
  record.reported_at = now;
  record.suspect_at = now.After(this->SuspectAfterMs(announcement));
  record.dead_at = record.suspect_at.After(this->settings.dead_after_ms -
                                           this->settings.suspect_after_ms);
  if (changed) {
    this->MarkChanged(InstanceId(announcement.peers().sender()), record, now);
  }
}

void Directory::MarkChanged(const InstanceId& agent,
                            AgentRecord& record,
                            Instant now) {
  this->changes.erase(record.changed_at_version);
  record.changed_at_version = ++this->version;
  record.published_load = record.announcement.service();
  record.published_at = now;
  this->changes.emplace(record.changed_at_version, agent);
}

void Directory::ApplyAgentDigest(const InstanceId& from,
                                 const rpc::AgentDigest& digest,
                                 Instant now) {
  const rpc::AnnounceRequest& announcement = digest.announcement();
  const InstanceId agent(announcement.peers().sender());
  if (agent.empty() || announcement.peers().sender_incarnation() == 0) {
    return;
  }
  AgentRecord* record =
      this->RecordFor(agent, announcement.peers().sender_incarnation());
  if (record == nullptr) {
    return;
  }
  const Instant reported_at{now.ms - digest.age_ms()};
  if (reported_at > record->reported_at ||
      record->announcement.peers().sender().empty()) {
    record->announcement = WithoutReceiverFields(announcement);
    record->reported_at = reported_at;
  }
  if (digest.silent()) {
    this->RemoveReporter(*record, from, reported_at);
  } else {
    record->reported_by.insert(from);
  }
}

// Returns false if the sender must resend its full state.
bool Directory::ApplyChanges(const InstanceId& from,
                             const Changes& received,
                             Instant now) {
  EntryRecord& entry = this->entries.at(from);
  if (received.from_start) {
    this->RemoveReporterFromAll(from, now);
    entry.in_sync = true;
  }
  if (!entry.in_sync || entry.digest.address().empty()) {
    return false;
  }
  for (const rpc::AgentDigest& agent : received.agents) {
    this->ApplyAgentDigest(from, agent, now);
  }
  return true;
}

// Resets the state if another process now uses the address: what an earlier
// process received is unknown to it.
Directory::PeerSyncState& Directory::SyncStateFor(const std::string& address,
                                                  const rpc::EntryDigest& entry,
                                                  Instant now) {
  PeerSyncState& sync_state = this->peers[address];
  if (sync_state.entry.value != entry.entry() ||
      sync_state.incarnation != entry.incarnation()) {
    sync_state.entry = InstanceId(entry.entry());
    sync_state.incarnation = entry.incarnation();
    sync_state.acknowledged_version = 0;
    sync_state.sent_version = 0;
  }
  sync_state.heard_at = now;
  return sync_state;
}

void Directory::Acknowledge(PeerSyncState& sync_state,
                            std::uint64_t sequence,
                            bool resync) {
  if (resync) {
    sync_state.acknowledged_version = 0;
  } else if (sequence != 0 && sequence == sync_state.sequence) {
    sync_state.acknowledged_version = sync_state.sent_version;
  }
}

// Returns false if a later incarnation of the entry is known.
bool Directory::UpdateEntry(const rpc::EntryDigest& digest, Instant now) {
  const InstanceId id(digest.entry());
  if (id.empty() || id == this->settings.self) {
    return false;
  }
  EntryRecord& record = this->entries[id];
  if (digest.incarnation() < record.digest.incarnation()) {
    return false;
  }
  if (digest.incarnation() > record.digest.incarnation()) {
    this->RemoveReporterFromAll(id, now);
    record.in_sync = false;
    record.last_applied_sequence = 0;
  }
  const rpc::EntryDigest known = std::exchange(record.digest, digest);
  if (digest.address().empty()) {
    record.digest.set_address(known.address());
    record.digest.set_region(known.region());
    record.digest.set_failure_domain(known.failure_domain());
  }
  record.suspect_at = now.After(this->settings.suspect_after_ms);
  record.dead_at = now.After(this->settings.dead_after_ms);
  return true;
}

void Directory::RemoveReporterFromAll(const InstanceId& entry, Instant now) {
  for (auto& [agent, record] : this->agents) {
    this->RemoveReporter(record, entry, now);
  }
}

// An agent that no entry reports any more becomes suspect, and dead after the
// usual delay.
void Directory::RemoveReporter(AgentRecord& record,
                               const InstanceId& entry,
                               Instant silent_since) {
  if (record.reported_by.erase(entry) > 0) {
    record.dead_at = std::max(record.dead_at,
                              silent_since.After(this->settings.dead_after_ms));
  }
}

// Adds changes in order of version up to the limit, and records the version the
// peer has once it acknowledges them. Returns true if changes remain.
bool Directory::AddChanges(
    PeerSyncState& sync_state,
    Instant now,
    google::protobuf::RepeatedPtrField<rpc::AgentDigest>& agents) {
  // The available bytes are divided among the peers so that a joining peer
  // cannot use them all.
  const auto share = this->digest_tokens.Available(now) /
                     static_cast<std::int64_t>(this->peers.size());
  const std::int64_t limit_bytes = std::max(kMinChangeBytes, share);
  std::int64_t bytes = 0;
  ++sync_state.sequence;
  sync_state.sent_version = sync_state.acknowledged_version;
  for (auto change = this->changes.upper_bound(sync_state.acknowledged_version);
       change != this->changes.end(); ++change) {
    const AgentRecord& record = this->agents.at(change->second);
    // A joining peer does not need agents that have fallen silent.
    if (sync_state.acknowledged_version != 0 || record.direct) {
      rpc::AgentDigest agent;
      *agent.mutable_announcement() = record.announcement;
      agent.set_age_ms(
          static_cast<std::uint32_t>(now.RemainingMs(record.reported_at)));
      agent.set_silent(!record.direct);
      bytes +=
          static_cast<std::int64_t>(agent.ByteSizeLong() + kElementOverhead);
      if (bytes > limit_bytes && !agents.empty()) {
        return true;
      }
      *agents.Add() = std::move(agent);
    }
    sync_state.sent_version = change->first;
  }
  return false;
}

void Directory::MarkSilentAgents(Instant now) {
  this->direct_agents = 0;
  for (auto& [agent, record] : this->agents) {
    if (record.direct && record.suspect_at <= now) {
      record.direct = false;
      this->MarkChanged(agent, record, now);
    }
    this->direct_agents += record.direct ? 1 : 0;
  }
}

void Directory::PruneDead(Instant now) {
  const std::int64_t keep_ms = this->settings.retain_dead_ms;
  for (auto& [id, record] : this->entries) {
    if (record.dead_at <= now && record.in_sync) {
      // After its return it may send only changes, so it must start with a full
      // digest.
      this->RemoveReporterFromAll(id, record.dead_at);
      record.in_sync = false;
    }
  }
  std::erase_if(this->entries, [now, keep_ms](const auto& entry) {
    return entry.second.dead_at.After(keep_ms) <= now;
  });
  std::erase_if(this->agents, [this, now, keep_ms](const auto& agent) {
    const bool prune = this->DeadAt(agent.second).After(keep_ms) <= now;
    if (prune) {
      this->changes.erase(agent.second.changed_at_version);
    }
    return prune;
  });
}

// Chooses the interval so that announcements fit into the bytes that digests
// leave of the traffic limit.
void Directory::UpdateGrantedInterval() {
  const std::int64_t budget =
      std::max<std::int64_t>(1, this->settings.control_bytes_per_s -
                                    2 * this->settings.digest_bytes_per_s);
  const std::int64_t needed_ms =
      static_cast<std::int64_t>(this->direct_agents) *
      this->mean_announcement_bytes * kMsPerSecond / budget;
  this->granted_interval_ms =
      std::clamp(needed_ms, this->settings.announce_interval_ms,
                 this->settings.max_announce_interval_ms);
}

// Tolerates one lost announcement plus 300 ms for a slow one. At the longest
// interval of 1 s an agent becomes suspect after 2.3 s, and every entry learns
// it with the next digest, within the limit of 3 s.
std::int64_t Directory::SuspectAfterMs(
    const rpc::AnnounceRequest& announcement) const {
  constexpr std::int64_t kSlackMs = 300;
  // The agent may already have been granted a longer interval than it reports.
  const std::int64_t interval_ms =
      std::max(std::min<std::int64_t>(announcement.announce_interval_ms(),
                                      this->settings.max_announce_interval_ms),
               this->GrantedIntervalFor(announcement));
  return std::max(this->settings.suspect_after_ms, 2 * interval_ms + kSlackMs);
}

bool Directory::MustLeave(const rpc::AnnounceRequest& announcement) const {
  const rpc::ServiceLoad& service = announcement.service();
  return this->withdrawals.partners.contains(service.partner()) ||
         this->withdrawals.endpoints.contains(EndpointId(service.endpoint()));
}

Instant Directory::SuspectAt(const AgentRecord& record) const {
  Instant at = record.suspect_at;
  for (const InstanceId& entry : record.reported_by) {
    const auto found = this->entries.find(entry);
    if (found != this->entries.end()) {
      at = std::max(at, found->second.suspect_at);
    }
  }
  return at;
}

Instant Directory::DeadAt(const AgentRecord& record) const {
  Instant at = record.dead_at;
  for (const InstanceId& entry : record.reported_by) {
    const auto found = this->entries.find(entry);
    if (found != this->entries.end()) {
      at = std::max(at, found->second.dead_at);
    }
  }
  return at;
}

Liveness Directory::LivenessOf(const AgentRecord& record, Instant now) const {
  if (now < this->SuspectAt(record)) {
    return Liveness::kLive;
  }
  return now < this->DeadAt(record) ? Liveness::kSuspect : Liveness::kDead;
}

ServingEndpoint Directory::EndpointOf(const AgentRecord& record,
                                      Instant now) const {
  const rpc::AnnounceRequest& announcement = record.announcement;
  const rpc::ServiceLoad& load = announcement.service();
  ServingEndpoint endpoint;
  endpoint.endpoint = EndpointId(load.endpoint());
  endpoint.service = ServiceId(load.service());
  endpoint.partner = load.partner();
  endpoint.agent = InstanceId(announcement.peers().sender());
  endpoint.agent_incarnation = record.incarnation;
  endpoint.address = announcement.address();
  endpoint.routable = announcement.state() == rpc::ENDPOINT_STATE_SERVING &&
                      this->LivenessOf(record, now) == Liveness::kLive &&
                      !this->MustLeave(announcement);
  endpoint.slots = load.slots();
  endpoint.slots_used = load.slots_used();
  endpoint.long_used = load.long_used();
  endpoint.connections = load.connections();
  endpoint.connections_used = load.connections_used();
  endpoint.reported_at = record.reported_at;
  return endpoint;
}

rpc::EntryDigest Directory::SelfDigest(bool complete) const {
  rpc::EntryDigest digest;
  digest.set_entry(this->settings.self.value);
  digest.set_incarnation(this->settings.self_incarnation);
  if (complete) {
    digest.set_address(this->settings.address);
    digest.set_region(this->settings.region);
    digest.set_failure_domain(this->settings.failure_domain);
  }
  digest.set_applied_offset(this->self_status.applied_offset);
  digest.set_lineage(this->self_status.lineage);
  digest.set_rules_version(this->self_status.rules_version);
  digest.set_draining(this->self_status.draining);
  return digest;
}

rpc::Peers Directory::MakePeers(const std::string& receiver,
                                Incarnation incarnation) const {
  rpc::Peers message_peers;
  message_peers.set_sender(this->settings.self.value);
  message_peers.set_sender_incarnation(this->settings.self_incarnation);
  message_peers.set_receiver(receiver);
  message_peers.set_receiver_incarnation(incarnation);
  return message_peers;
}

void Directory::CountTraffic(std::size_t message_bytes, Instant now) {
  this->traffic.Add(
      static_cast<std::int64_t>(message_bytes) + this->settings.framing_bytes,
      now);
}

}  // namespace carobrill::membership
