#include "packages/requests/attempt_table.h"

#include <utility>

#include "packages/core/digest.h"

namespace carobrill::requests {
namespace {

bool IsAnswerIntact(const rpc::ExecuteReply& reply) {
  return reply.answer().size() == reply.answer_length() &&
         reply.answer_digest() == DigestOf(reply.answer());
}

}  // namespace

AttemptTable::AttemptTable(const InstanceId& self, Incarnation self_incarnation)
    : self(self), self_incarnation(self_incarnation) {}

// The id contains the incarnation, so that a reply to an attempt of an earlier
// process of this entry never matches an attempt of this one.
Attempt& AttemptTable::Add(Attempt attempt) {
  attempt.number = this->next_number++;
  attempt.id = AttemptId(this->self.value + "/" +
                         std::to_string(this->self_incarnation) + "/" +
                         std::to_string(attempt.number));
  this->ids_by_number.emplace(attempt.number, attempt.id);
  return this->attempts.emplace(attempt.id, std::move(attempt)).first->second;
}

Attempt* AttemptTable::Find(const AttemptId& id) {
  const auto found = this->attempts.find(id);
  return found == this->attempts.end() ? nullptr : &found->second;
}

Attempt* AttemptTable::FindByNumber(std::uint64_t number) {
  const auto found = this->ids_by_number.find(number);
  return found == this->ids_by_number.end() ? nullptr
                                            : this->Find(found->second);
}

ReplyMatch AttemptTable::Match(const AttemptId& attempt_id,
                               const rpc::ExecuteReply& reply) const {
  const auto found = this->attempts.find(attempt_id);
  if (found == this->attempts.end()) {
    return ReplyMatch::kLate;
  }
  const Attempt& attempt = found->second;
  const rpc::Peers& peers = reply.peers();
  if (reply.attempt() != attempt_id.value ||
      peers.sender() != attempt.agent.value ||
      peers.sender_incarnation() != attempt.agent_incarnation ||
      peers.receiver() != this->self.value ||
      peers.receiver_incarnation() != this->self_incarnation) {
    return ReplyMatch::kMisrouted;
  }
  if (reply.refusal() == rpc::REFUSAL_NONE && reply.ran() == rpc::RAN_YES &&
      !IsAnswerIntact(reply)) {
    return ReplyMatch::kTruncated;
  }
  return ReplyMatch::kMatched;
}

void AttemptTable::Remove(const AttemptId& id) {
  const auto found = this->attempts.find(id);
  if (found != this->attempts.end()) {
    this->ids_by_number.erase(found->second.number);
    this->attempts.erase(found);
  }
}

}  // namespace carobrill::requests
