#ifndef PACKAGES_RPC_RPC_TYPES_H_
#define PACKAGES_RPC_RPC_TYPES_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "packages/core/name_table.h"

namespace carobrill::rpc {

/// Why a call brought no reply.
enum class RpcFailure {
  kNone,
  /// The call certainly did not reach the peer.
  kUnreachable,
  /// The deadline passed; the peer may have received the call.
  kTimeout,
  /// The call was cancelled; the peer may have received it.
  kCancelled,
  /// Connection lost or call failed at the peer; it may have been received.
  kInternal,
};

constexpr auto NamesOf(RpcFailure) {
  return MakeNameTable<RpcFailure>({
      {RpcFailure::kNone, "none"},
      {RpcFailure::kUnreachable, "unreachable"},
      {RpcFailure::kTimeout, "timeout"},
      {RpcFailure::kCancelled, "cancelled"},
      {RpcFailure::kInternal, "internal"},
  });
}

/// What a call brought; `value` counts only without a failure.
template <typename Reply>
struct RpcReply {
  RpcFailure failure = RpcFailure::kNone;
  /// Explanation of the failure for logs.
  std::string detail;
  Reply value;

  bool Ok() const { return this->failure == RpcFailure::kNone; }
};

/// Receives the reply to one call, on the owner's task.
template <typename Reply>
using RpcCallback = std::function<void(RpcReply<Reply>)>;

/// The end of a stream of chunks.
struct RpcStreamEnd {
  RpcFailure failure = RpcFailure::kNone;
  std::string detail;

  bool Ok() const { return this->failure == RpcFailure::kNone; }
};

/// An address on which a server could not listen.
struct RpcListenError {
  std::string address;
  std::uint16_t port = 0;
  std::string reason;
};

/// Answers one call. Copies share the call: the first answer counts, from any
/// thread. When the last copy goes unanswered, the call ends as UNAVAILABLE.
template <typename Reply>
class Responder {
 public:
  /// Runs once, with nothing when the call is given up.
  using Finish = std::function<void(std::optional<Reply>)>;

  explicit Responder(Finish finish)
      : call(std::make_shared<Call>(std::move(finish))) {}

  /// Sends `reply`; later answers are ignored.
  void operator()(Reply reply) const {
    this->call->End(std::optional<Reply>(std::move(reply)));
  }

 private:
  struct Call {
    explicit Call(Finish finish) : finish(std::move(finish)) {}
    ~Call() { this->End(std::nullopt); }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

    void End(std::optional<Reply> reply) {
      if (!this->ended.exchange(true)) {
        this->finish(std::move(reply));
      }
    }

    Finish finish;
    std::atomic<bool> ended = false;
  };

  std::shared_ptr<Call> call;
};

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_RPC_TYPES_H_
