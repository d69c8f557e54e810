#include "packages/rules/rule_diff.h"

#include <algorithm>
#include <map>
#include <utility>

namespace carobrill::rules {
namespace {

std::string CollapseWhitespace(std::string_view line) {
  std::string reduced;
  bool pending_space = false;
  for (const char c : line) {
    if (c == ' ' || c == '\t' || c == '\r') {
      pending_space = !reduced.empty();
      continue;
    }
    if (pending_space) {
      reduced += ' ';
    }
    pending_space = false;
    reduced += c;
  }
  return reduced;
}

std::map<std::string, int> CountLines(const std::vector<std::string>& lines) {
  std::map<std::string, int> counts;
  for (const auto& line : lines) {
    ++counts[line];
  }
  return counts;
}

// Appends the lines without a match in `counts`. Each match uses up one count.
void AppendUnmatched(const std::vector<std::string>& lines,
                     std::map<std::string, int> counts,
                     LineChange change,
                     RuleDiff& diff) {
  for (const auto& line : lines) {
    const auto found = counts.find(line);
    if (found != counts.end() && found->second > 0) {
      --found->second;
    } else {
      diff.push_back({change, line});
    }
  }
}

RuleDiff DiffLines(const std::vector<std::string>& old_lines,
                   const std::vector<std::string>& new_lines) {
  RuleDiff diff;
  AppendUnmatched(old_lines, CountLines(new_lines), LineChange::kRemoved, diff);
  AppendUnmatched(new_lines, CountLines(old_lines), LineChange::kAdded, diff);
  return diff;
}

}  // namespace

std::vector<std::string> RuleLines(std::string_view text) {
  std::vector<std::string> lines;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const auto end = std::min(text.find('\n', begin), text.size());
    std::string line = CollapseWhitespace(text.substr(begin, end - begin));
    if (!line.empty() && line.front() != '#') {
      lines.push_back(std::move(line));
    }
    begin = end + 1;
  }
  return lines;
}

// The order of rules has no meaning, so comparing the multisets of lines is
// enough. It takes linear space, and the resulting diffs can be composed.
RuleDiff Diff(std::string_view old_text, std::string_view new_text) {
  return DiffLines(RuleLines(old_text), RuleLines(new_text));
}

RuleDiff Compose(const RuleDiff& first, const RuleDiff& second) {
  std::vector<std::string> removed;
  std::vector<std::string> added;
  for (const auto* diff : {&first, &second}) {
    for (const auto& line : *diff) {
      (line.change == LineChange::kRemoved ? removed : added)
          .push_back(line.text);
    }
  }
  return DiffLines(removed, added);
}

}  // namespace carobrill::rules
