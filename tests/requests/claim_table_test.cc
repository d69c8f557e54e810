#include "packages/requests/claim_table.h"

#include <doctest/doctest.h>

#include <string>

#include "packages/records/replicated_component.h"

namespace carobrill::requests {
namespace {

using records::Verdict;

static_assert(records::ReplicatedComponent<ClaimTable>);

ClaimTable MakeTable(const ClaimTableSettings& settings = {}) {
  return ClaimTable::Create(std::string(CAROBRILL_SOURCE_DIRECTORY) + "/charts",
                            settings)
      .value();
}

records::Record Claimed(const std::string& account,
                        const std::string& key,
                        const std::string& digest = "d") {
  records::Record record;
  records::RequestClaimed& claimed = *record.mutable_request_claimed();
  claimed.set_account(account);
  claimed.set_key(key);
  claimed.set_service("s");
  claimed.set_payload_digest(digest);
  claimed.set_entry("e");
  claimed.set_agent("x");
  return record;
}

records::Record Settled(const std::string& key,
                        Offset offset,
                        records::ClaimOutcome outcome,
                        const std::string& answer = "") {
  records::Record record;
  records::ClaimSettled& settled = *record.mutable_claim_settled();
  settled.set_account("a");
  settled.set_key(key);
  settled.set_claim_offset(offset);
  settled.set_outcome(outcome);
  settled.set_answer(answer);
  return record;
}

// Guards against two owners of one key and against settled outcomes that
// change.
TEST_CASE("holds.at_most_once: the first claim of a key wins") {
  ClaimTable table = MakeTable();
  const Instant at{1};
  CHECK(table.Apply(Claimed("a", "k"), 1, at) == Verdict::kAccepted);
  CHECK(table.Apply(Claimed("a", "k"), 2, at) == Verdict::kDuplicate);
  CHECK(table.Apply(Claimed("a", "k", "other"), 3, at) == Verdict::kKeyReused);
  CHECK(table.Apply(Claimed("b", "k"), 4, at) == Verdict::kAccepted);
  CHECK(table.Apply(Settled("k", 2, records::CLAIM_OUTCOME_NOT_RUN), 5, at) ==
        Verdict::kStaleAttempt);
  CHECK(table.Apply(Settled("z", 1, records::CLAIM_OUTCOME_NOT_RUN), 6, at) ==
        Verdict::kUnknownClaim);
  CHECK(table.Apply(Settled("k", 1, records::CLAIM_OUTCOME_NOT_RUN), 7, at) ==
        Verdict::kAccepted);
  CHECK(table.Apply(Claimed("a", "k"), 8, at) == Verdict::kAccepted);
  CHECK(table.Apply(Settled("k", 8, records::CLAIM_OUTCOME_UNKNOWN), 9, at) ==
        Verdict::kAccepted);
  CHECK(table.Apply(Claimed("a", "k"), 10, at) == Verdict::kDuplicate);
  CHECK(table.Apply(Settled("k", 8, records::CLAIM_OUTCOME_COMPLETED, "r"), 11,
                    at) == Verdict::kAccepted);
  CHECK(table.Apply(Settled("k", 8, records::CLAIM_OUTCOME_NOT_RUN), 12, at) ==
        Verdict::kWrongState);
  CHECK(table.Find({AccountId("a"), "k"})->answer == "r");
}

// Guards against removing claims that may still run, and against using a clock
// other than the log's, which would make replicas diverge.
TEST_CASE("claims leave after their retention in log time") {
  ClaimTable table = MakeTable();
  const ClaimTableSettings settings;
  table.Apply(Claimed("a", "done"), 1, Instant{0});
  table.Apply(Settled("done", 1, records::CLAIM_OUTCOME_COMPLETED), 2,
              Instant{0});
  table.Apply(Claimed("a", "open"), 3, Instant{0});
  records::Record other;
  other.mutable_job_cancelled();
  CHECK(table.Apply(other, 4, Instant{settings.settled_retention_ms}) ==
        Verdict::kIgnored);
  CHECK(table.Find({AccountId("a"), "done"}) == nullptr);
  CHECK(table.Find({AccountId("a"), "open"}) != nullptr);
  // An append time that goes backwards neither restores nor shortens a claim.
  table.Apply(Claimed("a", "late"), 5, Instant{0});
  CHECK(table.Find({AccountId("a"), "late"})->expires_at ==
        Instant{settings.settled_retention_ms + settings.open_retention_ms});
  table.Apply(other, 6, Instant{settings.open_retention_ms});
  CHECK(table.OpenClaims().size() == 1);
}

// Guards against one account filling the memory with claims, and against a full
// table losing outcomes.
TEST_CASE("the memory of claims is bounded") {
  ClaimTableSettings settings;
  settings.memory_limit_bytes = 100'000;
  ClaimTable table = MakeTable(settings);
  Offset offset = 1;
  while (table.Apply(Claimed("a", std::to_string(offset)), offset,
                     Instant{1}) == Verdict::kAccepted) {
    ++offset;
  }
  CHECK(table.MemoryBytes() <= 50'000);
  CHECK(table.Apply(Claimed("b", "k"), 9'000, Instant{1}) ==
        Verdict::kAccepted);
  CHECK(table.Apply(Settled("1", 1, records::CLAIM_OUTCOME_COMPLETED,
                            std::string(10'000, 'x')),
                    9'001, Instant{1}) == Verdict::kAccepted);
  CHECK(table.Find({AccountId("a"), "1"})->answer_omitted);
  CHECK(table.MemoryBytes() <= settings.memory_limit_bytes);
}

// Guards against a restart from a snapshot that yields a different state.
TEST_CASE("a loaded snapshot has the same hash and verdicts") {
  ClaimTable table = MakeTable();
  table.Apply(Claimed("a", "k"), 1, Instant{5});
  table.Apply(Claimed("a", "l"), 2, Instant{6});
  table.Apply(Settled("k", 1, records::CLAIM_OUTCOME_COMPLETED, "r"), 3,
              Instant{7});
  records::Snapshot snapshot;
  table.Save(snapshot);
  ClaimTable loaded = MakeTable();
  CHECK(loaded.Hash() != table.Hash());
  REQUIRE(loaded.Load(snapshot));
  CHECK(loaded.Hash() == table.Hash());
  CHECK(loaded.MemoryBytes() == table.MemoryBytes());
  CHECK(loaded.OpenClaims() == table.OpenClaims());
  snapshot.set_claims("not a section");
  CHECK_FALSE(loaded.Load(snapshot));
  CHECK(loaded.Hash() == table.Hash());
}

}  // namespace
}  // namespace carobrill::requests
