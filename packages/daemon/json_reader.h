#ifndef PACKAGES_DAEMON_JSON_READER_H_
#define PACKAGES_DAEMON_JSON_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "packages/core/name_table.h"
#include "packages/daemon/api_types.h"

namespace carobrill::daemon {

/// Parses the body of a request: one JSON object without repeated names and
/// with at most 8 levels. Fails with kMalformedJson.
Answer<nlohmann::json> ParseStrictJson(std::string_view text);

/// Reads the fields of a JSON object one by one and keeps the first problem.
class JsonReader {
 public:
  explicit JsonReader(const nlohmann::json& object);

  /// Reads a string of `min` to `max` bytes.
  std::string Text(const char* field,
                   std::size_t min,
                   std::size_t max,
                   std::optional<std::string> fallback);

  /// Reads a name (see IsValidName).
  std::string Name(const char* field, std::optional<std::string> fallback);

  /// Reads an integer within `min` and `max`.
  std::int64_t Integer(const char* field,
                       std::int64_t min,
                       std::int64_t max,
                       std::optional<std::int64_t> fallback);

  /// Reads a number within 0 and `max` and returns it in thousandths.
  std::int64_t Thousandths(const char* field, std::int64_t max);

  /// Reads true or false.
  bool Boolean(const char* field, std::optional<bool> fallback);

  /// Reads the name of a value of `Enum`.
  template <NamedEnum Enum>
  Enum Value(const char* field, std::optional<Enum> fallback) {
    const nlohmann::json* value =
        this->Find(field, /*required=*/!fallback.has_value());
    if (value == nullptr) {
      return fallback.value_or(Enum{});
    }
    if (value->is_string()) {
      const auto found = FindByName<Enum>(value->get_ref<const std::string&>());
      if (found.has_value()) {
        return *found;
      }
    }
    std::string names;
    for (const auto& entry : NamesOf(Enum{}).entries) {
      names += (names.empty() ? "" : ", ") + std::string(entry.second);
    }
    this->Refuse(field, "must be one of " + names);
    return Enum{};
  }

  /// The first problem; a field that was not read counts as unknown.
  std::optional<Problem> Finish();

 private:
  const nlohmann::json* Find(const char* field, bool required);
  void Refuse(const char* field, const std::string& what);

  const nlohmann::json& object;
  std::set<std::string, std::less<>> known;
  std::optional<Problem> problem;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_JSON_READER_H_
