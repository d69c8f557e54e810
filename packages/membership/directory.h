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

/// How recently a process was heard.
enum class Liveness { kLive, kSuspect, kDead };

constexpr auto NamesOf(Liveness) {
  return MakeNameTable<Liveness>({{Liveness::kLive, "live"},
                                  {Liveness::kSuspect, "suspect"},
                                  {Liveness::kDead, "dead"}});
}

/// What became of a received message.
enum class Reception {
  kAccepted,
  /// From an incarnation older than the known one.
  kStaleSender,
  /// Addressed to another process or to another incarnation of this one.
  kWrongReceiver,
  kMalformed,
};

constexpr auto NamesOf(Reception) {
  return MakeNameTable<Reception>({
      {Reception::kAccepted, "accepted"},
      {Reception::kStaleSender, "stale_sender"},
      {Reception::kWrongReceiver, "wrong_receiver"},
      {Reception::kMalformed, "malformed"},
  });
}

/// A worker and the agent beside it.
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
  /// The agent announces that it is leaving.
  bool leaving = false;
  /// When the liveness ends unless the agent is heard again.
  Instant dead_at;
};

/// An entry, this one included.
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

/// What this entry tells others about itself.
struct SelfStatus {
  Offset applied_offset = 0;
  std::string lineage;
  std::uint64_t rules_version = 0;
  bool draining = false;
};

/// What rules and operators have withdrawn or drained.
struct Withdrawals {
  std::set<std::string> partners;
  std::set<EndpointId> endpoints;

  bool operator==(const Withdrawals&) const = default;
};

/// The answer to a digest request that the owner of the directory sends back.
struct DigestOutcome {
  Reception reception = Reception::kAccepted;
  rpc::DigestReply reply;
};

/// The answer to an announcement. Only an accepted one grants a lease.
struct AnnounceOutcome {
  Reception reception = Reception::kAccepted;
  rpc::AnnounceReply reply;
};

/// A digest to be sent, with its accounted size.
struct OutgoingDigest {
  rpc::DigestRequest request;
  std::size_t bytes = 0;
  /// Changes left for the next digest because of the traffic limit.
  bool more = false;
};

/// What one entry knows about agents and entries.
class Directory {
 public:
  explicit Directory(const DirectorySettings& settings);

  /// Takes in an announcement that an agent sent to this entry.
  AnnounceOutcome OnAnnounce(const rpc::AnnounceRequest& announcement,
                             Instant now);

  /// Takes in a digest of another entry.
  DigestOutcome OnDigest(const rpc::DigestRequest& digest, Instant now);

  /// Takes in the reply to the last digest built for `peer_address`.
  Reception OnDigestReply(const std::string& peer_address,
                          const rpc::DigestReply& reply,
                          Instant now);

  /// True when this entry is the one of the two that has to send digests to
  /// the other, whose changes come back in the replies: the one with the lower
  /// address, and the other one as well when it hears nothing.
  bool Initiates(const std::string& peer_address, Instant now) const;

  /// Builds the next digest for the entry at `peer_address` ("ip:port"): what
  /// changed since the last one that it confirmed, within the traffic limit.
  OutgoingDigest BuildDigest(const std::string& peer_address, Instant now);

  /// Sets what digests say about this entry.
  void SetSelfStatus(const SelfStatus& status);

  /// Sets who must leave; takes effect on queries at once.
  void SetWithdrawals(const Withdrawals& withdrawals);

  /// Forgets agents and entries that have long been dead, and notes agents
  /// that fell silent for the next digests. Call it every 100 ms.
  void OnTimer(Instant now);

  /// All known endpoints, dead ones excepted.
  std::vector<ServingEndpoint> Endpoints(Instant now) const;

  /// Endpoints of `service` that may receive new work.
  std::vector<ServingEndpoint> Serving(const ServiceId& service,
                                       Instant now) const;

  /// All known workers with their liveness.
  std::vector<KnownWorker> Workers(Instant now) const;

  /// All known entries, this one included, in order of their names.
  std::vector<KnownEntry> Entries(Instant now) const;

  /// Live entries that are not draining, first choice for planning first.
  std::vector<InstanceId> PlannerRank(Instant now) const;

  /// True when this entry is first in the planner rank.
  bool IsFirstInRank(Instant now) const;

  /// Liveness of the agent; dead when it is not known.
  Liveness AgentLiveness(const InstanceId& agent, Instant now) const;

  /// Incarnation of the agent as last heard, or 0.
  Incarnation AgentIncarnation(const InstanceId& agent) const;

  /// Control traffic of this entry, received and sent.
  const TrafficMeter& Traffic() const { return this->traffic; }

  /// Interval granted at present to agents without a service endpoint.
  std::int64_t GrantedIntervalMs() const { return this->granted_interval_ms; }

  /// Agents that announce themselves to this entry.
  std::size_t HeardDirectly() const { return this->heard_directly; }

 private:
  struct AgentRecord {
    /// As last announced, without what only the receiver needs.
    rpc::AnnounceRequest announcement;
    Incarnation incarnation = 0;
    /// True while the agent announces itself to this entry.
    bool direct = false;
    /// Deadlines of the direct announcements.
    Instant suspect_at;
    Instant dead_at;
    Instant reported_at;
    /// Entries that hear the agent; it is as live as the liveliest of them.
    std::set<InstanceId> heard_by;
    /// Value of `version` at the last change to be told to peers, or 0.
    std::uint64_t changed_at_version = 0;
    /// Load that the last change told.
    rpc::ServiceLoad told_load;
    Instant told_at;
  };

  struct EntryRecord {
    rpc::EntryDigest digest;
    Instant suspect_at;
    Instant dead_at;
    /// True while this entry holds all that the other one has told.
    bool in_sync = false;
    /// own_sequence of its last reply that was taken in; 0 for none.
    std::uint64_t taken_in = 0;
  };

  /// What one peer was told.
  struct PeerProgress {
    InstanceId entry;
    Incarnation incarnation = 0;
    std::uint64_t confirmed_version = 0;
    std::uint64_t sent_version = 0;
    std::uint64_t sequence = 0;
    Instant heard_at;
  };

  Reception CheckPeers(const rpc::Peers& peers) const;
  rpc::AnnounceReply ReplyTo(const rpc::AnnounceRequest& announcement) const;
  AgentRecord* RecordFor(const InstanceId& agent, Incarnation incarnation);
  void HearAgent(AgentRecord& record,
                 const rpc::AnnounceRequest& announcement,
                 Instant now);
  void Touch(const InstanceId& agent, AgentRecord& record, Instant now);
  std::int64_t GrantedTo(const rpc::AnnounceRequest& announcement) const;
  void ApplyAgentDigest(const InstanceId& from,
                        const rpc::AgentDigest& digest,
                        Instant now);
  /// Changes of an entry, as a request or a reply carries them.
  struct Changes {
    const google::protobuf::RepeatedPtrField<rpc::AgentDigest>& agents;
    bool from_start = false;
  };
  bool ApplyChanges(const InstanceId& from, const Changes& told, Instant now);
  PeerProgress& ProgressOf(const std::string& address,
                           const rpc::EntryDigest& entry,
                           Instant now);
  void Confirm(PeerProgress& progress, std::uint64_t sequence, bool resync);
  bool HearEntry(const rpc::EntryDigest& entry, Instant now);
  void ForgetVouching(const InstanceId& entry, Instant now);
  void StopVouching(AgentRecord& record,
                    const InstanceId& entry,
                    Instant silent_since);
  void AddOwnChanges(const std::string& address,
                     const rpc::DigestRequest& digest,
                     rpc::DigestReply& reply,
                     Instant now);
  bool AddChanges(PeerProgress& progress,
                  Instant now,
                  google::protobuf::RepeatedPtrField<rpc::AgentDigest>& agents);
  void MarkSilent(Instant now);
  void ForgetDead(Instant now);
  void UpdateGrantedInterval();
  std::int64_t SuspectAfterMs(const rpc::AnnounceRequest& announcement) const;
  bool MustLeave(const rpc::AnnounceRequest& announcement) const;
  Instant SuspectAt(const AgentRecord& record) const;
  Instant DeadAt(const AgentRecord& record) const;
  Liveness LivenessOf(const AgentRecord& record, Instant now) const;
  ServingEndpoint EndpointOf(const AgentRecord& record, Instant now) const;
  /// Without what never changes, unless `complete`.
  rpc::EntryDigest SelfDigest(bool complete) const;
  rpc::Peers PeersTo(const std::string& receiver,
                     Incarnation incarnation) const;
  void Count(std::size_t message_bytes, Instant now);

  DirectorySettings settings;
  SelfStatus self_status;
  Withdrawals withdrawals;
  std::map<InstanceId, AgentRecord> agents;
  std::map<InstanceId, EntryRecord> entries;
  /// By address, since a peer's name is learned from its first digest.
  std::map<std::string, PeerProgress> peers;
  /// Changes in order of version, for digests.
  std::map<std::uint64_t, InstanceId> changes;
  std::uint64_t version = 0;
  TrafficMeter traffic;
  TokenBucket digest_tokens;
  std::int64_t granted_interval_ms;
  std::size_t heard_directly = 0;
  /// Mean size of an announcement and its reply with framing.
  std::int64_t announcement_bytes = 0;
};

}  // namespace carobrill::membership

#endif  // PACKAGES_MEMBERSHIP_DIRECTORY_H_
