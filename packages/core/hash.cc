#include "packages/core/hash.h"

namespace carobrill {
namespace {

constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
constexpr int kBitsPerByte = 8;

}  // namespace

void StableHash::Add(std::string_view text) {
  this->AddWord(text.size());
  for (char c : text) {
    this->AddByte(static_cast<std::uint8_t>(c));
  }
}

void StableHash::AddWord(std::uint64_t word) {
  for (int shift = 0; shift < 64; shift += kBitsPerByte) {
    this->AddByte(static_cast<std::uint8_t>(word >> shift));
  }
}

void StableHash::AddByte(std::uint8_t byte) {
  this->state = (this->state ^ byte) * kFnvPrime;
}

std::uint64_t HashOf(std::string_view text) {
  StableHash hash;
  hash.Add(text);
  return hash.Value();
}

}  // namespace carobrill
