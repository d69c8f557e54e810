#include "packages/membership/directory.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "packages/membership/rendezvous.h"

namespace carobrill::membership {
namespace {

// Smoothing factor of the mean announcement size: a new sample counts 1/16.
constexpr std::int64_t kMeanSmoothing = 16;

// Time of two missed digests at 300 ms each, below the suspicion limit of 1 s.
constexpr std::int64_t kPeerSilenceMs = 700;

constexpr std::string_view kPlannerKey = "planner";

}  // namespace

Directory::Directory(const DirectorySettings& settings)
    : settings(settings),
      digest_tokens(settings.digest_bytes_per_s, settings.digest_burst_bytes),
      granted_interval_ms(settings.announce_interval_ms) {
  assert(!settings.FindError().has_value());
}

AnnounceOutcome Directory::OnAnnounce(const rpc::AnnounceRequest& announcement,
                                      Instant now) {
  AnnounceOutcome outcome;
  *outcome.reply.mutable_peers() = this->MakePeers(
      announcement.peers().sender(), announcement.peers().sender_incarnation());
  outcome.reception = this->CheckPeers(announcement.peers());
  AgentRecord* record = nullptr;
  if (outcome.reception == MessageStatus::kAccepted) {
    record = this->RecordFor(InstanceId(announcement.peers().sender()),
                             announcement.peers().sender_incarnation());
    if (record == nullptr) {
      outcome.reception = MessageStatus::kStaleSender;
    }
  }
  if (record != nullptr) {
    this->UpdateFromAnnouncement(*record, announcement, now);
    outcome.reply = this->MakeAnnounceReply(announcement);
  }
  this->CountTraffic(announcement.ByteSizeLong(), now);
  this->CountTraffic(outcome.reply.ByteSizeLong(), now);
  const auto framed = static_cast<std::int64_t>(announcement.ByteSizeLong() +
                                                outcome.reply.ByteSizeLong()) +
                      2 * this->settings.framing_bytes;
  this->mean_announcement_bytes +=
      this->mean_announcement_bytes == 0
          ? framed
          : (framed - this->mean_announcement_bytes) / kMeanSmoothing;
  return outcome;
}

DigestOutcome Directory::OnDigest(const rpc::DigestRequest& digest,
                                  Instant now) {
  DigestOutcome outcome;
  rpc::DigestReply& reply = outcome.reply;
  *reply.mutable_peers() = this->MakePeers(digest.peers().sender(),
                                           digest.peers().sender_incarnation());
  *reply.mutable_entry() = this->SelfDigest(true);
  outcome.reception = this->CheckPeers(digest.peers());
  if (outcome.reception == MessageStatus::kAccepted &&
      digest.entry().entry() != digest.peers().sender()) {
    outcome.reception = MessageStatus::kMalformed;
  }
  if (outcome.reception == MessageStatus::kAccepted &&
      !this->UpdateEntry(digest.entry(), now)) {
    outcome.reception = MessageStatus::kStaleSender;
  }
  if (outcome.reception == MessageStatus::kAccepted) {
    const bool applied =
        this->ApplyChanges(InstanceId(digest.entry().entry()),
                           {digest.agents(), digest.from_start()}, now);
    reply.set_sequence(applied ? digest.sequence() : 0);
    reply.set_resync(!applied);
    // If the address is not known yet, it arrives with the complete digest that
    // the reply requests.
    const std::string address =
        this->entries.at(InstanceId(digest.entry().entry())).digest.address();
    if (!address.empty()) {
      this->AddLocalChanges(address, digest, reply, now);
    }
  }
  this->digest_tokens.Take(static_cast<std::int64_t>(reply.ByteSizeLong()) +
                               this->settings.framing_bytes,
                           now);
  this->CountTraffic(digest.ByteSizeLong(), now);
  this->CountTraffic(reply.ByteSizeLong(), now);
  return outcome;
}

// Adds the changes of this entry to the reply, which saves a separate call in
// the other direction.
void Directory::AddLocalChanges(const std::string& address,
                                const rpc::DigestRequest& digest,
                                rpc::DigestReply& reply,
                                Instant now) {
  PeerSyncState& sync_state = this->SyncStateFor(address, digest.entry(), now);
  this->Acknowledge(sync_state, digest.confirms(), digest.resync());
  *reply.mutable_entry() =
      this->SelfDigest(sync_state.acknowledged_version == 0);
  reply.set_from_start(sync_state.acknowledged_version == 0);
  this->AddChanges(sync_state, now, *reply.mutable_agents());
  reply.set_own_sequence(sync_state.sequence);
}

MessageStatus Directory::OnDigestReply(const std::string& peer_address,
                                       const rpc::DigestReply& reply,
                                       Instant now) {
  this->CountTraffic(reply.ByteSizeLong(), now);
  const MessageStatus reception = this->CheckPeers(reply.peers());
  if (reception != MessageStatus::kAccepted) {
    return reception;
  }
  if (!this->UpdateEntry(reply.entry(), now)) {
    return MessageStatus::kStaleSender;
  }
  PeerSyncState& sync_state =
      this->SyncStateFor(peer_address, reply.entry(), now);
  this->Acknowledge(sync_state, reply.sequence(), reply.resync());
  const InstanceId from(reply.entry().entry());
  if (reply.own_sequence() != 0) {
    const bool applied =
        this->ApplyChanges(from, {reply.agents(), reply.from_start()}, now);
    this->entries.at(from).last_applied_sequence =
        applied ? reply.own_sequence() : 0;
  }
  return MessageStatus::kAccepted;
}

bool Directory::InitiatesDigestsTo(const std::string& peer_address,
                                   Instant now) const {
  const auto found = this->peers.find(peer_address);
  return this->settings.address < peer_address || found == this->peers.end() ||
         found->second.heard_at.After(kPeerSilenceMs) <= now;
}

OutgoingDigest Directory::BuildDigest(const std::string& peer_address,
                                      Instant now) {
  PeerSyncState& sync_state = this->peers[peer_address];
  OutgoingDigest digest;
  rpc::DigestRequest& request = digest.request;
  *request.mutable_peers() =
      this->MakePeers(sync_state.entry.value, sync_state.incarnation);
  *request.mutable_entry() =
      this->SelfDigest(sync_state.acknowledged_version == 0);
  request.set_from_start(sync_state.acknowledged_version == 0);
  const auto entry = this->entries.find(sync_state.entry);
  if (entry != this->entries.end()) {
    request.set_confirms(entry->second.last_applied_sequence);
    request.set_resync(!entry->second.in_sync);
  }
  digest.more = this->AddChanges(sync_state, now, *request.mutable_agents());
  request.set_sequence(sync_state.sequence);
  digest.bytes = request.ByteSizeLong() +
                 static_cast<std::size_t>(this->settings.framing_bytes);
  this->digest_tokens.Take(static_cast<std::int64_t>(digest.bytes), now);
  this->CountTraffic(request.ByteSizeLong(), now);
  return digest;
}

void Directory::SetLocalStatus(const LocalEntryStatus& status) {
  this->self_status = status;
}

void Directory::SetWithdrawals(const Withdrawals& new_withdrawals) {
  this->withdrawals = new_withdrawals;
}

void Directory::OnTimer(Instant now) {
  this->MarkSilentAgents(now);
  this->PruneDead(now);
  this->UpdateGrantedInterval();
}

std::vector<ServingEndpoint> Directory::Endpoints(Instant now) const {
  // If an endpoint was taken over by an agent with another name, the agent with
  // the newer incarnation counts.
  std::map<EndpointId, ServingEndpoint> newest;
  for (const auto& [agent, record] : this->agents) {
    if (record.announcement.service().endpoint().empty() ||
        this->LivenessOf(record, now) == Liveness::kDead) {
      continue;
    }
    ServingEndpoint endpoint = this->EndpointOf(record, now);
    ServingEndpoint& known = newest[endpoint.endpoint];
    if (known.agent_incarnation < endpoint.agent_incarnation) {
      known = std::move(endpoint);
    }
  }
  std::vector<ServingEndpoint> endpoints;
  endpoints.reserve(newest.size());
  for (auto& [id, endpoint] : newest) {
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

std::vector<ServingEndpoint> Directory::Serving(const ServiceId& service,
                                                Instant now) const {
  std::vector<ServingEndpoint> serving = this->Endpoints(now);
  std::erase_if(serving, [&service](const ServingEndpoint& endpoint) {
    return !endpoint.routable || endpoint.service != service;
  });
  return serving;
}

std::vector<KnownWorker> Directory::Workers(Instant now) const {
  std::vector<KnownWorker> workers;
  for (const auto& [agent, record] : this->agents) {
    const rpc::AnnounceRequest& announcement = record.announcement;
    const rpc::WorkerInventory& inventory = announcement.worker();
    if (inventory.worker().empty()) {
      continue;
    }
    KnownWorker worker;
    worker.worker = WorkerId(inventory.worker());
    worker.rack = RackId(inventory.rack());
    worker.agent = agent;
    worker.agent_incarnation = record.incarnation;
    worker.address = announcement.address();
    worker.failure_domain = announcement.failure_domain();
    worker.region = announcement.region();
    worker.cores_milli = inventory.cores_milli();
    worker.memory_mb = inventory.memory_mb();
    worker.accelerators = inventory.accelerators();
    worker.liveness = this->LivenessOf(record, now);
    worker.leaving = announcement.state() == rpc::ENDPOINT_STATE_LEAVING ||
                     announcement.state() == rpc::ENDPOINT_STATE_GONE;
    worker.dead_at = this->DeadAt(record);
    workers.push_back(std::move(worker));
  }
  return workers;
}

std::vector<KnownEntry> Directory::Entries(Instant now) const {
  std::map<InstanceId, std::pair<rpc::EntryDigest, Liveness>> known;
  known[this->settings.self] = {this->SelfDigest(true), Liveness::kLive};
  for (const auto& [id, record] : this->entries) {
    const Liveness liveness = now < record.suspect_at ? Liveness::kLive
                              : now < record.dead_at  ? Liveness::kSuspect
                                                      : Liveness::kDead;
    known[id] = {record.digest, liveness};
  }
  std::vector<KnownEntry> result;
  for (const auto& [id, entry] : known) {
    const auto& [digest, liveness] = entry;
    result.push_back(KnownEntry{
        id, digest.incarnation(), digest.address(), digest.region(),
        digest.failure_domain(), digest.lineage(), digest.applied_offset(),
        digest.rules_version(), digest.draining(), liveness});
  }
  return result;
}

std::vector<InstanceId> Directory::PlannerRank(Instant now) const {
  std::vector<std::string> names;
  for (const KnownEntry& entry : this->Entries(now)) {
    if (entry.liveness == Liveness::kLive && !entry.draining) {
      names.push_back(entry.entry.value);
    }
  }
  std::vector<InstanceId> rank;
  for (std::string& name : RendezvousRank(kPlannerKey, std::move(names))) {
    rank.emplace_back(std::move(name));
  }
  return rank;
}

bool Directory::IsPreferredPlanner(Instant now) const {
  const std::vector<InstanceId> rank = this->PlannerRank(now);
  return !rank.empty() && rank.front() == this->settings.self;
}

Liveness Directory::AgentLiveness(const InstanceId& agent, Instant now) const {
  const auto found = this->agents.find(agent);
  return found == this->agents.end() ? Liveness::kDead
                                     : this->LivenessOf(found->second, now);
}

Incarnation Directory::AgentIncarnation(const InstanceId& agent) const {
  const auto found = this->agents.find(agent);
  return found == this->agents.end() ? 0 : found->second.incarnation;
}

}  // namespace carobrill::membership
