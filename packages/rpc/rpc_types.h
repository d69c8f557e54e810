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

/// Why a call returned no reply.
enum class RpcFailure {
  kNone,
  /// The call certainly did not reach the peer.
  kUnreachable,
  /// The deadline passed; the peer may have received the call.
  kTimeout,
  /// The call was cancelled; the peer may have received it.
  kCancelled,
  /// The connection was lost or the call failed at the peer; the peer may have
  /// received it.
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

/// Result of a call; `value` is valid only without a failure.
template <typename Reply>
struct RpcResult {
  RpcFailure failure = RpcFailure::kNone;
  /// Explanation of the failure for logs.
  std::string detail;
  Reply value;

  bool Ok() const { return this->failure == RpcFailure::kNone; }
};

/// Receives the reply to one call, on the owner's task.
template <typename Reply>
using RpcCallback = std::function<void(RpcResult<Reply>)>;

/// Final status of a stream of chunks.
struct RpcStreamStatus {
  RpcFailure failure = RpcFailure::kNone;
  std::string detail;

  bool Ok() const { return this->failure == RpcFailure::kNone; }
};

/// Failure of a server to listen on an address.
struct RpcListenError {
  std::string address;
  std::uint16_t port = 0;
  std::string reason;
};

/// Replies to one call. Copies refer to the same call, and only the first reply
/// is sent; thread-safe. If the last copy is destroyed without a reply, the
/// call fails with UNAVAILABLE.
template <typename Reply>
class Responder {
 public:
  /// Called once; without a value when no reply will be sent.
  using Finish = std::function<void(std::optional<Reply>)>;

  explicit Responder(Finish finish)
      : call(std::make_shared<Call>(std::move(finish))) {}

  /// Sends `reply`; later replies are ignored.
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
