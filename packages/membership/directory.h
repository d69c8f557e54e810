#ifndef PACKAGES_MEMBERSHIP_DIRECTORY_H_
#define PACKAGES_MEMBERSHIP_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/serving_endpoint.h"
#include "packages/core/time.h"
#include "packages/membership/directory_settings.h"
#include "packages/membership/traffic_meter.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::membership {

/// Liveness of a process, by the time since it was last heard.
enum class Liveness { kLive, kSuspect, kDead };

constexpr auto NamesOf(Liveness) {
  return MakeNameTable<Liveness>({{Liveness::kLive, "live"},
                                  {Liveness::kSuspect, "suspect"},
                                  {Liveness::kDead, "dead"}});
}

/// Result of checking a received message.
enum class MessageStatus {
  kAccepted,
  /// Sent by an incarnation older than the latest known one.
  kStaleSender,
  /// Addressed to another process or to another incarnation of this one.
  kWrongReceiver,
  kMalformed,
};

constexpr auto NamesOf(MessageStatus) {
  return MakeNameTable<MessageStatus>({
      {MessageStatus::kAccepted, "accepted"},
      {MessageStatus::kStaleSender, "stale_sender"},
      {MessageStatus::kWrongReceiver, "wrong_receiver"},
      {MessageStatus::kMalformed, "malformed"},
  });
}

/// A worker and the agent that announces it.
struct KnownWorker {
  WorkerId worker;
  RackId rack;
  InstanceId agent;
  Incarnation agent_incarnation = 0;
  std::string address;
  std::string failure_domain;
  std::string region;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  Liveness liveness = Liveness::kLive;
  /// Whether the agent has announced that it is leaving.
  bool leaving = false;
  /// Time at which the worker becomes dead unless its agent is heard again.
  Instant dead_at;
};

/// An entry, including the local one.
struct KnownEntry {
  InstanceId entry;
  Incarnation incarnation = 0;
  std::string address;
  std::string region;
  std::string failure_domain;
  std::string lineage;
  Offset applied_offset = 0;
  std::uint64_t rules_version = 0;
  bool draining = false;
  Liveness liveness = Liveness::kLive;
};

/// Status of the local entry that digests carry to peers.
struct LocalEntryStatus {
  Offset applied_offset = 0;
  std::string lineage;
  std::uint64_t rules_version = 0;
  bool draining = false;
};

/// Partners and endpoints that rules or operators have withdrawn or drained.
struct Withdrawals {
  std::set<std::string> partners;
  std::set<EndpointId> endpoints;

  bool operator==(const Withdrawals&) const = default;
};

/// Result of a digest request and the reply to send back.
struct DigestOutcome {
  MessageStatus reception = MessageStatus::kAccepted;
  rpc::DigestReply reply;
};

/// Result of an announcement and the reply to send back. Only an accepted
/// announcement grants a lease.
struct AnnounceOutcome {
  MessageStatus reception = MessageStatus::kAccepted;
  rpc::AnnounceReply reply;
};

/// A digest request to send, with its size including framing.
struct OutgoingDigest {
  rpc::DigestRequest request;
  std::size_t bytes = 0;
  /// Whether changes remain for the next digest because of the traffic limit.
  bool more = false;
};

/// Membership view of one entry: the agents and entries it knows. Agents
/// announce themselves to a few entries; the entries exchange changes in
/// digests.
class Directory {
 public:
  explicit Directory(const DirectorySettings& settings);

  /// Handles an announcement that an agent sent to this entry.
  AnnounceOutcome OnAnnounce(const rpc::AnnounceRequest& announcement,
                             Instant now);

  /// Handles a digest request from another entry.
  DigestOutcome OnDigest(const rpc::DigestRequest& digest, Instant now);

  /// Handles the reply to the last digest built for `peer_address`.
  MessageStatus OnDigestReply(const std::string& peer_address,
                              const rpc::DigestReply& reply,
                              Instant now);

  /// Whether this entry sends digests to the peer. Of two entries the one with
  /// the lower address initiates, and the changes of the other return in its
  /// replies. The other one initiates as well when it has not heard the peer
  /// for a while.
  bool InitiatesDigestsTo(const std::string& peer_address, Instant now) const;

  /// Builds the next digest for the entry at `peer_address` ("ip:port"): all
  /// changes since the last digest it acknowledged, within the traffic limit.
  OutgoingDigest BuildDigest(const std::string& peer_address, Instant now);

  /// Sets the status of this entry that digests carry.
  void SetLocalStatus(const LocalEntryStatus& status);

  /// Sets the partners and endpoints that must leave; queries reflect it
  /// immediately.
  void SetWithdrawals(const Withdrawals& withdrawals);

  /// Marks silent agents for the next digests, and removes agents and entries
  /// that have been dead for a long time. Must be called every 100 ms.
  void OnTimer(Instant now);

  /// Known endpoints whose agent is not dead.
  std::vector<ServingEndpoint> Endpoints(Instant now) const;

  /// Endpoints of `service` that may receive new requests.
  std::vector<ServingEndpoint> Serving(const ServiceId& service,
                                       Instant now) const;

  /// Known workers with their liveness.
  std::vector<KnownWorker> Workers(Instant now) const;

  /// Known entries including the local one, sorted by name.
  std::vector<KnownEntry> Entries(Instant now) const;

  /// Live entries that are not draining, in order of preference as planner.
  std::vector<InstanceId> PlannerRank(Instant now) const;

  /// Whether this entry is first in the planner rank.
  bool IsPreferredPlanner(Instant now) const;

  /// Liveness of the agent; kDead if it is unknown.
  Liveness AgentLiveness(const InstanceId& agent, Instant now) const;

  /// Latest known incarnation of the agent, or 0.
  Incarnation AgentIncarnation(const InstanceId& agent) const;

  /// Control traffic sent and received by this entry.
  const TrafficMeter& Traffic() const { return this->traffic; }

  /// Announcement interval currently granted to agents without a service
  /// endpoint.
  std::int64_t GrantedIntervalMs() const { return this->granted_interval_ms; }

  /// Number of agents that announce themselves to this entry.
  std::size_t DirectAgentCount() const { return this->direct_agents; }

 private:
  struct AgentRecord {
    /// Last announcement, without the fields that only its receiver uses.
    rpc::AnnounceRequest announcement;
    Incarnation incarnation = 0;
    /// Whether the agent currently announces itself to this entry.
    bool direct = false;
    /// Deadlines derived from direct announcements.
    Instant suspect_at;
    Instant dead_at;
    Instant reported_at;
    /// Entries that report hearing the agent; it is live as long as one of them
    /// is.
    std::set<InstanceId> reported_by;
    /// Value of `version` at the last change to be sent to peers, or 0.
    std::uint64_t changed_at_version = 0;
    /// Load in the last change sent to peers.
    rpc::ServiceLoad published_load;
    Instant published_at;
  };

  struct EntryRecord {
    rpc::EntryDigest digest;
    Instant suspect_at;
    Instant dead_at;
    /// Whether this entry has applied all changes that the other one has sent.
    bool in_sync = false;
    /// own_sequence of its last reply that was applied; 0 for none.
    std::uint64_t last_applied_sequence = 0;
  };

  /// Synchronization state of one peer: what was sent to it and acknowledged.
  struct PeerSyncState {
    InstanceId entry;
    Incarnation incarnation = 0;
    std::uint64_t acknowledged_version = 0;
    std::uint64_t sent_version = 0;
    std::uint64_t sequence = 0;
    Instant heard_at;
  };

  MessageStatus CheckPeers(const rpc::Peers& peers) const;
  rpc::AnnounceReply MakeAnnounceReply(
      const rpc::AnnounceRequest& announcement) const;
  AgentRecord* RecordFor(const InstanceId& agent, Incarnation incarnation);
  void UpdateFromAnnouncement(AgentRecord& record,
                              const rpc::AnnounceRequest& announcement,
                              Instant now);
  void MarkChanged(const InstanceId& agent, AgentRecord& record, Instant now);
  std::int64_t GrantedIntervalFor(
      const rpc::AnnounceRequest& announcement) const;
  void ApplyAgentDigest(const InstanceId& from,
                        const rpc::AgentDigest& digest,
                        Instant now);
  /// Changes sent by an entry in a request or a reply.
  struct Changes {
    const google::protobuf::RepeatedPtrField<rpc::AgentDigest>& agents;
    bool from_start = false;
  };
  bool ApplyChanges(const InstanceId& from,
                    const Changes& received,
                    Instant now);
  PeerSyncState& SyncStateFor(const std::string& address,
                              const rpc::EntryDigest& entry,
                              Instant now);
  void Acknowledge(PeerSyncState& sync_state,
                   std::uint64_t sequence,
                   bool resync);
  bool UpdateEntry(const rpc::EntryDigest& entry, Instant now);
  void RemoveReporterFromAll(const InstanceId& entry, Instant now);
  void RemoveReporter(AgentRecord& record,
                      const InstanceId& entry,
                      Instant silent_since);
  void AddLocalChanges(const std::string& address,
                       const rpc::DigestRequest& digest,
                       rpc::DigestReply& reply,
                       Instant now);
  bool AddChanges(PeerSyncState& sync_state,
                  Instant now,
                  google::protobuf::RepeatedPtrField<rpc::AgentDigest>& agents);
  void MarkSilentAgents(Instant now);
  void PruneDead(Instant now);
  void UpdateGrantedInterval();
  std::int64_t SuspectAfterMs(const rpc::AnnounceRequest& announcement) const;
  bool MustLeave(const rpc::AnnounceRequest& announcement) const;
  Instant SuspectAt(const AgentRecord& record) const;
  Instant DeadAt(const AgentRecord& record) const;
  Liveness LivenessOf(const AgentRecord& record, Instant now) const;
  ServingEndpoint EndpointOf(const AgentRecord& record, Instant now) const;
  /// Without the constant fields unless `complete`.
  rpc::EntryDigest SelfDigest(bool complete) const;
  rpc::Peers MakePeers(const std::string& receiver,
                       Incarnation incarnation) const;
  void CountTraffic(std::size_t message_bytes, Instant now);

  DirectorySettings settings;
  LocalEntryStatus self_status;
  Withdrawals withdrawals;
  std::map<InstanceId, AgentRecord> agents;
  std::map<InstanceId, EntryRecord> entries;
  /// Keyed by address because a peer's name is known only after its first
  /// digest.
  std::map<std::string, PeerSyncState> peers;
  /// Agents with a change to send, by version.
  std::map<std::uint64_t, InstanceId> changes;
  std::uint64_t version = 0;
  TrafficMeter traffic;
  TokenBucket digest_tokens;
  std::int64_t granted_interval_ms;
  std::size_t direct_agents = 0;
  /// Mean size of an announcement and its reply, including framing.
  std::int64_t mean_announcement_bytes = 0;
};

}  // namespace carobrill::membership

#endif  // PACKAGES_MEMBERSHIP_DIRECTORY_H_
