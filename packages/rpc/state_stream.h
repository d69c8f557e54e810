#ifndef PACKAGES_RPC_STATE_STREAM_H_
#define PACKAGES_RPC_STATE_STREAM_H_

#include <functional>
#include <memory>

#include "packages/rpc/control.pb.h"

namespace carobrill::rpc {

/// Server side of a FetchState call. Copies refer to the same call;
/// thread-safe. If the last copy is destroyed before Finish, the call fails
/// with UNAVAILABLE.
class StateStream {
 public:
  /// Receives the chunks; implemented by the server and by tests.
  struct Sink {
    std::function<void(StateChunk)> write;
    /// Called once; the argument is true when the stream is complete.
    std::function<void(bool)> finish;
  };

  explicit StateStream(Sink sink);

  /// Queues `chunk`. Chunks are sent in order, one at a time.
  void Write(StateChunk chunk) const;

  /// Ends the stream after the queued chunks.
  void Finish() const;

 private:
  struct Call;
  std::shared_ptr<Call> call;
};

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_STATE_STREAM_H_
