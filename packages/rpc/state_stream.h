#ifndef PACKAGES_RPC_STATE_STREAM_H_
#define PACKAGES_RPC_STATE_STREAM_H_

#include <functional>
#include <memory>

#include "packages/rpc/control.pb.h"

namespace carobrill::rpc {

/// The server's side of a FetchState call. Copies share the call; usable from
/// any thread. When the last copy goes before Finish, it ends as UNAVAILABLE.
class StateStream {
 public:
  /// Where the chunks go; implemented by the server and by tests.
  struct Sink {
    std::function<void(StateChunk)> write;
    /// Runs once; true when the stream is complete.
    std::function<void(bool)> finish;
  };

  explicit StateStream(Sink sink);

  /// Queues `chunk`; chunks are sent in order, each once the last one is out.
  void Write(StateChunk chunk) const;

  /// Ends the stream after the queued chunks.
  void Finish() const;

 private:
  struct Call;
  std::shared_ptr<Call> call;
};

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_STATE_STREAM_H_
