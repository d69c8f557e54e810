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

/// One call of Agent.Execute that is under way.
struct Attempt {
  AttemptId id;
  /// Counts the attempts of this dispatcher.
  std::uint64_t number = 0;
  RequestId request_id = 0;
  EndpointId endpoint;
  InstanceId agent;
  Incarnation agent_incarnation = 0;
  Instant sent_at;
  bool is_long = false;
  bool hedge = false;
  /// When a hedge or an overrun of the attempt is due; Never for none.
  Instant hedge_at = Instant::Never();
  Instant overrun_at = Instant::Never();
};

/// Whether a reply belongs to the attempt for which it came.
enum class ReplyMatch {
  kMatched,
  /// The attempt is over already.
  kLate,
  /// It names another attempt, agent, incarnation or caller.
  kMisrouted,
  /// Its answer has another length or digest than it says.
  kTruncated,
};

constexpr auto NamesOf(ReplyMatch) {
  return MakeNameTable<ReplyMatch>({{ReplyMatch::kMatched, "matched"},
                                    {ReplyMatch::kLate, "late"},
                                    {ReplyMatch::kMisrouted, "misrouted"},
                                    {ReplyMatch::kTruncated, "truncated"}});
}

/// Attempts that are under way.
class AttemptTable {
 public:
  AttemptTable(const InstanceId& self, Incarnation self_incarnation);

  /// Adds `attempt` under a new id and number, unique among all entries.
  Attempt& Add(Attempt attempt);

  Attempt* Find(const AttemptId& id);
  Attempt* FindByNumber(std::uint64_t number);

  /// Compares `reply` with the attempt `called` for which it arrived.
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
