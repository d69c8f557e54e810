#ifndef PACKAGES_RULES_RULE_PARSER_H_
#define PACKAGES_RULES_RULE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "packages/core/name_table.h"
#include "packages/rules/rule_set.h"

namespace carobrill::rules {

/// Kind of error in a rule file.
enum class RuleErrorKind {
  kMissingAskedBy,
  kUnknownKeyword,
  kUnknownKey,
  kMissingName,
  kInvalidName,
  kMissingKey,
  kMissingValue,
  kDuplicateKey,
  kDuplicateRule,
  kConflictingKeys,
  kNotANumber,
  kOutOfRange,
  kNotAPowerOfTwo,
  kMalformedCells,
  kUnknownLevel,
  kQuotaBelowGuarantee,
  kInvalidCharacter,
  kLineTooLong,
  kFileTooLarge,
};

constexpr auto NamesOf(RuleErrorKind) {
  return MakeNameTable<RuleErrorKind>({
      {RuleErrorKind::kMissingAskedBy, "missing_asked_by"},
      {RuleErrorKind::kUnknownKeyword, "unknown_keyword"},
      {RuleErrorKind::kUnknownKey, "unknown_key"},
      {RuleErrorKind::kMissingName, "missing_name"},
      {RuleErrorKind::kInvalidName, "invalid_name"},
      {RuleErrorKind::kMissingKey, "missing_key"},
      {RuleErrorKind::kMissingValue, "missing_value"},
      {RuleErrorKind::kDuplicateKey, "duplicate_key"},
      {RuleErrorKind::kDuplicateRule, "duplicate_rule"},
      {RuleErrorKind::kConflictingKeys, "conflicting_keys"},
      {RuleErrorKind::kNotANumber, "not_a_number"},
      {RuleErrorKind::kOutOfRange, "out_of_range"},
      {RuleErrorKind::kNotAPowerOfTwo, "not_a_power_of_two"},
      {RuleErrorKind::kMalformedCells, "malformed_cells"},
      {RuleErrorKind::kUnknownLevel, "unknown_level"},
      {RuleErrorKind::kQuotaBelowGuarantee, "quota_below_guarantee"},
      {RuleErrorKind::kInvalidCharacter, "invalid_character"},
      {RuleErrorKind::kLineTooLong, "line_too_long"},
      {RuleErrorKind::kFileTooLarge, "file_too_large"},
  });
}

/// One error in a rule file. Lines and columns start at 1; columns are in
/// bytes.
struct RuleError {
  RuleErrorKind kind = RuleErrorKind::kUnknownKeyword;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
  /// The token concerned; may be empty when something is missing.
  std::string word;

  bool operator==(const RuleError&) const = default;
};

/// Result of parsing a rule file. `rules` is valid only without errors.
struct ParsedRules {
  RuleSet rules;
  std::vector<RuleError> errors;

  bool Ok() const { return this->errors.empty(); }
};

/// Largest rule file in bytes. A file must fit into one log record.
inline constexpr std::size_t kMaxRuleFileBytes = 256 * 1024;
inline constexpr std::size_t kMaxRuleLineBytes = 1024;

/// Parses a rule file and reports all errors, ordered by line and column.
ParsedRules ParseRules(std::string_view text);

}  // namespace carobrill::rules

#endif  // PACKAGES_RULES_RULE_PARSER_H_
