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

/// An appender with a log whose writes and answers the test orders freely.
struct Driver {
  Driver() : appender(Limits(), WriterNamed("a")) {}

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
      RC_ASSERT(!this->open.has_value());
      RC_ASSERT(!batch->records.empty());
      this->open = batch->id;
      this->sent.push_back(std::move(*batch));
    }
  }

  void Write(const Batch& batch) {
    this->log.insert(this->log.end(), batch.records.begin(),
                     batch.records.end());
  }

  void Answer(const Batch& batch, bool written) {
    this->appender.OnAnswered(batch.id, written ? Written() : Lost(),
                              this->now);
    if (this->open == batch.id) {
      this->open.reset();
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

  // Reads one record as a replica does: a repeat must not be reported.
  void Read() {
    if (this->read == this->log.size()) {
      return;
    }
    records::Record record;
    RC_ASSERT(record.ParseFromString(this->log[this->read++]));
    const auto proposal =
        this->appender.OnRead(record.writer(), record.sequence());
    RC_ASSERT(proposal.has_value() == (record.sequence() > this->sequence));
    RC_ASSERT(!this->appender.OnRead(record.writer(), record.sequence()));
    if (proposal.has_value()) {
      RC_ASSERT(record.sequence() == this->sequence + 1);
      this->sequence = record.sequence();
      this->decided.push_back(*proposal);
      RC_ASSERT(this->appender.StateOf(*proposal) == ProposalState::kFinished);
    }
    if (this->appender.RecordsInFlight() == 0) {
      this->open.reset();
    }
  }

  Appender appender;
  Instant now{1};
  std::optional<std::uint64_t> open;
  std::vector<Batch> sent;
  std::vector<std::string> log;
  std::size_t read = 0;
  std::uint64_t sequence = 0;
  std::vector<ProposalId> expected;
  std::vector<ProposalId> decided;
};

// Guards, over lost, late, repeated and reordered writes and answers, against a
// proposal that is lost, decided twice or out of order, against an abandoned
// record that is written, and against two batches in flight.
TEST_CASE("holds.replicas_agree: answers of appends in any order") {
  const bool passed = rc::check([](const std::vector<std::uint8_t>& steps) {
    Driver driver;
    for (const std::uint8_t step : steps) {
      const std::size_t argument = step / 8;
      const std::size_t sent = driver.sent.size();
      switch (step % 8) {
        case 0:
        case 1:
          driver.Add();
          break;
        case 2:
          driver.now = driver.now.After(1'000);
          driver.Send();
          break;
        case 3:
          if (sent > 0) {
            driver.Write(
                driver.sent[sent - 1 - argument % std::min(sent, 3UL)]);
          }
          break;
        case 4:
          if (sent > 0) {
            driver.Answer(driver.sent[argument / 2 % sent], argument % 2 == 0);
          }
          break;
        case 5:
        case 6:
          driver.Read();
          break;
        default:
          driver.Abandon(1 + argument);
      }
    }
    for (int i = 0; i < 1'000 && driver.decided != driver.expected; ++i) {
      driver.now = driver.now.After(5'000);
      if (driver.open.has_value()) {
        driver.Answer(driver.sent.back(), false);
      }
      driver.Send();
      if (!driver.sent.empty()) {
        driver.Write(driver.sent.back());
      }
      while (driver.read < driver.log.size()) {
        driver.Read();
      }
    }
    RC_ASSERT(driver.decided == driver.expected);
  });
  CHECK(passed);
}

// Guards against a queue without a limit and a batch that the service refuses.
TEST_CASE("batches and the queue keep their limits") {
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

// Guards against a service that is flooded with retries, against a batch that
// is sent again before it could be read back, and against a caller that sleeps
// through a retry.
TEST_CASE("retries are delayed, longer each time up to a limit") {
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
    appender.OnAnswered(batch->id, Lost(), now);
    CHECK_FALSE(appender.NextBatch(now.After(delay - 1)).has_value());
    now = now.After(delay);
    CHECK(appender.NextDeadline() == now);
  }
  appender.OnAnswered(appender.NextBatch(now)->id, Written(), now);
  CHECK(appender.NextDeadline() == now.After(settings.read_back_timeout_ms));
}

// Guards against another process's record that is taken for an own one, and
// against a proposal that is lost when the log has forgotten the writer or a
// loaded state covers a part of the batch.
TEST_CASE("a batch survives another incarnation and a replaced state") {
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
  appender.OnAnswered(first.id, Lost(), Instant{1});
  CHECK(appender.NextBatch(Instant{1'000})->records.size() == 2);
  appender.Add(NamedRecord("later"));
  appender.Renew(7);
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
