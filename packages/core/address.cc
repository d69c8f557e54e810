#include "packages/core/address.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace carobrill {

bool IsPort(std::string_view text) {
  std::uint16_t port = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, port);
  return result.ec == std::errc() && result.ptr == end && port != 0;
}

bool IsHostAndPort(std::string_view text) {
  const auto colon = text.rfind(':');
  return colon != std::string_view::npos &&
         IsVisibleAscii(text.substr(0, colon)) &&
         IsPort(text.substr(colon + 1));
}

bool IsVisibleAscii(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](char c) {
    return c > ' ' && c < '\x7f';
  });
}

}  // namespace carobrill
