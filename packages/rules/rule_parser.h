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

/// What is wrong with a part of a rule file.
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

/// One fault of a rule file. Line and column count from 1, the column in bytes.
struct RuleError {
  RuleErrorKind kind = RuleErrorKind::kUnknownKeyword;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
  /// The word concerned; empty when something is missing.
  std::string word;

  bool operator==(const RuleError&) const = default;
};

/// What was read from a rule file. `rules` counts only without errors.
struct ParsedRules {
  RuleSet rules;
  std::vector<RuleError> errors;

  bool Ok() const { return this->errors.empty(); }
};

/// Largest rule file. It must fit into one record of the log.
inline constexpr std::size_t kMaxRuleFileBytes = 256 * 1024;
inline constexpr std::size_t kMaxRuleLineBytes = 1024;

/// Parses a rule file and finds all its faults, in the order of lines.
ParsedRules ParseRules(std::string_view text);

}  // namespace carobrill::rules

#endif  // PACKAGES_RULES_RULE_PARSER_H_
