#ifndef PACKAGES_GATEWAY_RELAYED_LOG_H_
#define PACKAGES_GATEWAY_RELAYED_LOG_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "packages/core/keyed_log.h"
#include "packages/core/log.h"
#include "packages/core/metrics.h"
#include "packages/core/task.h"
#include "packages/gateway/relay_codec.h"
#include "packages/rpc/rpc_types.h"

namespace carobrill::gateway {

/// Timing of calls through a peer, in ms.
struct RelaySettings {
  /// How long the log may take, beyond the wait for new records, before the
  /// call is also sent to a peer. The log usually answers in 20 ms; the slowest
  /// supported stores take 350 ms.
  std::int64_t hedge_delay_ms = 250;
  /// Timeout of a peer beyond the wait for new records; then the next peer is
  /// tried.
  std::int64_t peer_timeout_ms = 500;
  /// Calls of peers that are executed at the same time, and reads among them
  /// that may wait for new records. The other connections to the log remain for
  /// the gateway's own calls.
  std::size_t max_served_calls = 96;
  std::size_t max_served_waits = 32;
  /// Longest wait of a peer for new records: while it may wait, and beyond
  /// max_served_waits.
  std::int64_t served_wait_ms = 2'000;
  std::int64_t short_served_wait_ms = 100;
};

/// Sends one call to a peer. Set by the owner.
using RelayFunction =
    std::function<void(const std::string& address,
                       const rpc::RelayRequest& request,
                       Instant deadline,
                       rpc::RpcCallback<rpc::RelayReply> callback)>;

/// Log client that calls the log directly and, while the log does not answer,
/// through other gateways. A call may be executed twice, which is safe: entries
/// are keyed, and each sequence number of a writer takes effect only once.
/// Satisfies KeyedLog.
template <KeyedLog LogStore>
class RelayedLog {
 public:
  /// `log` must outlive this object.
  RelayedLog(Task& task,
             LogStore& log,
             RelaySettings settings,
             RelayFunction relay,
             MetricsRegistry& metrics)
      : task(task),
        log(log),
        settings(settings),
        relay(std::move(relay)),
        relayed_calls(metrics.GetCounter(
            "carobrill_log_calls_relayed_total",
            "Calls of the log that were sent through another gateway.")) {}

  ~RelayedLog() { *this->alive = false; }

  RelayedLog(const RelayedLog&) = delete;
  RelayedLog& operator=(const RelayedLog&) = delete;

  /// Adds a peer or updates its address ("ip:port").
  void SetPeer(const InstanceId& peer, const std::string& address) {
    const auto known = std::ranges::find(this->peers, peer, &Peer::instance);
    if (known != this->peers.end()) {
      known->address = address;
    } else {
      this->peers.push_back({peer, address});
    }
  }

  /// True if the last direct call was refused or not answered.
  bool DirectPathFailing() const { return this->direct_failing; }

  void Append(const KeyedAppend& append,
              std::function<void(KeyedAppendReply)> callback) {
    this->StartCall<KeyedAppendReply>(
        append, 0, std::move(callback),
        [&](auto direct) { this->log.Append(append, std::move(direct)); });
  }

  void Read(const KeyedRead& read,
            std::function<void(KeyedReadReply)> callback) {
    this->StartCall<KeyedReadReply>(
        read, read.wait_ms, std::move(callback),
        [&](auto direct) { this->log.Read(read, std::move(direct)); });
  }

  void ReadSnapshot(const KeyedSnapshotRead& read,
                    std::function<void(KeyedSnapshotReply)> callback) {
    this->StartCall<KeyedSnapshotReply>(
        read, 0, std::move(callback),
        [&](auto direct) { this->log.ReadSnapshot(read, std::move(direct)); });
  }

  /// Executes a call for a peer directly on the log. Relayed calls are never
  /// relayed again. A call beyond max_served_calls is refused.
  void Serve(const rpc::RelayRequest& request,
             std::function<void(rpc::RelayReply)> respond) {
    const Instant now = BootClock{}.Now();
    if (this->served_calls >= this->settings.max_served_calls) {
      respond(
          ToRelayMessage(KeyedAppendReply{KeyedLogFailure::kRefused, 0, 0}));
      return;
    }
    ++this->served_calls;
    const auto answer = [this, alive = this->alive,
                         respond = std::move(respond)](const auto& reply) {
      if (*alive) {
        --this->served_calls;
      }
      respond(ToRelayMessage(reply));
    };
    switch (request.call_case()) {
      case rpc::RelayRequest::kAppend:
        this->log.Append(DecodeAppend(request, now), answer);
        return;
      case rpc::RelayRequest::kRead:
        this->ServeRead(DecodeRead(request, now), answer);
        return;
      case rpc::RelayRequest::kSnapshot:
        this->log.ReadSnapshot(DecodeSnapshotRead(request, now), answer);
        return;
      default:
        answer(KeyedAppendReply{KeyedLogFailure::kMalformed, 0, 0});
        return;
    }
  }

 private:
  struct Peer {
    InstanceId instance;
    std::string address;
  };

  /// State of one call on the direct and the relayed path. The first conclusive
  /// reply completes it.
  template <typename Reply>
  struct Call {
    std::function<void(Reply)> callback;
    std::function<rpc::RelayRequest(Instant now, std::int64_t wait_left_ms)>
        message;
    Instant deadline;
    /// End of the wait for new records on either path.
    Instant wait_ends;
    bool direct_pending = true;
    bool relay_started = false;
    bool relay_pending = false;
    std::size_t peers_tried = 0;
    /// At least one path gave no answer, so the call may have taken effect.
    bool may_have_taken_effect = false;
    bool ended = false;
  };
  template <typename Reply>
  using CallRef = std::shared_ptr<Call<Reply>>;

  // A read that waits takes a connection to the log.
  void ServeRead(KeyedRead read, std::function<void(KeyedReadReply)> answer) {
    if (this->served_waits >= this->settings.max_served_waits) {
      read.wait_ms =
          std::min(read.wait_ms, this->settings.short_served_wait_ms);
      this->log.Read(read, std::move(answer));
      return;
    }
    read.wait_ms = std::min(read.wait_ms, this->settings.served_wait_ms);
    ++this->served_waits;
    this->log.Read(read,
                   [this, alive = this->alive,
                    answer = std::move(answer)](const KeyedReadReply& reply) {
                     if (*alive) {
                       --this->served_waits;
                     }
                     answer(reply);
                   });
  }

  static bool IsConclusive(KeyedLogFailure failure) {
    return failure != KeyedLogFailure::kRefused &&
           failure != KeyedLogFailure::kNoAnswer;
  }

  template <typename Reply, typename Request, typename Direct>
  void StartCall(const Request& request,
                 std::int64_t wait_ms,
                 std::function<void(Reply)> callback,
                 Direct&& direct) {
    auto call = std::make_shared<Call<Reply>>();
    call->callback = std::move(callback);
    call->wait_ends = BootClock{}.Now().After(wait_ms);
    call->message = [request](Instant now, std::int64_t wait_left_ms) {
      if constexpr (std::is_same_v<Request, KeyedRead>) {
        KeyedRead left = request;
        left.wait_ms = wait_left_ms;
        return ToRelayMessage(left, now);
      } else {
        return ToRelayMessage(request, now);
      }
    };
    call->deadline = request.deadline;
    direct([this, alive = this->alive, call](const Reply& reply) {
      if (*alive) {
        this->OnDirect(call, reply);
      }
    });
    if (this->direct_failing) {
      this->StartRelay(call);
      return;
    }
    this->task.PostAt(call->wait_ends.After(this->settings.hedge_delay_ms),
                      [this, alive = this->alive, call] {
                        if (*alive && !call->ended) {
                          this->StartRelay(call);
                        }
                      });
  }

  template <typename Reply>
  void OnDirect(const CallRef<Reply>& call, const Reply& reply) {
    call->direct_pending = false;
    this->RecordDirectResult(reply.failure);
    if (this->CompleteIfConclusive(call, reply)) {
      return;
    }
    this->StartRelay(call);
    this->FailIfExhausted(call);
  }

  template <typename Reply>
  void StartRelay(const CallRef<Reply>& call) {
    if (std::exchange(call->relay_started, true) || call->ended) {
      return;
    }
    this->TryNextPeer(call);
  }

  template <typename Reply>
  void TryNextPeer(const CallRef<Reply>& call) {
    const Instant now = BootClock{}.Now();
    if (call->ended || call->peers_tried >= this->peers.size() ||
        now >= call->deadline) {
      return;
    }
    const Peer& peer = this->peers[call->peers_tried++];
    call->relay_pending = true;
    this->relayed_calls.Increment();
    const std::int64_t wait_ms =
        std::max<std::int64_t>(0, call->wait_ends.RemainingMs(now));
    const Instant until = std::min(
        call->deadline, now.After(wait_ms + this->settings.peer_timeout_ms));
    this->relay(peer.address, call->message(now, wait_ms), until,
                [this, alive = this->alive, call, instance = peer.instance](
                    const rpc::RpcResult<rpc::RelayReply>& reply) {
                  if (*alive) {
                    this->OnPeer(call, instance, reply);
                  }
                });
  }

  template <typename Reply>
  void OnPeer(const CallRef<Reply>& call,
              const InstanceId& peer,
              const rpc::RpcResult<rpc::RelayReply>& message) {
    call->relay_pending = false;
    Reply reply;
    if (message.Ok()) {
      FromRelayMessage(message.value, reply);
    } else {
      reply.failure = message.failure == rpc::RpcFailure::kUnreachable
                          ? KeyedLogFailure::kRefused
                          : KeyedLogFailure::kNoAnswer;
    }
    if (IsConclusive(reply.failure)) {
      this->MoveToFront(peer);
    }
    if (this->CompleteIfConclusive(call, reply)) {
      return;
    }
    this->TryNextPeer(call);
    this->FailIfExhausted(call);
  }

  template <typename Reply>
  bool CompleteIfConclusive(const CallRef<Reply>& call, const Reply& reply) {
    call->may_have_taken_effect = call->may_have_taken_effect ||
                                  reply.failure == KeyedLogFailure::kNoAnswer;
    if (call->ended || !IsConclusive(reply.failure)) {
      return call->ended;
    }
    call->ended = true;
    call->callback(reply);
    return true;
  }

  template <typename Reply>
  void FailIfExhausted(const CallRef<Reply>& call) {
    if (call->ended || call->direct_pending || call->relay_pending) {
      return;
    }
    call->ended = true;
    Reply reply;
    reply.failure = call->may_have_taken_effect ? KeyedLogFailure::kNoAnswer
                                                : KeyedLogFailure::kRefused;
    call->callback(reply);
  }

  // Moves the peer that answered last to the front, so that it is tried first
  // next time.
  void MoveToFront(const InstanceId& peer) {
    const auto known = std::ranges::find(this->peers, peer, &Peer::instance);
    if (known != this->peers.end()) {
      std::rotate(this->peers.begin(), known, known + 1);
    }
  }

  void RecordDirectResult(KeyedLogFailure failure) {
    const bool failing = !IsConclusive(failure);
    if (std::exchange(this->direct_failing, failing) != failing) {
      Log(failing ? LogLevel::kWarning : LogLevel::kInfo,
          failing ? "dependency lost" : "dependency regained",
          {{"dependency", "store"},
           {"reason", std::string(NameOf(failure))},
           {"peers", std::to_string(this->peers.size())}});
    }
  }

  Task& task;
  LogStore& log;
  RelaySettings settings;
  RelayFunction relay;
  Counter& relayed_calls;
  /// Ordered by the last conclusive answer, most recent first.
  std::vector<Peer> peers;
  bool direct_failing = false;
  /// Calls of peers that are being executed, and reads that wait among them.
  std::size_t served_calls = 0;
  std::size_t served_waits = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_RELAYED_LOG_H_
