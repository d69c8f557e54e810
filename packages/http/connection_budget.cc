#include "packages/http/connection_budget.h"

#include <algorithm>
#include <tuple>

namespace carobrill::http {
namespace {

/// Memory of a connection without data: 13 kB were measured with libsoup 3.2,
/// and the table of connections takes the rest.
constexpr std::size_t kConnectionBytes = 16 * 1024;

/// Time in which a new connection or request keeps its place ahead of idle
/// connections. An ordinary request arrives in one go.
constexpr std::int64_t kGraceMs = 1'000;

/// Received bytes for each byte of the body: a chunk of one byte takes six, and
/// clients may add extensions to the chunk sizes.
constexpr std::size_t kChunkingFactor = 8;

/// Part of an excessive body that is read and discarded, so that the client
/// gets the response before its connection is closed.
constexpr std::size_t kDiscardedBytes = std::size_t{1} << 20;

}  // namespace

ConnectionBudget::ConnectionBudget(const ClientLimits& limits)
    : limits(limits) {}

ConnectionId ConnectionBudget::Open(const std::string& address, Instant now) {
  const ConnectionId id = ++this->last_id;
  Connection& connection = this->connections[id];
  connection.address = address;
  connection.since = now;
  this->SetHeld(connection, kConnectionBytes);
  ++this->count_by_address[address];
  this->newest_address = address;
  return id;
}

void ConnectionBudget::Close(ConnectionId connection) {
  const auto found = this->connections.find(connection);
  if (found == this->connections.end()) {
    return;
  }
  this->held_bytes -= found->second.held;
  const auto count = this->count_by_address.find(found->second.address);
  if (--count->second == 0) {
    this->count_by_address.erase(count);
  }
  this->connections.erase(found);
}

std::optional<Refusal> ConnectionBudget::OnBytes(ConnectionId connection,
                                                 std::size_t bytes,
                                                 Instant now) {
  Connection* found = this->Find(connection);
  if (found == nullptr) {
    return std::nullopt;
  }
  if (found->phase == ConnectionPhase::kIdle) {
    found->phase = ConnectionPhase::kHead;
    found->since = now;
    found->deadline = now.After(this->limits.max_head_ms);
  }
  found->received += bytes;
  if (found->phase == ConnectionPhase::kHead) {
    this->SetHeld(*found, found->held + bytes);
  }
  const auto refusal = [&](RefusalReason reason) {
    return Refusal{connection, reason, found->phase, found->served};
  };
  if (found->phase == ConnectionPhase::kHead &&
      found->received > this->limits.max_head_bytes) {
    return refusal(RefusalReason::kHeadSize);
  }
  if (found->phase == ConnectionPhase::kBody &&
      found->received > this->MaxReceivedBytes()) {
    return refusal(RefusalReason::kBodySize);
  }
  return std::nullopt;
}

void ConnectionBudget::OnHead(ConnectionId connection, Instant now) {
  Connection* found = this->Find(connection);
  if (found == nullptr) {
    return;
  }
  // The reader may have had the whole head already.
  if (found->phase == ConnectionPhase::kIdle) {
    found->since = now;
  }
  found->phase = ConnectionPhase::kBody;
  found->deadline = now.After(this->limits.max_body_ms);
  found->head_bytes = found->held;
}

void ConnectionBudget::OnBody(ConnectionId connection, std::size_t bytes) {
  Connection* found = this->Find(connection);
  if (found != nullptr) {
    this->SetHeld(*found, found->head_bytes + bytes);
  }
}

void ConnectionBudget::OnBodyDiscarded(ConnectionId connection) {
  Connection* found = this->Find(connection);
  if (found != nullptr) {
    this->SetHeld(*found, found->head_bytes);
  }
}

void ConnectionBudget::OnRequest(ConnectionId connection) {
  Connection* found = this->Find(connection);
  if (found != nullptr) {
    found->phase = ConnectionPhase::kHandling;
    found->deadline = Instant::Never();
    this->SetHeld(*found, found->head_bytes);
  }
}

void ConnectionBudget::OnResponse(ConnectionId connection,
                                  std::size_t bytes,
                                  Instant now) {
  Connection* found = this->Find(connection);
  if (found != nullptr) {
    found->phase = ConnectionPhase::kResponse;
    found->since = now;
    found->deadline = now.After(this->limits.max_response_ms);
    this->SetHeld(*found, found->held + bytes);
  }
}

void ConnectionBudget::OnFinished(ConnectionId connection, Instant now) {
  Connection* found = this->Find(connection);
  if (found != nullptr) {
    found->phase = ConnectionPhase::kIdle;
    found->since = now;
    found->deadline = Instant::Never();
    found->received = 0;
    found->head_bytes = 0;
    found->served = true;
    this->SetHeld(*found, kConnectionBytes);
  }
}

std::optional<Refusal> ConnectionBudget::NextOverBudget(Instant now) const {
  if (this->connections.size() > this->limits.max_connections) {
    return this->Choose(RefusalReason::kConnections, nullptr, now);
  }
  if (this->held_bytes > this->limits.max_held_bytes) {
    return this->Choose(RefusalReason::kHeldBytes, nullptr, now);
  }
  const auto count = this->count_by_address.find(this->newest_address);
  if (count != this->count_by_address.end() &&
      count->second > this->limits.max_connections_per_address) {
    return this->Choose(RefusalReason::kAddressConnections,
                        &this->newest_address, now);
  }
  return std::nullopt;
}

std::optional<Refusal> ConnectionBudget::NextFor(RefusalReason reason,
                                                 Instant now) const {
  return this->Choose(reason, nullptr, now);
}

std::vector<Refusal> ConnectionBudget::Expired(Instant now) const {
  std::vector<Refusal> expired;
  for (const auto& [id, connection] : this->connections) {
    if (connection.deadline > now) {
      continue;
    }
    const RefusalReason reason = connection.phase == ConnectionPhase::kHead
                                     ? RefusalReason::kHeadDeadline
                                 : connection.phase == ConnectionPhase::kBody
                                     ? RefusalReason::kBodyDeadline
                                     : RefusalReason::kResponseDeadline;
    expired.push_back({id, reason, connection.phase, connection.served});
  }
  return expired;
}

bool ConnectionBudget::IsIdle(ConnectionId connection) const {
  const auto found = this->connections.find(connection);
  return found != this->connections.end() && found->second.served &&
         found->second.phase == ConnectionPhase::kIdle;
}

void ConnectionBudget::SetMaxBodyBytes(std::size_t bytes) {
  this->limits.max_body_bytes = bytes;
}

ConnectionBudget::Connection* ConnectionBudget::Find(ConnectionId connection) {
  const auto found = this->connections.find(connection);
  return found == this->connections.end() ? nullptr : &found->second;
}

void ConnectionBudget::SetHeld(Connection& connection, std::size_t bytes) {
  this->held_bytes += bytes - connection.held;
  connection.held = bytes;
}

std::size_t ConnectionBudget::MaxReceivedBytes() const {
  return this->limits.max_head_bytes +
         this->limits.max_body_bytes * kChunkingFactor + kDiscardedBytes;
}

// First come connections that have held an unfinished request or response, or
// have been without a first request, for longer than an ordinary client takes;
// then idle connections of clients that were served; then those that began only
// now. The oldest of each goes first. A request that is being handled is never
// chosen: whether it runs could not be told to its client. A scan costs nothing
// until a limit is exceeded, unlike an index that each request changes.
std::optional<Refusal> ConnectionBudget::Choose(RefusalReason reason,
                                                const std::string* address,
                                                Instant now) const {
  enum class Rank { kStalled, kIdle, kRecent };
  std::optional<std::tuple<Rank, Instant, ConnectionId>> first;
  for (const auto& [id, connection] : this->connections) {
    if (connection.phase == ConnectionPhase::kHandling ||
        (address != nullptr && connection.address != *address)) {
      continue;
    }
    Rank rank = Rank::kStalled;
    if (connection.phase == ConnectionPhase::kIdle && connection.served) {
      rank = Rank::kIdle;
    } else if (connection.since.After(kGraceMs) > now) {
      rank = Rank::kRecent;
    }
    const std::tuple candidate(rank, connection.since, id);
    if (!first.has_value() || candidate < *first) {
      first = candidate;
    }
  }
  if (!first.has_value()) {
    return std::nullopt;
  }
  const ConnectionId id = std::get<ConnectionId>(*first);
  const Connection& connection = this->connections.at(id);
  return Refusal{id, reason, connection.phase, connection.served};
}

}  // namespace carobrill::http
