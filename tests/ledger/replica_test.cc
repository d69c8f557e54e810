#include "packages/ledger/replica.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>
#include <string>

#include "packages/ledger/peer_sync.h"
#include "packages/ledger/snapshot_assembler.h"
#include "packages/ledger/snapshot_writer.h"
#include "tests/ledger/simulation.h"

namespace carobrill::ledger {
namespace {

constexpr std::int64_t kStartMs = 1'000'000'000'000;

/// Returns records with duplicates, corruption, restarting writers, long
/// inactive periods and a log clock that sometimes runs backwards.
std::vector<StoreRecord> RandomRecords(std::mt19937& random) {
  struct Process {
    records::Writer writer;
    std::uint64_t sequence = 0;
  };
  std::vector<StoreRecord> stored;
  std::vector<Process> processes(3);
  std::int64_t now = kStartMs;
  for (Offset offset = 0; offset < 80; ++offset) {
    now += std::uniform_int_distribution<std::int64_t>(
        0, random() % 10 == 0 ? 60 * 3600 * 1000 : 900)(random);
    Process& process = processes[random() % processes.size()];
    if (process.sequence == 0 || random() % 15 == 0) {
      const auto boot_us = static_cast<std::uint64_t>(now) * 1000 + offset;
      process = {WriterNamed(std::to_string(random() % 3), boot_us), 0};
    }
    std::string data;
    if (!stored.empty() && random() % 4 == 0) {
      data = stored[random() % stored.size()].data;
    } else {
      process.sequence += 1 + random() % 2;
      auto record = NamedRecord(std::to_string(offset));
      *record.mutable_writer() = process.writer;
      record.set_sequence(process.sequence);
      data = record.SerializeAsString();
    }
    if (random() % 8 == 0) {
      data = Mutated(data, random);
    }
    stored.push_back(
        {offset, Instant{now - static_cast<std::int64_t>(random() % 2'000)},
         data});
  }
  return stored;
}

std::mt19937 RandomSource() {
  return std::mt19937(
      *rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()));
}

/// Transfers a snapshot in small chunks that are shuffled, duplicated and mixed
/// with corrupt ones.
records::Snapshot TransferInChunks(const records::Snapshot& snapshot,
                                   std::mt19937& random) {
  std::vector<std::string> stored;
  for (const auto& chunk :
       SplitSnapshot(snapshot, WriterNamed("a"), 20 + random() % 200)) {
    const std::string data = chunk.SerializeAsString();
    stored.insert(stored.end(), {data, data, Mutated(data, random)});
  }
  std::shuffle(stored.begin(), stored.end(), random);
  SnapshotAssembler assembler;
  std::optional<records::Snapshot> result;
  for (Offset offset = 0; offset < stored.size(); ++offset) {
    if (auto whole = assembler.Add({offset, Instant{1}, stored[offset]})) {
      if (whole->SerializeAsString() == snapshot.SerializeAsString()) {
        result = std::move(whole);
      }
    }
  }
  // Corrupt chunks may start more snapshots than the assembler keeps, which
  // drops the valid one. The snapshot is then used directly.
  return result.value_or(snapshot);
}

// Guards against replicas that differ because they started from offset 0, a
// snapshot or a peer, or met duplicate and corrupt records; and against records
// that are applied twice or, from a known writer, not at all.
TEST_CASE("holds.replicas_agree: every way to a state gives the same hash") {
  std::map<ApplyStatus, int> statuses;
  const bool passed = rc::check([&] {
    std::mt19937 random = RandomSource();
    const auto stored = RandomRecords(random);
    const std::size_t cut = random() % stored.size();
    Replica<NameListState> whole;
    whole.StartLineage("lineage-1", 0);
    Replica<NameListState> loaded;
    Replica<NameListState> lagging = whole;
    ReplicationBacklog backlog;
    backlog.Reset("lineage-1", 0);
    std::map<std::string, std::int64_t> last_append;
    std::set<std::string> applied;
    for (std::size_t i = 0; i < stored.size(); ++i) {
      if (i == cut) {
        RC_ASSERT(loaded.Load(TransferInChunks(whole.Save(), random)));
        RC_ASSERT(loaded.NextOffset() == cut);
        lagging = whole;
      }
      const Instant before = whole.LogTime();
      const AppliedRecord applied_record = whole.Apply(stored[i]);
      ++statuses[applied_record.status];
      RC_ASSERT(whole.LogTime() >= before);
      backlog.Add(stored[i]);
      if (i >= cut) {
        const AppliedRecord same = loaded.Apply(stored[i]);
        RC_ASSERT(same.status == applied_record.status);
        RC_ASSERT(same.verdict == applied_record.verdict);
        RC_ASSERT(loaded.Hash() == whole.Hash());
      }
      if (applied_record.status == ApplyStatus::kMalformed) {
        RC_ASSERT(whole.State().Hash() == loaded.State().Hash() || i < cut);
        continue;
      }
      const records::Writer& writer = applied_record.record.writer();
      const auto known = last_append.find(writer.SerializeAsString());
      const std::int64_t limit =
          whole.LogTime().ms - WriterPositions::kRetentionMs;
      if (known != last_append.end() && known->second >= limit) {
        RC_ASSERT(applied_record.status != ApplyStatus::kExpiredWriter);
      }
      if (applied_record.status == ApplyStatus::kApplied) {
        // A corrupt record counts as a separate record, so its name may
        // repeat.
        RC_ASSERT(applied.insert(stored[i].data).second);
        last_append[writer.SerializeAsString()] = whole.LogTime().ms;
      }
    }
    const PeerReply answer =
        AnswerPeerQuery(whole, backlog, {"lineage-1", lagging.NextOffset()});
    RC_ASSERT(!answer.IsFull());
    for (const auto& record : answer.records) {
      lagging.Apply(record);
    }
    const std::string state = whole.Save().SerializeAsString();
    RC_ASSERT(lagging.Save().SerializeAsString() == state);
    RC_ASSERT(loaded.Save().SerializeAsString() == state);
    const PeerReply full = AnswerPeerQuery(whole, backlog, {"", 0});
    RC_ASSERT(full.snapshot == state);
    RC_ASSERT(
        AnswerPeerQuery(whole, backlog, {"lineage-1", 81}).records.empty());
  });
  CHECK(passed);
  CHECK(statuses[ApplyStatus::kApplied] > 0);
  CHECK(statuses[ApplyStatus::kRepeat] > 0);
  CHECK(statuses[ApplyStatus::kExpiredWriter] > 0);
  CHECK(statuses[ApplyStatus::kMalformed] > 0);
}

// Guards against input that crashes a replica, is processed differently by two
// replicas, or leaves a partially loaded state.
TEST_CASE(
    "holds.replicas_agree: arbitrary bytes are handled alike and safely") {
  const bool passed = rc::check([](const std::vector<std::string>& noise) {
    std::mt19937 random = RandomSource();
    Replica<NameListState> one;
    one.StartLineage("lineage-1", 0);
    for (const auto& stored : RandomRecords(random)) {
      one.Apply(stored);
    }
    Replica<NameListState> other;
    RC_ASSERT(other.Load(one.Save()));
    const std::string good = one.Save().SerializeAsString();
    const std::string chunk =
        SplitSnapshot(one.Save(), WriterNamed("a"))[0].SerializeAsString();
    std::vector<std::string> inputs = noise;
    for (int i = 0; i < 20; ++i) {
      inputs.push_back(Mutated(random() % 2 == 0 ? good : chunk, random));
    }
    SnapshotAssembler assembler;
    for (const auto& bytes : inputs) {
      const StoreRecord stored{one.NextOffset(), Instant{kStartMs}, bytes};
      RC_ASSERT(one.Apply(stored).status == other.Apply(stored).status);
      RC_ASSERT(one.Hash() == other.Hash());
      auto snapshot = assembler.Add(stored).value_or(records::Snapshot{});
      const std::uint64_t before = one.Hash();
      if (snapshot.lineage().empty() && !snapshot.ParseFromString(bytes)) {
        continue;
      }
      const bool loaded = one.Load(snapshot);
      RC_ASSERT(other.Load(snapshot) == loaded);
      RC_ASSERT(one.Hash() == (loaded ? snapshot.state_hash() : before));
      RC_ASSERT(one.Hash() == other.Hash());
      RC_ASSERT(assembler.IncompleteCount() <=
                SnapshotAssembler::kMaxIncomplete);
    }
  });
  CHECK(passed);
}

// Guards against accepting records without the writer and sequence that
// identify duplicates, and against a log time in the state that runs backwards.
TEST_CASE("holds.replicas_agree: records without a name are malformed") {
  Replica<NameListState> replica;
  records::Record record = NamedRecord("x");
  const auto apply = [&](Offset offset, std::int64_t ms) {
    return replica.Apply({offset, Instant{ms}, record.SerializeAsString()});
  };
  record.set_sequence(1);
  CHECK(apply(0, 9).status == ApplyStatus::kMalformed);
  *record.mutable_writer() = WriterNamed("a");
  record.set_sequence(0);
  CHECK(apply(1, 9).status == ApplyStatus::kMalformed);
  record.set_sequence(1);
  record.clear_job_cancelled();
  CHECK(apply(2, 9).verdict == records::Verdict::kMalformed);
  *record.mutable_job_cancelled() = NamedRecord("x").job_cancelled();
  const AppliedRecord applied_record = apply(3, 5);
  CHECK(applied_record.status == ApplyStatus::kApplied);
  CHECK(applied_record.appended_at == Instant{9});
  CHECK(apply(4, 10).verdict == records::Verdict::kDuplicate);
  CHECK(replica.Counts().malformed == 3);
}

// Guards against a snapshot assembled from chunks that do not match, a chunk
// that makes the assembler allocate much memory, and an unbounded number of
// incomplete snapshots.
TEST_CASE("holds.recovery: mismatched chunks are refused") {
  const auto add = [](SnapshotAssembler& assembler, auto change) {
    records::Snapshot parts;
    parts.set_lineage("lineage-1");
    parts.set_covered_offset(5);
    records::SnapshotChunk chunk = SplitSnapshot(parts, WriterNamed("a"))[0];
    change(chunk);
    return assembler.Add({0, Instant{1}, chunk.SerializeAsString()});
  };
  records::Snapshot large;
  large.set_lineage("lineage-1");
  large.set_covered_offset(5);
  large.set_rules(std::string(kMaxChunkBytes, ' '));
  SnapshotAssembler assembler;
  CHECK(add(assembler, [](auto&) {}).has_value());
  CHECK_FALSE(add(assembler, [](auto& c) { c.set_lineage("x"); }).has_value());
  CHECK_FALSE(
      add(assembler, [](auto& c) { c.set_covered_offset(9); }).has_value());
  CHECK_FALSE(add(assembler, [](auto& c) { c.set_state_hash(9); }).has_value());
  CHECK_FALSE(add(assembler, [](auto& c) { c.set_count(0); }).has_value());
  CHECK_FALSE(add(assembler, [](auto& c) { c.set_index(1); }).has_value());
  CHECK_FALSE(add(assembler, [](auto& c) { c.clear_writer(); }).has_value());
  CHECK_FALSE(
      add(assembler, [](auto& c) { c.set_count(1U << 30); }).has_value());
  CHECK_FALSE(add(assembler, [&](auto& c) {
                c.set_data(large.SerializeAsString());
              }).has_value());
  CHECK(assembler.MalformedChunks() == 8);
  for (std::uint64_t i = 0; i < 50; ++i) {
    add(assembler, [&](auto& c) {
      c.set_count(2);
      c.set_covered_offset(i);
    });
  }
  CHECK(assembler.IncompleteCount() == SnapshotAssembler::kMaxIncomplete);
  // The newest snapshots are kept, not the ones that were started first.
  CHECK(add(assembler, [&](auto& c) {
          c.set_count(2);
          c.set_index(1);
          c.set_covered_offset(49);
        }).has_value() == false);
  CHECK(assembler.IncompleteCount() == SnapshotAssembler::kMaxIncomplete - 1);
}

}  // namespace
}  // namespace carobrill::ledger
