#include "packages/ledger/appender.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <string>

#include "tests/ledger/simulation.h"

namespace carobrill::ledger {
namespace {

AppendReply Written() {
  return {StoreFailure::kNone, "lineage-1", 0};
}

AppendReply Lost() {
  return {StoreFailure::kNoAnswer, "", 0};
}

/// An Appender with a log whose writes and replies occur in the order that the
/// test chooses.
struct AppenderHarness {
  AppenderHarness() : appender(Limits(), WriterNamed("a")) {}

  static AppenderSettings Limits() {
    AppenderSettings settings;
    settings.max_batch_records = 3;
    return settings;
  }

  void Add() {
    const auto proposal = this->appender.Add(NamedRecord("x"));
    RC_ASSERT(proposal.has_value());
    this->expected.push_back(*proposal);
  }

  void Send() {
    auto batch = this->appender.NextBatch(this->now);
    if (batch.has_value()) {
      RC_ASSERT(!this->in_flight_id.has_value());
      RC_ASSERT(!batch->records.empty());
      this->in_flight_id = batch->id;
      this->sent.push_back(std::move(*batch));
    }
  }

  void Write(const Batch& batch) {
    this->log.insert(this->log.end(), batch.records.begin(),
                     batch.records.end());
  }

  void Answer(const Batch& batch, bool written) {
    this->appender.OnReply(batch.id, written ? Written() : Lost(), this->now);
    if (this->in_flight_id == batch.id) {
      this->in_flight_id.reset();
    }
  }

  void Abandon(ProposalId proposal) {
    const ProposalState state = this->appender.StateOf(proposal);
    const bool abandoned = this->appender.Abandon(proposal);
    RC_ASSERT(abandoned == (state == ProposalState::kQueued));
    if (abandoned) {
      std::erase(this->expected, proposal);
    }
  }

  // Reads one record as a replica does; a duplicate must not be reported.
  void Read() {
    if (this->read_count == this->log.size()) {
      return;
    }
    records::Record record;
    RC_ASSERT(record.ParseFromString(this->log[this->read_count++]));
    const auto proposal =
        this->appender.OnRead(record.writer(), record.sequence());
    RC_ASSERT(proposal.has_value() ==
              (record.sequence() > this->last_sequence));
    RC_ASSERT(!this->appender.OnRead(record.writer(), record.sequence()));
    if (proposal.has_value()) {
      RC_ASSERT(record.sequence() == this->last_sequence + 1);
      this->last_sequence = record.sequence();
      this->decided.push_back(*proposal);
      RC_ASSERT(this->appender.StateOf(*proposal) == ProposalState::kFinished);
    }
    if (this->appender.RecordsInFlight() == 0) {
      this->in_flight_id.reset();
    }
  }

  Appender appender;
  Instant now{1};
  std::optional<std::uint64_t> in_flight_id;
  std::vector<Batch> sent;
  std::vector<std::string> log;
  std::size_t read_count = 0;
  std::uint64_t last_sequence = 0;
  std::vector<ProposalId> expected;
  std::vector<ProposalId> decided;
};

// With lost, late, duplicated and reordered writes and replies, guards against
// proposals that are lost, decided twice or decided out of order, abandoned
// records that are written, and more than one batch in flight.
TEST_CASE("holds.replicas_agree: appends tolerate replies in any order") {
  const bool passed = rc::check([](const std::vector<std::uint8_t>& steps) {
    AppenderHarness harness;
    for (const std::uint8_t step : steps) {
      const std::size_t argument = step / 8;
      const std::size_t sent = harness.sent.size();
      switch (step % 8) {
        case 0:
        case 1:
          harness.Add();
          break;
        case 2:
          harness.now = harness.now.After(1'000);
          harness.Send();
          break;
        case 3:
          if (sent > 0) {
            harness.Write(
                harness.sent[sent - 1 - argument % std::min(sent, 3UL)]);
          }
          break;
        case 4:
          if (sent > 0) {
            harness.Answer(harness.sent[argument / 2 % sent],
                           argument % 2 == 0);
          }
          break;
        case 5:
        case 6:
          harness.Read();
          break;
        default:
          harness.Abandon(1 + argument);
      }
    }
    for (int i = 0; i < 1'000 && harness.decided != harness.expected; ++i) {
      harness.now = harness.now.After(5'000);
      if (harness.in_flight_id.has_value()) {
        harness.Answer(harness.sent.back(), false);
      }
      harness.Send();
      if (!harness.sent.empty()) {
        harness.Write(harness.sent.back());
      }
      while (harness.read_count < harness.log.size()) {
        harness.Read();
      }
    }
    RC_ASSERT(harness.decided == harness.expected);
  });
  CHECK(passed);
}

// Guards against an unbounded queue and against batches larger than the log
// service accepts.
TEST_CASE("batches and the queue keep within their limits") {
  AppenderSettings settings;
  settings.max_batch_bytes = 100;
  settings.max_queued_records = 3;
  CHECK(settings.Valid());
  Appender appender(settings, WriterNamed("a"));
  const std::string large(80, 'n');
  for (int i = 0; i < 3; ++i) {
    CHECK(appender.Add(NamedRecord(large)).has_value());
  }
  CHECK_FALSE(appender.Add(NamedRecord(large)).has_value());
  CHECK(appender.NextBatch(Instant{1})->records.size() == 1);
  settings.max_retry_ms = settings.first_retry_ms - 1;
  CHECK_FALSE(settings.Valid());
}

// Guards against retry floods, against sending a batch again before it could be
// read back, and against a NextDeadline that misses a retry.
TEST_CASE("retries use exponential delays up to a limit") {
  const AppenderSettings settings;
  Appender appender(settings, WriterNamed("a"));
  CHECK(appender.NextDeadline() == Instant::Never());
  appender.Add(NamedRecord("x"));
  CHECK(appender.NextDeadline() == Instant{});
  Instant now{1};
  for (const std::int64_t delay : {50, 100, 200, 400, 800, 1600, 2000, 2000}) {
    const auto batch = appender.NextBatch(now);
    REQUIRE(batch.has_value());
    CHECK_FALSE(appender.NextBatch(now.After(60'000)).has_value());
    CHECK(appender.NextDeadline() == Instant::Never());
    appender.OnReply(batch->id, Lost(), now);
    CHECK_FALSE(appender.NextBatch(now.After(delay - 1)).has_value());
    now = now.After(delay);
    CHECK(appender.NextDeadline() == now);
  }
  appender.OnReply(appender.NextBatch(now)->id, Written(), now);
  CHECK(appender.NextDeadline() == now.After(settings.read_back_timeout_ms));
}

// Guards against treating another process's record as its own, and against
// losing a proposal when the log has expired the writer or a loaded state
// covers part of the batch.
TEST_CASE("a batch survives a new incarnation and a replaced state") {
  Appender appender({}, WriterNamed("a"));
  for (const char* name : {"x", "y", "z"}) {
    appender.Add(NamedRecord(name));
  }
  const Batch first = *appender.NextBatch(Instant{1});
  CHECK_FALSE(appender.OnRead(WriterNamed("b"), 1).has_value());
  CHECK_FALSE(appender.OnRead(WriterNamed("a", 2), 1).has_value());
  CHECK_FALSE(appender.OnRead(WriterNamed("a"), 0).has_value());
  CHECK_FALSE(appender.OnRead(WriterNamed("a"), 4).has_value());
  CHECK_FALSE(appender.OnRead(WriterNamed("a"), 1ULL << 40).has_value());
  CHECK(appender.OnStateReplaced(1) == std::vector<ProposalId>{1});
  CHECK(appender.OnStateReplaced(1).empty());
  appender.OnReply(first.id, Lost(), Instant{1});
  CHECK(appender.NextBatch(Instant{1'000})->records.size() == 2);
  appender.Add(NamedRecord("later"));
  appender.ChangeIncarnation(7);
  const Batch second = *appender.NextBatch(Instant{1});
  CHECK(second.id != first.id);
  REQUIRE(second.records.size() == 3);
  for (std::uint64_t i = 0; i < 3; ++i) {
    records::Record record;
    REQUIRE(record.ParseFromString(second.records[i]));
    CHECK(record.writer().incarnation() == 7);
    CHECK(record.sequence() == i + 1);
    CHECK(appender.OnRead(record.writer(), i + 1) == i + 2);
  }
}

}  // namespace
}  // namespace carobrill::ledger
