#include "packages/rpc/state_stream.h"

#include <atomic>
#include <utility>

namespace carobrill::rpc {

struct StateStream::Call {
  explicit Call(Sink sink) : sink(std::move(sink)) {}
  ~Call() { this->End(false); }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void End(bool complete) {
    if (!this->ended.exchange(true)) {
      this->sink.finish(complete);
    }
  }

  Sink sink;
  std::atomic<bool> ended = false;
};

StateStream::StateStream(Sink sink)
    : call(std::make_shared<Call>(std::move(sink))) {}

void StateStream::Write(StateChunk chunk) const {
  if (!this->call->ended) {
    this->call->sink.write(std::move(chunk));
  }
}

void StateStream::Finish() const {
  this->call->End(true);
}

}  // namespace carobrill::rpc
