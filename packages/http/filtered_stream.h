#ifndef PACKAGES_HTTP_FILTERED_STREAM_H_
#define PACKAGES_HTTP_FILTERED_STREAM_H_

#include <gio/gio.h>

#include <cstddef>
#include <functional>

namespace carobrill::http {

/// Observes a stream. Called on the thread that uses it.
struct StreamObserver {
  /// Returns the number of bytes that may be read before the other sources of
  /// the event loop have their turn; 0 if the connection has been closed.
  std::function<std::size_t()> bytes_per_turn;
  /// Called after each read; with false, this read and all later ones fail.
  std::function<bool(std::size_t bytes)> on_read;
  /// Returns whether the connection, which has ended, has served requests and
  /// no other one has begun. Called at most once.
  std::function<bool()> ended_idle;
  /// Called once, when the stream is closed or released.
  std::function<void()> on_closed;
};

/// Returns a new stream that reads from and writes to `connection`, of which it
/// takes a reference.
GIOStream* NewFilteredStream(GIOStream* connection, StreamObserver observer);

}  // namespace carobrill::http

#endif  // PACKAGES_HTTP_FILTERED_STREAM_H_
