#include "packages/rpc/call_budget.h"

#include <algorithm>
#include <array>
#include <utility>

namespace carobrill::rpc {
namespace {

/// Memory of a connection and of a call in gRPC 1.51, without data: 14 kB, and
/// 20 kB to 30 kB, since several threads allocate it.
constexpr std::size_t kConnectionBytes = 16 * 1024;
constexpr std::size_t kCallBytes = 32 * 1024;

bool HasNoContent(const FrameHeader& frame) {
  return frame.type == FrameType::kPing || frame.type == FrameType::kSettings ||
         (frame.type == FrameType::kData && frame.size == 0 &&
          !frame.EndsStream());
}

/// Time for which the server may work on a call that its client has given up.
constexpr std::int64_t kAbandonedMs = 1'000;

/// Calls of a connection in that time, for each that it may have open. A client
/// whose calls time out repeats them.
constexpr std::size_t kAbandonedFactor = 4;

/// Time without a successful call after which a connection is idle.
constexpr std::int64_t kIdleMs = 60'000;

/// Part of each limit that connections without a successful call may take
/// before others are closed: one in this number.
constexpr std::size_t kUnservedShare = 4;

}  // namespace

CallBudget::CallBudget(const RpcLimits& limits) : limits(limits) {}

RpcConnectionId CallBudget::Open(const std::string& address, Instant now) {
  const RpcConnectionId id = ++this->last_id;
  Connection& connection = this->connections[id];
  connection.address = address;
  connection.since = now;
  connection.head_deadline = now.After(this->limits.max_head_ms);
  this->Hold(connection, kConnectionBytes);
  ++this->count_by_address[address];
  this->newest_address = address;
  return id;
}

void CallBudget::Close(RpcConnectionId connection) {
  const auto found = this->connections.find(connection);
  if (found == this->connections.end()) {
    return;
  }
  this->held_bytes -= found->second.held;
  this->calls -= found->second.calls.size();
  const auto count = this->count_by_address.find(found->second.address);
  if (--count->second == 0) {
    this->count_by_address.erase(count);
  }
  this->connections.erase(found);
}

void CallBudget::OnPreface(RpcConnectionId connection) {
  if (Connection* found = this->Find(connection)) {
    found->head_deadline = Instant::Never();
  }
}

std::optional<RpcRefusal> CallBudget::OnClientFrame(RpcConnectionId connection,
                                                    const FrameHeader& frame,
                                                    Instant now) {
  Connection* found = this->Find(connection);
  if (found == nullptr) {
    return std::nullopt;
  }
  if (HasNoContent(frame) &&
      ++found->empty_frames > this->limits.max_empty_frames) {
    return RpcRefusal{connection, RpcRefusalReason::kFrames};
  }
  if (frame.type == FrameType::kHeaders ||
      frame.type == FrameType::kContinuation) {
    if (const auto reason = this->OnHead(*found, frame, now)) {
      return RpcRefusal{connection, *reason};
    }
  }
  const auto entry = found->calls.find(frame.stream);
  if (entry == found->calls.end()) {
    return std::nullopt;
  }
  Call& call = entry->second;
  if (frame.type == FrameType::kReset) {
    this->AbandonCall(*found, call, now);
  } else if (frame.type == FrameType::kData) {
    call.held += frame.size;
    this->Hold(*found, frame.size);
  }
  if (frame.EndsStream() && call.phase == CallPhase::kRequest) {
    call.phase = CallPhase::kHandling;
    call.deadline = Instant::Never();
  }
  return std::nullopt;
}

std::optional<RpcRefusalReason> CallBudget::OnHead(Connection& connection,
                                                   const FrameHeader& frame,
                                                   Instant now) {
  if (connection.head_bytes == 0) {
    connection.head_deadline = now.After(this->limits.max_head_ms);
  }
  // Empty frames count, too.
  connection.head_bytes += std::max<std::size_t>(frame.size, 1);
  if (connection.head_bytes > this->limits.max_head_bytes) {
    return RpcRefusalReason::kHeadSize;
  }
  if (frame.EndsHeaders()) {
    connection.head_bytes = 0;
    connection.head_deadline = Instant::Never();
  }
  // Header fields after the message belong to the same call.
  if (frame.type != FrameType::kHeaders ||
      frame.stream <= connection.last_stream) {
    return std::nullopt;
  }
  if (connection.open_calls >= this->limits.max_calls_per_connection ||
      connection.calls.size() >=
          this->limits.max_calls_per_connection * kAbandonedFactor) {
    return RpcRefusalReason::kConnectionCalls;
  }
  this->BeginCall(connection, frame.stream, now);
  return std::nullopt;
}

void CallBudget::BeginCall(Connection& connection,
                           std::uint32_t stream,
                           Instant now) {
  connection.last_stream = stream;
  Call& call = connection.calls[stream];
  call.held = kCallBytes;
  call.deadline = now.After(this->limits.max_request_ms);
  this->Hold(connection, kCallBytes);
  ++connection.open_calls;
  ++this->calls;
}

void CallBudget::AbandonCall(Connection& connection, Call& call, Instant now) {
  if (call.phase == CallPhase::kAbandoned) {
    return;
  }
  call.phase = CallPhase::kAbandoned;
  call.deadline = now.After(kAbandonedMs);
  --connection.open_calls;
}

CallBudget::CallEntry CallBudget::RemoveCall(Connection& connection,
                                             CallEntry call) {
  if (call->second.phase != CallPhase::kAbandoned) {
    --connection.open_calls;
  }
  --this->calls;
  this->Release(connection, call->second.held);
  const auto next = connection.calls.erase(call);
  // The size of a reply is known before it is sent, also if it is not sent in
  // the end because its call was given up.
  if (connection.calls.empty()) {
    this->Release(connection, std::exchange(connection.reply_bytes, 0));
  }
  return next;
}

void CallBudget::OnServerFrame(RpcConnectionId connection,
                               const FrameHeader& frame,
                               Instant now) {
  Connection* found = this->Find(connection);
  if (found == nullptr) {
    return;
  }
  if (frame.type == FrameType::kData) {
    const std::size_t sent = std::min(frame.size, found->reply_bytes);
    found->reply_bytes -= sent;
    this->Release(*found, sent);
  }
  const auto call = found->calls.find(frame.stream);
  if (call == found->calls.end()) {
    return;
  }
  call->second.replied = call->second.replied || frame.type == FrameType::kData;
  if (frame.EndsStream() || frame.type == FrameType::kReset) {
    if (call->second.replied) {
      found->served = true;
      found->since = now;
    }
    this->RemoveCall(*found, call);
  }
}

void CallBudget::OnReply(RpcConnectionId connection, std::size_t bytes) {
  Connection* found = this->Find(connection);
  if (found != nullptr && !found->calls.empty()) {
    found->reply_bytes += bytes;
    this->Hold(*found, bytes);
  }
}

void CallBudget::OnBlocked(RpcConnectionId connection,
                           bool blocked,
                           Instant now) {
  if (Connection* found = this->Find(connection)) {
    found->reply_deadline =
        blocked ? now.After(this->limits.max_reply_ms) : Instant::Never();
  }
}

std::optional<RpcRefusal> CallBudget::NextOverBudget(Instant now) const {
  if (this->connections.size() > this->limits.max_connections) {
    return this->Choose(RpcRefusalReason::kConnections,
                        this->limits.max_connections, nullptr, now);
  }
  if (this->calls > this->limits.max_calls) {
    return this->Choose(RpcRefusalReason::kCalls, this->limits.max_calls,
                        nullptr, now);
  }
  if (this->held_bytes > this->limits.max_held_bytes) {
    return this->Choose(RpcRefusalReason::kHeldBytes,
                        this->limits.max_held_bytes, nullptr, now);
  }
  const auto count = this->count_by_address.find(this->newest_address);
  if (count != this->count_by_address.end() &&
      count->second > this->limits.max_connections_per_address) {
    return this->Choose(RpcRefusalReason::kAddressConnections,
                        this->limits.max_connections_per_address,
                        &this->newest_address, now);
  }
  return std::nullopt;
}

std::optional<RpcRefusal> CallBudget::NextFor(RpcRefusalReason reason,
                                              Instant now) const {
  return this->Choose(reason, this->connections.size(), nullptr, now);
}

std::size_t CallBudget::HeldBytes(RpcConnectionId connection) const {
  const auto found = this->connections.find(connection);
  return found == this->connections.end() ? 0 : found->second.held;
}

std::vector<RpcRefusal> CallBudget::Expire(Instant now) {
  std::vector<RpcRefusal> expired;
  for (auto& [id, connection] : this->connections) {
    connection.empty_frames = 0;
    for (auto call = connection.calls.begin();
         call != connection.calls.end();) {
      const bool ended = call->second.phase == CallPhase::kAbandoned &&
                         call->second.deadline <= now;
      call = ended ? this->RemoveCall(connection, call) : std::next(call);
    }
    if (const auto reason = ExpiredDeadline(connection, now)) {
      expired.push_back({id, *reason});
    }
  }
  return expired;
}

std::optional<RpcRefusalReason> CallBudget::ExpiredDeadline(
    const Connection& connection,
    Instant now) {
  if (connection.head_deadline <= now) {
    return RpcRefusalReason::kHeadDeadline;
  }
  if (connection.reply_deadline <= now) {
    return RpcRefusalReason::kReplyDeadline;
  }
  const bool late =
      std::ranges::any_of(connection.calls, [now](const auto& entry) {
        return entry.second.phase == CallPhase::kRequest &&
               entry.second.deadline <= now;
      });
  return late ? std::optional(RpcRefusalReason::kRequestDeadline)
              : std::nullopt;
}

CallBudget::Connection* CallBudget::Find(RpcConnectionId connection) {
  const auto found = this->connections.find(connection);
  return found == this->connections.end() ? nullptr : &found->second;
}

void CallBudget::Hold(Connection& connection, std::size_t bytes) {
  connection.held += bytes;
  this->held_bytes += bytes;
}

void CallBudget::Release(Connection& connection, std::size_t bytes) {
  connection.held -= bytes;
  this->held_bytes -= bytes;
}

// Peers keep their connections and call again and again; a crowd comes with new
// ones. So connections without a successful call go first, the oldest of them
// before others, as long as they take more than their share of what the limit
// is for; below that, new peers would never be served. Among the others, those
// that have been idle go first, and then the newest, so that a crowd whose
// calls succeed does not displace peers.
std::optional<RpcRefusal> CallBudget::Choose(RpcRefusalReason reason,
                                             std::size_t limit,
                                             const std::string* address,
                                             Instant now) const {
  using Candidate = std::pair<std::int64_t, RpcConnectionId>;
  std::size_t used_by_unserved = 0;
  std::optional<Candidate> unserved;
  std::optional<Candidate> idle;
  std::optional<Candidate> newest;
  for (const auto& [id, connection] : this->connections) {
    const std::size_t used = Used(reason, connection);
    if (used == 0 || (address != nullptr && connection.address != *address)) {
      continue;
    }
    const Candidate candidate(connection.since.ms, id);
    if (!connection.served) {
      used_by_unserved += used;
      unserved = std::min(unserved.value_or(candidate), candidate);
    } else if (connection.since.After(kIdleMs) <= now) {
      idle = std::min(idle.value_or(candidate), candidate);
    } else {
      const Candidate by_id(0, id);
      newest = std::max(newest.value_or(by_id), by_id);
    }
  }
  const bool unserved_first = used_by_unserved > limit / kUnservedShare;
  const std::array<std::optional<Candidate>, 4> order = {
      unserved_first ? unserved : std::nullopt, idle, newest, unserved};
  const auto first = std::ranges::find_if(
      order, [](const auto& candidate) { return candidate.has_value(); });
  if (first == order.end()) {
    return std::nullopt;
  }
  return RpcRefusal{(*first)->second, reason};
}

// What a connection takes of the limit for `reason`.
std::size_t CallBudget::Used(RpcRefusalReason reason,
                             const Connection& connection) {
  switch (reason) {
    case RpcRefusalReason::kCalls:
      return connection.calls.size();
    case RpcRefusalReason::kHeldBytes:
      return connection.held;
    default:
      return 1;
  }
}

}  // namespace carobrill::rpc
