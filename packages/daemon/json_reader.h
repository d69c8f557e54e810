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

/// Parses a request body, which must be a single JSON object without duplicate
/// names and with at most 8 nesting levels. Fails with kMalformedJson.
Answer<nlohmann::json> ParseStrictJson(std::string_view text);

/// Reads typed fields from a JSON object and keeps the first error. Without a
/// `fallback`, a field is required.
class JsonReader {
 public:
  explicit JsonReader(const nlohmann::json& object);

  /// Reads a string of `min` to `max` bytes.
  std::string String(const char* field,
                     std::size_t min,
                     std::size_t max,
                     std::optional<std::string> fallback);

  /// Reads a name (see IsValidName).
  std::string Name(const char* field, std::optional<std::string> fallback);

  /// Reads an integer from `min` to `max`.
  std::int64_t Integer(const char* field,
                       std::int64_t min,
                       std::int64_t max,
                       std::optional<std::int64_t> fallback);

  /// Reads an optional number from 0 to `max`, 0 by default, and returns it in
  /// thousandths.
  std::int64_t MilliUnits(const char* field, std::int64_t max);

  /// Reads a Boolean.
  bool Boolean(const char* field, std::optional<bool> fallback);

  /// Reads a value of `Enum` by its name.
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
    this->ReportInvalid(field, "must be one of " + names);
    return Enum{};
  }

  /// Returns the first error, if any. Reports fields that were not read as
  /// unknown.
  std::optional<Problem> Finish();

 private:
  const nlohmann::json* Find(const char* field, bool required);
  void ReportInvalid(const char* field, const std::string& message);

  const nlohmann::json& object;
  std::set<std::string, std::less<>> read_fields;
  std::optional<Problem> problem;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_JSON_READER_H_
