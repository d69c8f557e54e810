#ifndef PACKAGES_REQUESTS_CLAIM_TABLE_H_
#define PACKAGES_REQUESTS_CLAIM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/result.h"
#include "packages/core/state_chart.h"
#include "packages/core/time.h"
#include "packages/records/records.pb.h"
#include "packages/records/verdict.h"
#include "packages/requests/request_types.h"

namespace carobrill::requests {

/// State of a claim (charts/claim.json).
enum class ClaimState { kOpen, kCompleted, kNotRun, kUnknown };

constexpr auto NamesOf(ClaimState) {
  return MakeNameTable<ClaimState>({{ClaimState::kOpen, "open"},
                                    {ClaimState::kCompleted, "completed"},
                                    {ClaimState::kNotRun, "not_run"},
                                    {ClaimState::kUnknown, "unknown"}});
}

/// Events that change the state of a claim.
enum class ClaimEvent { kClaim, kComplete, kNotRun, kMarkUnknown };

constexpr auto NamesOf(ClaimEvent) {
  return MakeNameTable<ClaimEvent>({{ClaimEvent::kClaim, "claim"},
                                    {ClaimEvent::kComplete, "complete"},
                                    {ClaimEvent::kNotRun, "not_run"},
                                    {ClaimEvent::kMarkUnknown, "lose"}});
}

using ClaimChart = StateChart<ClaimState, ClaimEvent>;

/// A claim to run a non-idempotent request.
struct Claim {
  ClaimState state = ClaimState::kOpen;
  /// Log offset of the claim's record, which serves as its fencing token.
  Offset offset = 0;
  ServiceId service;
  std::string payload_digest;
  /// The entry that may send the request.
  InstanceId entry;
  Incarnation entry_incarnation = 0;
  /// The endpoint and agent that may run the request.
  EndpointId endpoint;
  InstanceId agent;
  Incarnation agent_incarnation = 0;
  std::uint64_t proposal = 0;
  std::string answer;
  bool answer_omitted = false;
  /// Log time at which the claim is removed.
  Instant expires_at;

  bool operator==(const Claim&) const = default;
};

/// Limits of the claim table. All replicas must use the same values.
struct ClaimTableSettings {
  std::int64_t settled_retention_ms = 3'600'000;
  std::int64_t open_retention_ms = 24LL * 3'600'000;
  /// Estimated memory of all claims; new claims above it are rejected.
  std::size_t memory_limit_bytes = 64U << 20U;
  /// Percentage of the memory limit that one account may use.
  std::uint32_t account_percent = 50;
  /// Longer answers are not stored but recorded as omitted.
  std::size_t answer_limit_bytes = 16U << 10U;
  std::size_t key_limit_bytes = 256;
};

/// Claims of non-idempotent requests and their outcomes. Part of the replicated
/// state machine (records::ReplicatedComponent).
class ClaimTable {
 public:
  explicit ClaimTable(const ClaimChart& chart,
                      const ClaimTableSettings& settings = {});

  /// Reads `directory`/claim.json.
  static Result<ClaimTable> Create(const std::string& directory,
                                   const ClaimTableSettings& settings = {});

  /// Applies RequestClaimed and ClaimSettled records and ignores others.
  records::Verdict Apply(const records::Record& record,
                         Offset offset,
                         Instant appended_at);

  /// Writes the snapshot section `claims`.
  void Save(records::Snapshot& snapshot) const;

  /// Replaces the state. Returns false and keeps the old state if the section
  /// is malformed.
  bool Load(const records::Snapshot& snapshot);

  /// Hash of the state, equal on all replicas with the same state.
  std::uint64_t Hash() const;

  /// Returns the claim of `key`, or null. Valid until the next Apply or Load.
  const Claim* Find(const ClaimKey& key) const;

  /// Keys of all open claims.
  const std::set<ClaimKey>& OpenClaims() const { return this->open_claims; }

  /// Estimated memory of all claims.
  std::size_t MemoryBytes() const { return this->memory_bytes; }

  std::size_t Size() const { return this->claims.size(); }

  const ClaimTableSettings& Settings() const { return this->settings; }

 private:
  records::Verdict ApplyClaimed(const records::RequestClaimed& record,
                                Offset offset,
                                Instant appended_at);
  records::Verdict ApplySettled(const records::ClaimSettled& record,
                                Instant appended_at);
  bool HasCapacity(const ClaimKey& key, const Claim& claim) const;
  void Insert(const ClaimKey& key, Claim claim);
  void Remove(const ClaimKey& key);
  void RemoveExpired(Instant now);

  ClaimChart chart;
  ClaimTableSettings settings;
  std::map<ClaimKey, Claim> claims;
  std::set<ClaimKey> open_claims;
  std::set<std::pair<Instant, ClaimKey>> expiry;
  std::map<AccountId, std::size_t> account_bytes;
  std::size_t memory_bytes = 0;
  /// Sum of the hashes of all claims, updated with each change.
  std::uint64_t claims_hash = 0;
  /// Latest append time seen; append times in the log may go backwards.
  Instant log_time;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_CLAIM_TABLE_H_
