#include "packages/rules/rule_book.h"

#include <cassert>
#include <utility>

#include "packages/core/hash.h"
#include "packages/rules/rule_book.pb.h"
#include "packages/rules/rule_parser.h"

namespace carobrill::rules {
namespace {

using records::Verdict;

std::size_t HistoryBytes(const RuleVersion& version) {
  std::size_t bytes = version.author.size();
  for (const auto& line : version.diff) {
    bytes += line.text.size();
  }
  return bytes;
}

void SaveVersion(const RuleVersion& version, SavedVersion& saved) {
  saved.set_version(version.version);
  saved.set_base_version(version.base_version);
  saved.set_author(version.author);
  saved.set_appended_at_ms(version.appended_at.ms);
  saved.set_offset(version.offset);
  for (const auto& line : version.diff) {
    SavedLine* saved_line = saved.add_diff();
    saved_line->set_added(line.change == LineChange::kAdded);
    saved_line->set_text(line.text);
  }
}

RuleVersion LoadVersion(const SavedVersion& saved) {
  RuleVersion version{saved.version(), saved.base_version(),
                      saved.author(),  Instant{saved.appended_at_ms()},
                      saved.offset(),  {}};
  for (const auto& line : saved.diff()) {
    version.diff.push_back(
        {line.added() ? LineChange::kAdded : LineChange::kRemoved,
         line.text()});
  }
  return version;
}

void HashVersion(const RuleVersion& version, StableHash& hash) {
  hash.Add(version.version);
  hash.Add(version.base_version);
  hash.Add(version.author);
  hash.Add(version.appended_at.ms);
  hash.Add(version.offset);
  hash.Add(version.diff.size());
  for (const auto& line : version.diff) {
    hash.Add(NameOf(line.change));
    hash.Add(line.text);
  }
}

}  // namespace

Verdict RuleBook::Check(const records::RulesPublished& published,
                        RuleSet* parsed) const {
  if (published.base_version() != this->version) {
    return Verdict::kVersionConflict;
  }
  ParsedRules result = ParseRules(published.text());
  if (!result.Ok()) {
    return Verdict::kInvalidRules;
  }
  if (parsed != nullptr) {
    *parsed = std::move(result.rules);
  }
  return Verdict::kAccepted;
}

void RuleBook::Publish(const records::RulesPublished& published,
                       RuleSet parsed,
                       Offset offset,
                       Instant appended_at) {
  assert(published.base_version() == this->version);
  RuleVersion entry{this->version + 1,
                    published.base_version(),
                    published.author(),
                    appended_at,
                    offset,
                    Diff(this->text, published.text())};
  this->version = entry.version;
  this->author = published.author();
  this->text = published.text();
  this->rules = std::move(parsed);
  this->history_bytes += HistoryBytes(entry);
  this->history.push_back(std::move(entry));
  this->TrimHistory();
}

Verdict RuleBook::Apply(const records::Record& record,
                        Offset offset,
                        Instant appended_at) {
  if (!record.has_rules_published()) {
    return Verdict::kIgnored;
  }
  RuleSet parsed;
  const Verdict verdict = this->Check(record.rules_published(), &parsed);
  if (verdict == Verdict::kAccepted) {
    this->Publish(record.rules_published(), std::move(parsed), offset,
                  appended_at);
  }
  return verdict;
}

void RuleBook::Save(records::Snapshot& out) const {
  SavedRuleBook saved;
  saved.set_version(this->version);
  saved.set_author(this->author);
  saved.set_text(this->text);
  for (const auto& entry : this->history) {
    SaveVersion(entry, *saved.add_history());
  }
  out.set_rules(saved.SerializeAsString());
}

bool RuleBook::Load(const records::Snapshot& in) {
  SavedRuleBook saved;
  if (!saved.ParseFromString(in.rules())) {
    return false;
  }
  ParsedRules parsed = ParseRules(saved.text());
  if (!parsed.Ok()) {
    return false;
  }
  RuleBook loaded;
  loaded.version = saved.version();
  loaded.author = saved.author();
  loaded.text = saved.text();
  loaded.rules = std::move(parsed.rules);
  for (const auto& entry : saved.history()) {
    loaded.history.push_back(LoadVersion(entry));
    loaded.history_bytes += HistoryBytes(loaded.history.back());
  }
  *this = std::move(loaded);
  return true;
}

// The parsed rules are derived from the text, so they are not hashed.
std::uint64_t RuleBook::Hash() const {
  StableHash hash;
  hash.Add(this->version);
  hash.Add(this->author);
  hash.Add(this->text);
  hash.Add(this->history.size());
  for (const auto& entry : this->history) {
    HashVersion(entry, hash);
  }
  return hash.Value();
}

std::optional<RuleDiff> RuleBook::DiffSince(std::uint64_t base_version) const {
  const std::uint64_t oldest_base =
      this->history.empty() ? this->version : this->history.front().version - 1;
  if (base_version < oldest_base || base_version > this->version) {
    return std::nullopt;
  }
  RuleDiff diff;
  for (const auto& entry : this->history) {
    if (entry.version > base_version) {
      diff = Compose(diff, entry.diff);
    }
  }
  return diff;
}

// The version in force is always kept, regardless of its size.
void RuleBook::TrimHistory() {
  while (this->history.size() > 1 && (this->history.size() > kMaxHistory ||
                                      this->history_bytes > kMaxHistoryBytes)) {
    this->history_bytes -= HistoryBytes(this->history.front());
    this->history.pop_front();
  }
}

}  // namespace carobrill::rules
