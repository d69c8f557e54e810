#include <doctest/doctest.h>

#include <string>

#include "packages/ledger/backlog.h"
#include "packages/ledger/checkpoints.h"
#include "packages/ledger/log_clock.h"
#include "packages/ledger/poll.h"
#include "packages/ledger/recovery.h"
#include "packages/ledger/snapshot_writer.h"
#include "packages/ledger/writer_positions.h"
#include "tests/ledger/simulation.h"

namespace carobrill::ledger {
namespace {

records::Snapshot SnapshotAt(const std::string& lineage,
                             Offset offset,
                             std::int64_t log_time_ms) {
  records::Snapshot snapshot;
  snapshot.set_lineage(lineage);
  snapshot.set_covered_offset(offset);
  snapshot.set_log_time_ms(log_time_ms);
  return snapshot;
}

// Guards against replacing the current state with an older one or with one of
// an obsolete lineage.
TEST_CASE("holds.recovery: only a newer state replaces the current one") {
  const ReplicaPosition none;
  const ReplicaPosition here{"l2", 10, Instant{100}};
  const auto may = [&](const ReplicaPosition& position,
                       const std::string& lineage, Offset offset,
                       std::int64_t ms) {
    return Recovery::MayLoad(position, "l2", SnapshotAt(lineage, offset, ms));
  };
  CHECK(may(none, "l2", 0, 0));
  CHECK_FALSE(may(none, "l1", 50, 500));
  CHECK(may(here, "l2", 11, 0));
  CHECK_FALSE(may(here, "l2", 10, 500));
  CHECK_FALSE(may(here, "l1", 50, 500));
  const ReplicaPosition old_position{"l1", 50, Instant{100}};
  CHECK(may(old_position, "l2", 0, 100));
  CHECK_FALSE(may(old_position, "l2", 90, 99));
  const auto peer = [&](const ReplicaPosition& position,
                        const std::string& log_lineage,
                        const std::string& lineage, Offset offset) {
    return Recovery::MayLoadFromPeer(position, log_lineage,
                                     SnapshotAt(lineage, offset, 100));
  };
  CHECK(peer(none, "l2", "l1", 0));
  CHECK_FALSE(peer(none, "", "", 0));
  CHECK(peer(here, "", "l2", 11));
  CHECK_FALSE(peer(here, "", "l2", 10));
  CHECK_FALSE(peer(here, "", "l3", 11));
  CHECK_FALSE(peer(here, "l2", "l1", 11));
}

// Guards against a replica that serves before it has read the log to its end,
// or after unread records have expired.
TEST_CASE("holds.recovery: readiness follows the statechart") {
  Recovery recovery = LoadRecovery();
  CHECK_FALSE(recovery.Handle(RecoveryEvent::kCaughtUp));
  CHECK_FALSE(recovery.Ready());
  CHECK(recovery.Handle(RecoveryEvent::kStart));
  CHECK(recovery.Handle(RecoveryEvent::kSnapshotLoaded));
  CHECK_FALSE(recovery.Ready());
  CHECK(recovery.Handle(RecoveryEvent::kCaughtUp));
  CHECK(recovery.Ready());
  CHECK(recovery.Handle(RecoveryEvent::kOffsetExpired));
  CHECK_FALSE(recovery.Ready());
  CHECK(recovery.State() == RecoveryState::kLoadingSnapshot);
}

// Guards against sending a peer records with a gap or of another lineage, and
// against a backlog that grows without bound.
TEST_CASE("holds.recovery: the backlog covers only what it stores") {
  ReplicationBacklog backlog(300);
  backlog.Reset("l1", 5);
  CHECK(backlog.Covers("l1", 5));
  for (Offset offset = 5; offset < 15; ++offset) {
    backlog.Add({offset, Instant{1}, std::string(offset % 2 * 20, 'x')});
  }
  CHECK(backlog.Bytes() <= 300);
  CHECK_FALSE(backlog.Covers("l1", 5));
  CHECK_FALSE(backlog.Covers("l1", 16));
  CHECK_FALSE(backlog.Covers("l2", 14));
  CHECK_FALSE(ReplicationBacklog().Covers("", 0));
  REQUIRE(backlog.Covers("l1", 14));
  REQUIRE(backlog.RecordsFrom(14).size() == 1);
  CHECK(backlog.RecordsFrom(14)[0].offset == 14);
  CHECK(backlog.RecordsFrom(15).empty());
  CHECK(backlog.RecordsFrom(4).empty());
  for (Offset offset = 15; offset < 200; ++offset) {
    backlog.Add({offset, Instant{1}, ""});
  }
  CHECK(backlog.RecordsFrom(199 - 10).empty());
  backlog.Add({300, Instant{1}, "x"});
  CHECK_FALSE(backlog.Covers("l1", 199));
  CHECK(backlog.RecordsFrom(300).size() == 1);
}

// Guards against comparing hashes of different offsets or lineages, and against
// memory that grows with each snapshot.
TEST_CASE("holds.replicas_agree: hashes are compared once per offset") {
  HashCheckpoints checkpoints;
  CHECK_FALSE(checkpoints.AddLocalHash(10, 1).has_value());
  CHECK_FALSE(checkpoints.AddSnapshotHash(20, 2).has_value());
  CHECK(checkpoints.HasPendingSnapshot(20));
  CHECK_FALSE(checkpoints.AddSnapshotHash(10, 1).has_value());
  CHECK(checkpoints.ComparedCount() == 1);
  const auto differing = checkpoints.AddLocalHash(20, 3);
  REQUIRE(differing.has_value());
  CHECK(differing->local_hash == 3);
  CHECK(differing->snapshot_hash == 2);
  CHECK_FALSE(checkpoints.HasPendingSnapshot(20));
  CHECK_FALSE(checkpoints.AddLocalHash(20, 3).has_value());
  checkpoints.Clear();
  CHECK_FALSE(checkpoints.AddSnapshotHash(20, 9).has_value());
  checkpoints.Clear();
  CHECK_FALSE(checkpoints.HasPendingSnapshot(20));
  for (Offset offset = 0; offset <= HashCheckpoints::kMaxOffsets; ++offset) {
    checkpoints.AddSnapshotHash(offset, 1);
  }
  CHECK_FALSE(checkpoints.HasPendingSnapshot(0));
  CHECK(checkpoints.HasPendingSnapshot(1));
}

// Guards against a snapshot with a missing chunk, a late reply for a dropped
// snapshot that counts for the next one, and endless retries.
TEST_CASE("holds.recovery: a snapshot is written completely or abandoned") {
  const records::Writer writer = WriterNamed("a");
  records::Snapshot large = SnapshotAt("l1", 5, 1);
  large.set_rules(std::string(2 * kMaxChunkBytes, 'x'));
  SnapshotWriter out;
  CHECK(out.NextDeadline() == Instant::Never());
  out.Start(large, writer);
  Instant now{1};
  const auto first = out.NextChunk(now);
  REQUIRE(first.has_value());
  CHECK_FALSE(out.NextChunk(now).has_value());
  CHECK(out.NextDeadline() == Instant::Never());
  out.OnReply(false, now);
  CHECK_FALSE(out.NextChunk(now).has_value());
  now = out.NextDeadline();
  CHECK(out.NextChunk(now) == first);
  out.OnReply(true, now);
  CHECK(out.NextChunk(now) != first);
  out.Start(SnapshotAt("l1", 9, 1), writer);
  CHECK_FALSE(out.NextChunk(now).has_value());
  out.OnReply(true, now);
  CHECK(out.Busy());
  for (std::uint32_t i = 0; i < SnapshotWriter::kMaxAttempts; ++i) {
    now = now.After(SnapshotWriter::kRetryMs);
    REQUIRE(out.NextChunk(now).has_value());
    out.OnReply(false, now);
  }
  CHECK_FALSE(out.Busy());
}

// Guards against applying old records again once the position of their writer
// has been dropped, and against a process with a fast clock that causes others
// to be rejected.
TEST_CASE("holds.replicas_agree: a dropped writer stays refused") {
  constexpr std::int64_t kHour = 3600 * 1000;
  const Instant start{1'000 * kHour};
  const auto boot_us = [&](std::int64_t hours) {
    return static_cast<std::uint64_t>(start.After(hours * kHour).ms) * 1000;
  };
  const records::Writer old = WriterNamed("a", boot_us(0));
  const records::Writer ahead = WriterNamed("b", boot_us(9'000));
  WriterPositions positions;
  CHECK(positions.Observe(old, 3, start, start) == SequenceCheck::kNew);
  CHECK(positions.Observe(old, 3, start, start) == SequenceCheck::kRepeat);
  CHECK(positions.Observe(ahead, 1, start, start) == SequenceCheck::kNew);
  const Instant later = start.After(100 * kHour);
  CHECK(positions.Observe(WriterNamed("c", boot_us(99)), 1, start, later) ==
        SequenceCheck::kNew);
  CHECK(positions.size() == 2);
  CHECK(positions.HighestExpiredIncarnation() == boot_us(0));
  CHECK(positions.Observe(old, 4, later, later) ==
        SequenceCheck::kExpiredWriter);
  CHECK_FALSE(positions.Accepts(old));
  CHECK(positions.Accepts(ahead));
  CHECK(positions.LastSequence(old) == 0);
  records::Snapshot snapshot;
  positions.Save(snapshot);
  WriterPositions copy;
  copy.Load(snapshot);
  CHECK(copy.Observe(old, 4, later, later) == SequenceCheck::kExpiredWriter);
  StableHash one;
  StableHash other;
  positions.AddToHash(one);
  copy.AddToHash(other);
  CHECK(one.Value() == other.Value());
  const auto hash = [&](std::uint64_t sequence, Instant appended_at) {
    WriterPositions single;
    single.Observe(old, sequence, start, appended_at);
    StableHash value;
    single.AddToHash(value);
    return value.Value();
  };
  CHECK(hash(1, start) != hash(2, start));
  CHECK(hash(1, start) != hash(1, start.After(1)));
}

// Guards against a clock estimate ahead of the log, a reply to a canceled call
// that is accepted, and a retry without a delay.
TEST_CASE("clock estimates and poll timer delays") {
  LogClock clock;
  CHECK(clock.Estimate(Instant{5}) == Instant{});
  clock.Observe(Instant{1'000}, Instant{10});
  clock.Observe(Instant{900}, Instant{20});
  CHECK(clock.Estimate(Instant{30}) == Instant{1'020});
  PollTimer poll;
  const std::uint64_t given_up = poll.BeginCall();
  CHECK_FALSE(poll.Due(Instant{1}));
  poll.Reset();
  const std::uint64_t open = poll.BeginCall();
  CHECK_FALSE(poll.EndCall(given_up));
  CHECK(poll.EndCall(open));
  CHECK_FALSE(poll.EndCall(open));
  poll.BackOff(Instant{100}, 50, 150);
  CHECK(poll.NextDeadline() == Instant{150});
  CHECK_FALSE(poll.Due(Instant{149}));
  poll.BackOff(Instant{200}, 50, 150);
  CHECK(poll.NextDeadline() == Instant{300});
  poll.BackOff(Instant{300}, 50, 150);
  CHECK(poll.NextDeadline() == Instant{450});
  poll.ScheduleNext(Instant{500});
  poll.BackOff(Instant{500}, 50, 150);
  CHECK(poll.NextDeadline() == Instant{550});
}

}  // namespace
}  // namespace carobrill::ledger
