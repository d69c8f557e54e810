#include "packages/core/digest.h"

#include <array>
#include <cstdint>

#include "packages/core/hash.h"

namespace carobrill {

std::string DigestOf(std::string_view text) {
  constexpr std::array<char, 16> kDigits = {'0', '1', '2', '3', '4', '5',
                                            '6', '7', '8', '9', 'a', 'b',
                                            'c', 'd', 'e', 'f'};
  constexpr int kBits = 64;
  constexpr int kBitsPerDigit = 4;
  const std::uint64_t hash = HashOf(text);
  std::string digits;
  for (int shift = kBits - kBitsPerDigit; shift >= 0; shift -= kBitsPerDigit) {
    digits.push_back(kDigits.at((hash >> shift) & 0xfU));
  }
  return digits;
}

}  // namespace carobrill
