#ifndef PACKAGES_RPC_HTTP2_FRAMES_H_
#define PACKAGES_RPC_HTTP2_FRAMES_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace carobrill::rpc {

/// Bytes that a client sends first (RFC 9113, section 3.4).
inline constexpr std::string_view kHttp2Preface =
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Type of a frame (RFC 9113, section 6); other types exist.
enum class FrameType : std::uint8_t {
  kData = 0,
  kHeaders = 1,
  kReset = 3,
  kSettings = 4,
  kPing = 6,
  kContinuation = 9,
};

/// Header of a frame.
struct FrameHeader {
  static constexpr std::uint8_t kEndStream = 1;
  static constexpr std::uint8_t kEndHeaders = 4;

  /// Size of the payload, in bytes.
  std::size_t size = 0;
  FrameType type = FrameType::kData;
  std::uint8_t flags = 0;
  std::uint32_t stream = 0;

  bool EndsStream() const {
    return (this->type == FrameType::kData ||
            this->type == FrameType::kHeaders) &&
           (this->flags & kEndStream) != 0;
  }

  bool EndsHeaders() const { return (this->flags & kEndHeaders) != 0; }
};

/// Finds the headers of the frames in one direction of a connection, after the
/// preface. Payloads are not kept.
class FrameReader {
 public:
  /// Reads the next part of the direction, and calls `on_frame` with each
  /// header that is complete until it returns false. Returns whether all of
  /// `bytes` was read.
  template <typename OnFrame>
  bool Read(std::string_view bytes, OnFrame on_frame) {
    while (!bytes.empty()) {
      const std::size_t skipped = std::min(this->payload_left, bytes.size());
      this->payload_left -= skipped;
      bytes.remove_prefix(skipped);
      const std::size_t copied =
          std::min(this->header.size() - this->header_size, bytes.size());
      std::copy_n(bytes.begin(), copied,
                  this->header.begin() + this->header_size);
      this->header_size += copied;
      bytes.remove_prefix(copied);
      if (this->header_size == this->header.size()) {
        this->header_size = 0;
        const FrameHeader frame = this->Decode();
        this->payload_left = frame.size;
        if (!on_frame(frame)) {
          return false;
        }
      }
    }
    return true;
  }

 private:
  static constexpr std::size_t kHeaderBytes = 9;

  FrameHeader Decode() const;

  std::array<char, kHeaderBytes> header{};
  std::size_t header_size = 0;
  std::size_t payload_left = 0;
};

}  // namespace carobrill::rpc

#endif  // PACKAGES_RPC_HTTP2_FRAMES_H_
