#ifndef PACKAGES_CORE_HASH_H_
#define PACKAGES_CORE_HASH_H_

#include <concepts>
#include <cstdint>
#include <string_view>

namespace carobrill {

/// A 64-bit FNV-1a hash that gives the same value on every replica and in every
/// build.
class StableHash {
 public:
  /// Adds a string and its length, so that different splits of the same
  /// characters give different hashes.
  void Add(std::string_view text);

  template <std::integral T>
  void Add(T value) {
    this->AddWord(static_cast<std::uint64_t>(value));
  }

  /// Returns the hash of all values added so far.
  std::uint64_t Value() const { return this->state; }

 private:
  void AddWord(std::uint64_t word);
  void AddByte(std::uint8_t byte);

  std::uint64_t state = 0xcbf29ce484222325ULL;
};

/// Returns the stable hash of one string.
std::uint64_t HashOf(std::string_view text);

}  // namespace carobrill

#endif  // PACKAGES_CORE_HASH_H_
