#ifndef PACKAGES_CORE_HASH_H_
#define PACKAGES_CORE_HASH_H_

#include <concepts>
#include <cstdint>
#include <string_view>

namespace carobrill {

/// A 64-bit FNV-1a hash that is the same on every replica and in every build.
class StableHash {
 public:
  /// Adds a text, with its length so that parts cannot run together.
  void Add(std::string_view text);

  /// Adds a number.
  template <std::integral T>
  void Add(T value) {
    this->AddWord(static_cast<std::uint64_t>(value));
  }

  /// The hash of all that was added.
  std::uint64_t Value() const { return this->state; }

 private:
  void AddWord(std::uint64_t word);
  void AddByte(std::uint8_t byte);

  std::uint64_t state = 0xcbf29ce484222325ULL;
};

/// The stable hash of one text.
std::uint64_t HashOf(std::string_view text);

}  // namespace carobrill

#endif  // PACKAGES_CORE_HASH_H_
