#ifndef PACKAGES_RULES_RULE_DIFF_H_
#define PACKAGES_RULES_RULE_DIFF_H_

#include <string>
#include <string_view>
#include <vector>

#include "packages/core/name_table.h"

namespace carobrill::rules {

/// Kind of change to a rule line.
enum class LineChange { kRemoved, kAdded };

constexpr auto NamesOf(LineChange) {
  return MakeNameTable<LineChange>(
      {{LineChange::kRemoved, "removed"}, {LineChange::kAdded, "added"}});
}

/// A rule line that was removed or added, with its comment and with whitespace
/// collapsed.
struct DiffLine {
  LineChange change = LineChange::kAdded;
  std::string text;

  bool operator==(const DiffLine&) const = default;
};

/// Removed lines, followed by added lines.
using RuleDiff = std::vector<DiffLine>;

/// Returns the rule lines of a file, without blank and comment-only lines and
/// with each run of whitespace collapsed to one space.
std::vector<std::string> RuleLines(std::string_view text);

/// Returns the rule lines that differ between `old_text` and `new_text`, each
/// side in the order of its file. A line that only moves is not a difference.
RuleDiff Diff(std::string_view old_text, std::string_view new_text);

/// Returns the diff that is equivalent to `first` followed by `second`.
RuleDiff Compose(const RuleDiff& first, const RuleDiff& second);

}  // namespace carobrill::rules

#endif  // PACKAGES_RULES_RULE_DIFF_H_
