#ifndef PACKAGES_REQUESTS_ATTEMPT_TABLE_H_
#define PACKAGES_REQUESTS_ATTEMPT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/requests/request_table.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::requests {

/// A call of Agent.Execute in progress.
struct Attempt {
  AttemptId id;
  /// Sequence number of the attempt within this dispatcher.
  std::uint64_t number = 0;
  RequestId request_id = 0;
  EndpointId endpoint;
  InstanceId agent;
  Incarnation agent_incarnation = 0;
  Instant sent_at;
  bool is_long = false;
  bool hedge = false;
  /// When the hedge or overrun timer of the attempt fires; Never if not set.
  Instant hedge_at = Instant::Never();
  Instant overrun_at = Instant::Never();
};

/// Whether a reply belongs to the attempt it was received for.
enum class ReplyMatch {
  kMatched,
  /// The attempt has already ended.
  kLate,
  /// The reply names another attempt, agent, incarnation or caller.
  kMisrouted,
  /// The answer does not have the length or digest that the reply states.
  kTruncated,
};

constexpr auto NamesOf(ReplyMatch) {
  return MakeNameTable<ReplyMatch>({{ReplyMatch::kMatched, "matched"},
                                    {ReplyMatch::kLate, "late"},
                                    {ReplyMatch::kMisrouted, "misrouted"},
                                    {ReplyMatch::kTruncated, "truncated"}});
}

/// Attempts in progress.
class AttemptTable {
 public:
  AttemptTable(const InstanceId& self, Incarnation self_incarnation);

  /// Adds `attempt` under a new id, unique across all entries, and a new
  /// number.
  Attempt& Add(Attempt attempt);

  Attempt* Find(const AttemptId& id);
  Attempt* FindByNumber(std::uint64_t number);

  /// Checks `reply` against the attempt `attempt_id` it was received for.
  ReplyMatch Match(const AttemptId& attempt_id,
                   const rpc::ExecuteReply& reply) const;

  void Remove(const AttemptId& id);

  std::size_t Size() const { return this->attempts.size(); }

 private:
  InstanceId self;
  Incarnation self_incarnation;
  std::uint64_t next_number = 1;
  std::unordered_map<AttemptId, Attempt> attempts;
  std::unordered_map<std::uint64_t, AttemptId> ids_by_number;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_ATTEMPT_TABLE_H_
