#ifndef PACKAGES_RULES_RULE_DIFF_H_
#define PACKAGES_RULES_RULE_DIFF_H_

#include <string>
#include <string_view>
#include <vector>

#include "packages/core/name_table.h"

namespace carobrill::rules {

/// What happened to a rule line.
enum class LineChange { kRemoved, kAdded };

constexpr auto NamesOf(LineChange) {
  return MakeNameTable<LineChange>(
      {{LineChange::kRemoved, "removed"}, {LineChange::kAdded, "added"}});
}

/// A rule line, with its comment and single spaces, that was removed or added.
struct DiffLine {
  LineChange change = LineChange::kAdded;
  std::string text;

  bool operator==(const DiffLine&) const = default;
};

/// Removed and then added lines.
using RuleDiff = std::vector<DiffLine>;

/// The rule lines of a file: without blank lines and lines of comment only, and
/// with runs of white space reduced to one space.
std::vector<std::string> RuleLines(std::string_view text);

/// The rule lines in which `old_text` and `new_text` differ, each side in the
/// order of its file. A line that only moves is no difference.
RuleDiff Diff(std::string_view old_text, std::string_view new_text);

/// The diff that equals applying `first` and then `second`.
RuleDiff Compose(const RuleDiff& first, const RuleDiff& second);

}  // namespace carobrill::rules

#endif  // PACKAGES_RULES_RULE_DIFF_H_
