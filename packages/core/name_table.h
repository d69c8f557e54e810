#ifndef PACKAGES_CORE_NAME_TABLE_H_
#define PACKAGES_CORE_NAME_TABLE_H_

#include <array>
#include <concepts>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace carobrill {

/// Maps the values of an `enum class` to their names and back.
template <typename Enum, std::size_t kSize>
struct NameTable {
  std::array<std::pair<Enum, std::string_view>, kSize> entries;

  /// Returns the name of `value`, or "invalid" when it is not in the table.
  constexpr std::string_view NameOf(Enum value) const {
    for (const auto& [candidate, name] : this->entries) {
      if (candidate == value) {
        return name;
      }
    }
    return "invalid";
  }

  /// Returns the value with this name, if there is one.
  constexpr std::optional<Enum> Find(std::string_view name) const {
    for (const auto& [value, candidate] : this->entries) {
      if (candidate == name) {
        return value;
      }
    }
    return std::nullopt;
  }
};

/// Builds a name table: MakeNameTable<E>({{E::kOne, "one"}, ...}).
template <typename Enum, std::size_t kSize>
constexpr NameTable<Enum, kSize> MakeNameTable(
    const std::pair<Enum, std::string_view> (&entries)[kSize]) {
  NameTable<Enum, kSize> table{};
  for (std::size_t i = 0; i < kSize; ++i) {
    table.entries[i] = entries[i];
  }
  return table;
}

/// An enum with a function `NamesOf(Enum)`, found by argument-dependent lookup,
/// that returns its NameTable.
template <typename Enum>
concept NamedEnum = requires(Enum value, std::string_view name) {
  { NamesOf(value).NameOf(value) } -> std::same_as<std::string_view>;
  { NamesOf(value).Find(name) } -> std::same_as<std::optional<Enum>>;
};

template <NamedEnum Enum>
constexpr std::string_view NameOf(Enum value) {
  return NamesOf(value).NameOf(value);
}

/// Returns the value of type `Enum` with this name, if there is one.
template <NamedEnum Enum>
constexpr std::optional<Enum> FindByName(std::string_view name) {
  return NamesOf(Enum{}).Find(name);
}

}  // namespace carobrill

#endif  // PACKAGES_CORE_NAME_TABLE_H_
