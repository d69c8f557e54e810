#include "packages/rpc/http2_frames.h"

namespace carobrill::rpc {

FrameHeader FrameReader::Decode() const {
  const auto number = [this](std::size_t start, std::size_t count) {
    std::uint32_t value = 0;
    for (std::size_t i = start; i < start + count; ++i) {
      value = (value << 8U) | static_cast<std::uint8_t>(this->header[i]);
    }
    return value;
  };
  // The first bit of the stream number is reserved.
  constexpr std::uint32_t kStreamMask = 0x7fffffff;
  FrameHeader frame;
  frame.size = number(0, 3);
  frame.type = static_cast<FrameType>(number(3, 1));
  frame.flags = static_cast<std::uint8_t>(number(4, 1));
  frame.stream = number(5, 4) & kStreamMask;
  return frame;
}

}  // namespace carobrill::rpc
