#ifndef PACKAGES_RULES_RULE_BOOK_H_
#define PACKAGES_RULES_RULE_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "packages/core/ids.h"
#include "packages/core/time.h"
#include "packages/records/records.pb.h"
#include "packages/records/verdict.h"
#include "packages/rules/rule_diff.h"
#include "packages/rules/rule_set.h"

namespace carobrill::rules {

/// One accepted publication, kept for the audit trail.
struct RuleVersion {
  std::uint64_t version = 0;
  std::uint64_t base_version = 0;
  std::string author;
  Instant appended_at;
  Offset offset = 0;
  RuleDiff diff;
};

/// The rules in force and their history; a component of the replicated state
/// (records::ReplicatedComponent). Version 0 is the empty file.
class RuleBook {
 public:
  /// Limits of the audit trail; the oldest versions are dropped first.
  static constexpr std::size_t kMaxHistory = 256;
  static constexpr std::size_t kMaxHistoryBytes = 1024 * 1024;

  /// Validates a publication without applying it. Returns kAccepted,
  /// kVersionConflict or kInvalidRules. On kAccepted, stores the rules in
  /// `parsed` unless it is null.
  records::Verdict Check(const records::RulesPublished& published,
                         RuleSet* parsed) const;

  /// Applies a publication that `Check` accepted; `parsed` are its rules.
  void Publish(const records::RulesPublished& published,
               RuleSet parsed,
               Offset offset,
               Instant appended_at);

  /// Checks and applies a publication; kIgnored for other records.
  records::Verdict Apply(const records::Record& record,
                         Offset offset,
                         Instant appended_at);

  /// Writes the `rules` section of a snapshot.
  void Save(records::Snapshot& out) const;

  /// Replaces the state with that of a snapshot. Returns false and changes
  /// nothing when the section is malformed.
  bool Load(const records::Snapshot& in);

  /// Hash of the state, including the history.
  std::uint64_t Hash() const;

  std::uint64_t Version() const { return this->version; }
  const std::string& Author() const { return this->author; }
  const std::string& Text() const { return this->text; }
  const RuleSet& Rules() const { return this->rules; }

  /// Accepted publications, oldest first.
  const std::deque<RuleVersion>& History() const { return this->history; }

  /// Diff from `base_version` to the version in force. No value when the
  /// version does not exist or is older than the audit trail.
  std::optional<RuleDiff> DiffSince(std::uint64_t base_version) const;

 private:
  void TrimHistory();

  std::uint64_t version = 0;
  std::string author;
  std::string text;
  RuleSet rules;
  std::deque<RuleVersion> history;
  std::size_t history_bytes = 0;
};

}  // namespace carobrill::rules

#endif  // PACKAGES_RULES_RULE_BOOK_H_
