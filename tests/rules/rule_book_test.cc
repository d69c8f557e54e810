#include "packages/rules/rule_book.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <string>

#include "packages/records/replicated_component.h"
#include "packages/rules/rule_book.pb.h"

namespace carobrill::rules {
namespace {

using records::Verdict;

static_assert(records::ReplicatedComponent<RuleBook>);

records::Record Publication(std::uint64_t base, const std::string& text) {
  records::Record record;
  auto* published = record.mutable_rules_published();
  published->set_base_version(base);
  published->set_author("operator");
  published->set_text(text);
  return record;
}

std::string QuotaRule(const std::string& account, int quota) {
  return "account " + account + " quota=" + std::to_string(quota) +
         " # asked by: A\n";
}

// A publication must not silently undo a concurrent one, and after a conflict
// the operator must be able to see the changes of the other one.
TEST_CASE("holds.rules: the first of two concurrent publications wins") {
  RuleBook book;
  CHECK(book.Apply(Publication(0, QuotaRule("a", 1)), 5, Instant{50}) ==
        Verdict::kAccepted);
  CHECK(book.Apply(Publication(0, QuotaRule("a", 2)), 6, Instant{60}) ==
        Verdict::kVersionConflict);
  CHECK(book.Version() == 1);
  CHECK(book.Rules().accounts.at(AccountId("a")).quota == 1);
  CHECK(book.Apply(Publication(1, QuotaRule("a", 3) + QuotaRule("b", 1)), 7,
                   Instant{70}) == Verdict::kAccepted);
  const RuleDiff since_first = {
      {LineChange::kRemoved, "account a quota=1 # asked by: A"},
      {LineChange::kAdded, "account a quota=3 # asked by: A"},
      {LineChange::kAdded, "account b quota=1 # asked by: A"}};
  CHECK(book.DiffSince(1) == since_first);
  CHECK(book.DiffSince(2) == RuleDiff{});
  CHECK_FALSE(book.DiffSince(3).has_value());
  REQUIRE(book.History().size() == 2);
  CHECK(book.History()[1].author == "operator");
  CHECK(book.History()[1].appended_at == Instant{70});
  CHECK(book.History()[1].offset == 7);
}

// An invalid file must not come into force, and a check must not change the
// state.
TEST_CASE("holds.rules: an invalid publication changes nothing") {
  RuleBook book;
  const auto hash = book.Hash();
  CHECK(book.Apply(Publication(0, "account a\n"), 0, {}) ==
        Verdict::kInvalidRules);
  CHECK(book.Apply(records::Record{}, 1, {}) == Verdict::kIgnored);
  RuleSet parsed;
  CHECK(book.Check(Publication(0, QuotaRule("a", 4)).rules_published(),
                   &parsed) == Verdict::kAccepted);
  CHECK(parsed.accounts.at(AccountId("a")).quota == 4);
  CHECK(book.Version() == 0);
  CHECK(book.Hash() == hash);
}

// Different audit trails of two replicas must be detected.
TEST_CASE("holds.replicas_agree: the hash covers the audit trail") {
  RuleBook one;
  RuleBook other;
  one.Apply(Publication(0, QuotaRule("a", 1)), 5, Instant{50});
  other.Apply(Publication(0, QuotaRule("a", 1)), 6, Instant{50});
  CHECK(one.Hash() != other.Hash());
}

// The audit trail must not grow without bound, and a replica loaded from a
// snapshot must not diverge from the others.
TEST_CASE(
    "holds.replicas_agree: a long history is bounded and survives a snapshot") {
  RuleBook book;
  for (std::uint64_t i = 0; i < 2 * RuleBook::kMaxHistory; ++i) {
    REQUIRE(book.Apply(Publication(i, QuotaRule("a", static_cast<int>(i))), i,
                       Instant{1}) == Verdict::kAccepted);
  }
  CHECK(book.History().size() == RuleBook::kMaxHistory);
  CHECK_FALSE(book.DiffSince(1).has_value());
  CHECK(book.DiffSince(RuleBook::kMaxHistory).has_value());
  records::Snapshot snapshot;
  book.Save(snapshot);
  RuleBook copy;
  REQUIRE(copy.Load(snapshot));
  CHECK(copy.Hash() == book.Hash());
  CHECK(copy.Rules() == book.Rules());
  const auto next = Publication(book.Version(), QuotaRule("b", 1));
  book.Apply(next, 999, Instant{2});
  copy.Apply(next, 999, Instant{2});
  CHECK(copy.Hash() == book.Hash());
  SavedRuleBook invalid;
  invalid.set_text("account\n");
  for (const std::string& section :
       {std::string("\xff"), invalid.SerializeAsString()}) {
    snapshot.set_rules(section);
    CHECK_FALSE(copy.Load(snapshot));
  }
  CHECK(copy.Hash() == book.Hash());
}

// Publications of large files must not make the audit trail fill the memory and
// the snapshots.
TEST_CASE("holds.rules: the audit trail is bounded in bytes") {
  RuleBook book;
  for (std::uint64_t i = 0; i < 15; ++i) {
    std::string text;
    for (int line = 0; line < 100; ++line) {
      text += "account a" + std::to_string(line) +
              " quota=" + std::to_string(i) +
              " # asked by: " + std::string(900, 'A') + "\n";
    }
    REQUIRE(book.Apply(Publication(i, text), i, Instant{1}) ==
            Verdict::kAccepted);
  }
  CHECK(book.History().size() <= 6);
  CHECK(book.History().back().version == 15);
}

// A corrupt snapshot must not crash a replica, leave a partially loaded state,
// or load differently on two replicas.
TEST_CASE(
    "holds.replicas_agree: a corrupt section loads identically or is refused") {
  RuleBook book;
  for (std::uint64_t i = 0; i < 5; ++i) {
    book.Apply(Publication(i, QuotaRule("a", static_cast<int>(i))), i,
               Instant{1});
  }
  records::Snapshot good;
  book.Save(good);
  int refused = 0;
  const bool passed =
      rc::check([&](std::uint32_t at, const std::string& noise) {
        records::Snapshot damaged = good;
        std::string& section = *damaged.mutable_rules();
        section.replace(at % section.size(), noise.size(), noise);
        RuleBook one = book;
        RuleBook other;
        const bool loaded = one.Load(damaged);
        RC_ASSERT(other.Load(damaged) == loaded);
        RC_ASSERT(one.Hash() == (loaded ? other.Hash() : book.Hash()));
        RC_ASSERT(one.Rules() == (loaded ? other.Rules() : book.Rules()));
        refused += loaded ? 0 : 1;
      });
  CHECK(passed);
  CHECK(refused > 0);
}

std::multiset<std::string> ApplyDiff(const std::string& text,
                                     const RuleDiff& diff) {
  const auto lines = RuleLines(text);
  std::multiset<std::string> patched(lines.begin(), lines.end());
  for (const auto& line : diff) {
    if (line.change == LineChange::kRemoved) {
      RC_ASSERT(patched.contains(line.text));
      patched.erase(patched.find(line.text));
    }
  }
  for (const auto& line : diff) {
    if (line.change == LineChange::kAdded) {
      patched.insert(line.text);
    }
  }
  return patched;
}

// Applying a chain of diffs, or their composition, must lead to the new rules.
TEST_CASE("holds.rules: diffs and their composition lead to the new text") {
  const bool passed =
      rc::check([](const std::vector<std::vector<bool>>& files) {
        std::vector<std::string> texts{""};
        RuleDiff composed;
        for (const auto& lines : files) {
          std::string text = "# comment\n";
          for (std::size_t i = 0; i < lines.size(); ++i) {
            text += lines[i] ? QuotaRule("a" + std::to_string(i % 4), 1) : "\n";
          }
          const RuleDiff diff = Diff(texts.back(), text);
          RC_ASSERT(ApplyDiff(texts.back(), diff) == ApplyDiff(text, {}));
          composed = Compose(composed, diff);
          texts.push_back(text);
        }
        RC_ASSERT(ApplyDiff("", composed) == ApplyDiff(texts.back(), {}));
      });
  CHECK(passed);
  CHECK(Diff("a # x\n\n b  # y", "b # y\na\t# x").empty());
}

}  // namespace
}  // namespace carobrill::rules
