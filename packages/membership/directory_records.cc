// What entries and agents said of themselves and of each other.

#include "packages/membership/directory.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "packages/membership/rendezvous.h"

namespace carobrill::membership {
namespace {

constexpr std::int64_t kMsPerSecond = 1'000;

// A digest goes out every 300 ms even when the traffic limit is used up, with
// at least so much room for changes; liveness of entries depends on it.
constexpr std::int64_t kMinChangeBytes = 256;

// Load is told to peers at most this often. Replies of the agent itself carry
// later ones, and at once a second the loads of 24 endpoints took 7 KB/s.
constexpr std::int64_t kLoadNewsMs = 5'000;

// Endpoints are few, and routing has to notice their silence soon.
constexpr std::int64_t kLongestEndpointIntervalMs = 500;

// Field number and length of an element in DigestRequest.agents.
constexpr std::size_t kElementOverhead = 4;

// Usage, gang reports, rule version and interval matter only to the entry that
// hears the agent, and would make every announcement a change.
rpc::AnnounceRequest Stripped(const rpc::AnnounceRequest& announcement) {
  rpc::AnnounceRequest stripped = announcement;
  stripped.clear_usage();
  stripped.clear_gangs();
  stripped.clear_rules_version();
  stripped.clear_announce_interval_ms();
  stripped.mutable_peers()->clear_receiver();
  stripped.mutable_peers()->clear_receiver_incarnation();
  return stripped;
}

bool SameWithoutLoad(rpc::AnnounceRequest a, rpc::AnnounceRequest b) {
  for (rpc::AnnounceRequest* announcement : {&a, &b}) {
    if (announcement->has_service()) {
      announcement->mutable_service()->clear_slots_used();
      announcement->mutable_service()->clear_long_used();
      announcement->mutable_service()->clear_connections_used();
    }
  }
  return a.SerializeAsString() == b.SerializeAsString();
}

// Load changes with every request. Peers are told when it has changed by a
// quarter of the slots, or when the endpoint became full or is no longer.
bool LoadIsNews(const rpc::ServiceLoad& told, const rpc::ServiceLoad& now) {
  const std::int64_t change =
      std::int64_t{told.slots_used()} - std::int64_t{now.slots_used()};
  const bool was_full = told.slots_used() >= told.slots();
  const bool is_full = now.slots_used() >= now.slots();
  return was_full != is_full ||
         4 * std::abs(change) >= std::max<std::int64_t>(1, now.slots());
}

}  // namespace

Reception Directory::CheckPeers(const rpc::Peers& message_peers) const {
  if (message_peers.sender().empty() ||
      message_peers.sender_incarnation() == 0) {
    return Reception::kMalformed;
  }
  const bool other_process =
      !message_peers.receiver().empty() &&
      message_peers.receiver() != this->settings.self.value;
  const bool other_incarnation =
      message_peers.receiver_incarnation() != 0 &&
      message_peers.receiver_incarnation() != this->settings.self_incarnation;
  return other_process || other_incarnation ? Reception::kWrongReceiver
                                            : Reception::kAccepted;
}

rpc::AnnounceReply Directory::ReplyTo(
    const rpc::AnnounceRequest& announcement) const {
  rpc::AnnounceReply reply;
  *reply.mutable_peers() = this->PeersTo(
      announcement.peers().sender(), announcement.peers().sender_incarnation());
  reply.set_lease_ms(static_cast<std::uint32_t>(this->settings.agent_lease_ms));
  reply.set_rules_version(this->self_status.rules_version);
  reply.set_must_leave(this->MustLeave(announcement));
  reply.set_announce_interval_ms(
      static_cast<std::uint32_t>(this->GrantedTo(announcement)));
  return reply;
}

std::int64_t Directory::GrantedTo(
    const rpc::AnnounceRequest& announcement) const {
  return announcement.service().endpoint().empty()
             ? this->granted_interval_ms
             : std::min(this->granted_interval_ms, kLongestEndpointIntervalMs);
}

// The record of the agent's incarnation, or null when a later one is known.
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

void Directory::HearAgent(AgentRecord& record,
                          const rpc::AnnounceRequest& announcement,
                          Instant now) {
  rpc::AnnounceRequest stripped = Stripped(announcement);
  const bool news = !record.direct ||
                    !SameWithoutLoad(record.announcement, stripped) ||
                    (record.told_at.After(kLoadNewsMs) <= now &&
                     LoadIsNews(record.told_load, stripped.service()));
  record.announcement = std::move(stripped);
  record.direct = true;
  record.reported_at = now;
  record.suspect_at = now.After(this->SuspectAfterMs(announcement));
  record.dead_at = record.suspect_at.After(this->settings.dead_after_ms -
                                           this->settings.suspect_after_ms);
  if (news) {
    this->Touch(InstanceId(announcement.peers().sender()), record, now);
  }
}

void Directory::Touch(const InstanceId& agent,
                      AgentRecord& record,
                      Instant now) {
  this->changes.erase(record.changed_at_version);
  record.changed_at_version = ++this->version;
  record.told_load = record.announcement.service();
  record.told_at = now;
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
    record->announcement = Stripped(announcement);
    record->reported_at = reported_at;
  }
  if (digest.silent()) {
    this->StopVouching(*record, from, reported_at);
  } else {
    record->heard_by.insert(from);
  }
}

// Returns false when the sender has to start over.
bool Directory::ApplyChanges(const InstanceId& from,
                             const Changes& told,
                             Instant now) {
  EntryRecord& entry = this->entries.at(from);
  if (told.from_start) {
    this->ForgetVouching(from, now);
    entry.in_sync = true;
  }
  if (!entry.in_sync || entry.digest.address().empty()) {
    return false;
  }
  for (const rpc::AgentDigest& agent : told.agents) {
    this->ApplyAgentDigest(from, agent, now);
  }
  return true;
}

// What was told to an earlier process at the address is unknown to this one.
Directory::PeerProgress& Directory::ProgressOf(const std::string& address,
                                               const rpc::EntryDigest& entry,
                                               Instant now) {
  PeerProgress& progress = this->peers[address];
  if (progress.entry.value != entry.entry() ||
      progress.incarnation != entry.incarnation()) {
    progress.entry = InstanceId(entry.entry());
    progress.incarnation = entry.incarnation();
    progress.confirmed_version = 0;
    progress.sent_version = 0;
  }
  progress.heard_at = now;
  return progress;
}

void Directory::Confirm(PeerProgress& progress,
                        std::uint64_t sequence,
                        bool resync) {
  if (resync) {
    progress.confirmed_version = 0;
  } else if (sequence != 0 && sequence == progress.sequence) {
    progress.confirmed_version = progress.sent_version;
  }
}

// Returns false when a later incarnation of the entry is known.
bool Directory::HearEntry(const rpc::EntryDigest& digest, Instant now) {
  const InstanceId id(digest.entry());
  if (id.empty() || id == this->settings.self) {
    return false;
  }
  EntryRecord& record = this->entries[id];
  if (digest.incarnation() < record.digest.incarnation()) {
    return false;
  }
  if (digest.incarnation() > record.digest.incarnation()) {
    this->ForgetVouching(id, now);
    record.in_sync = false;
    record.taken_in = 0;
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

void Directory::ForgetVouching(const InstanceId& entry, Instant now) {
  for (auto& [agent, record] : this->agents) {
    this->StopVouching(record, entry, now);
  }
}

// An agent that nobody vouches for any more is suspect until it is dead.
void Directory::StopVouching(AgentRecord& record,
                             const InstanceId& entry,
                             Instant silent_since) {
  if (record.heard_by.erase(entry) > 0) {
    record.dead_at = std::max(record.dead_at,
                              silent_since.After(this->settings.dead_after_ms));
  }
}

// Adds changes in order of version until the limit and notes what the peer
// knows once it confirms them. Returns true when some are left.
bool Directory::AddChanges(
    PeerProgress& progress,
    Instant now,
    google::protobuf::RepeatedPtrField<rpc::AgentDigest>& agents) {
  // Peers share what is available, so that one that joins cannot use it all.
  const auto share = this->digest_tokens.Available(now) /
                     static_cast<std::int64_t>(this->peers.size());
  const std::int64_t limit_bytes = std::max(kMinChangeBytes, share);
  std::int64_t bytes = 0;
  ++progress.sequence;
  progress.sent_version = progress.confirmed_version;
  for (auto change = this->changes.upper_bound(progress.confirmed_version);
       change != this->changes.end(); ++change) {
    const AgentRecord& record = this->agents.at(change->second);
    // A joining peer has no use for agents that have fallen silent.
    if (progress.confirmed_version != 0 || record.direct) {
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
    progress.sent_version = change->first;
  }
  return false;
}

void Directory::MarkSilent(Instant now) {
  this->heard_directly = 0;
  for (auto& [agent, record] : this->agents) {
    if (record.direct && record.suspect_at <= now) {
      record.direct = false;
      this->Touch(agent, record, now);
    }
    this->heard_directly += record.direct ? 1 : 0;
  }
}

void Directory::ForgetDead(Instant now) {
  const std::int64_t keep_ms = this->settings.forget_after_ms;
  for (auto& [id, record] : this->entries) {
    if (record.dead_at <= now && record.in_sync) {
      // What it tells after its return may be no more than the changes.
      this->ForgetVouching(id, record.dead_at);
      record.in_sync = false;
    }
  }
  std::erase_if(this->entries, [now, keep_ms](const auto& entry) {
    return entry.second.dead_at.After(keep_ms) <= now;
  });
  std::erase_if(this->agents, [this, now, keep_ms](const auto& agent) {
    const bool forget = this->DeadAt(agent.second).After(keep_ms) <= now;
    if (forget) {
      this->changes.erase(agent.second.changed_at_version);
    }
    return forget;
  });
}

// Spreads the announcements over the bytes that digests leave.
void Directory::UpdateGrantedInterval() {
  const std::int64_t budget =
      std::max<std::int64_t>(1, this->settings.control_bytes_per_s -
                                    2 * this->settings.digest_bytes_per_s);
  const std::int64_t needed_ms =
      static_cast<std::int64_t>(this->heard_directly) *
      this->announcement_bytes * kMsPerSecond / budget;
  this->granted_interval_ms =
      std::clamp(needed_ms, this->settings.announce_interval_ms,
                 this->settings.longest_announce_interval_ms);
}

// One announcement may be lost; 300 ms are left for a slow one. At the longest
// interval of 1 s an agent is suspect after 2.3 s and every entry knows it with
// the next digest, within the limit of 3 s.
std::int64_t Directory::SuspectAfterMs(
    const rpc::AnnounceRequest& announcement) const {
  constexpr std::int64_t kSlackMs = 300;
  // The agent may already have been granted a longer interval than it says.
  const std::int64_t interval_ms = std::max(
      std::min<std::int64_t>(announcement.announce_interval_ms(),
                             this->settings.longest_announce_interval_ms),
      this->GrantedTo(announcement));
  return std::max(this->settings.suspect_after_ms, 2 * interval_ms + kSlackMs);
}

bool Directory::MustLeave(const rpc::AnnounceRequest& announcement) const {
  const rpc::ServiceLoad& service = announcement.service();
  return this->withdrawals.partners.contains(service.partner()) ||
         this->withdrawals.endpoints.contains(EndpointId(service.endpoint()));
}

Instant Directory::SuspectAt(const AgentRecord& record) const {
  Instant at = record.suspect_at;
  for (const InstanceId& entry : record.heard_by) {
    const auto found = this->entries.find(entry);
    if (found != this->entries.end()) {
      at = std::max(at, found->second.suspect_at);
    }
  }
  return at;
}

Instant Directory::DeadAt(const AgentRecord& record) const {
  Instant at = record.dead_at;
  for (const InstanceId& entry : record.heard_by) {
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

rpc::Peers Directory::PeersTo(const std::string& receiver,
                              Incarnation incarnation) const {
  rpc::Peers message_peers;
  message_peers.set_sender(this->settings.self.value);
  message_peers.set_sender_incarnation(this->settings.self_incarnation);
  message_peers.set_receiver(receiver);
  message_peers.set_receiver_incarnation(incarnation);
  return message_peers;
}

void Directory::Count(std::size_t message_bytes, Instant now) {
  this->traffic.Add(
      static_cast<std::int64_t>(message_bytes) + this->settings.framing_bytes,
      now);
}

}  // namespace carobrill::membership
