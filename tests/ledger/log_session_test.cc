#include "packages/ledger/log_session.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>
#include <string>

#include "tests/ledger/simulation.h"

namespace carobrill::ledger {
namespace {

using records::Verdict;
using testing::LogStore;

struct World {
  LogStore log;
  VirtualScheduler scheduler;
};

void ProposeMany(Node& node, const std::string& prefix, int count) {
  for (int i = 0; i < count; ++i) {
    node.Propose(prefix + std::to_string(i));
  }
}

// Guards against a replica that never becomes ready on an empty log, and
// against callers that learn a wrong verdict or offset.
TEST_CASE("holds.recovery: a log without snapshots is replayed from offset 0") {
  World world;
  Node first("a", 1, world.log, world.scheduler);
  CHECK_FALSE(first.session->Ready());
  world.scheduler.RunFor(3'000);
  REQUIRE(first.session->Ready());
  first.Propose("x");
  first.Propose("x");
  world.scheduler.RunFor(1'000);
  CHECK(first.Accepted("x") == false);
  CHECK(first.results["x"].verdict == Verdict::kWrongState);
  CHECK(first.results["x"].offset == 1);
  Node second("b", 1, world.log, world.scheduler);
  world.scheduler.RunFor(3'000);
  CHECK(second.session->Ready());
  CHECK(second.session->AppliedOffset() == 2);
  CHECK(second.Hash() == first.Hash());
}

// Guards against a record that is lost or applied twice when the service loses
// answers, and against waiting for an answer that never comes.
TEST_CASE("holds.replicas_agree: lost answers lose and repeat nothing") {
  World world;
  Node node("a", 1, world.log, world.scheduler);
  world.scheduler.RunFor(2'000);
  node.store.draw = [] { return 0; };
  node.store.lost_answers = 50;
  node.store.late_writes = 50;
  ProposeMany(node, "n", 10);
  world.scheduler.RunFor(9'000);
  node.store.lost_answers = 0;
  world.scheduler.RunFor(20'000);
  CHECK(node.State().names.size() == 10);
  CHECK(node.State().applied_twice == 0);
  CHECK(node.session->CurrentReplica().Counts().repeats > 0);
  for (int i = 0; i < 10; ++i) {
    CHECK(node.Accepted("n" + std::to_string(i)));
  }
}

// Guards against a caller that is told "not written" about a record that is
// written after all.
TEST_CASE("a proposal can be abandoned only before it is sent") {
  World world;
  Node node("a", 1, world.log, world.scheduler);
  CHECK(node.Propose("early") == 0);
  world.scheduler.RunFor(2'000);
  CHECK(node.results["early"].outcome == ProposalOutcome::kNotWritten);
  node.store.outage = true;
  const auto sent = node.Propose("sent");
  world.scheduler.RunFor(100);
  const auto queued = node.Propose("queued");
  world.scheduler.RunFor(5'000);
  CHECK(node.session->InOutage());
  CHECK(node.session->Ready());
  CHECK(node.session->StateOf(sent) == ProposalState::kSent);
  CHECK(node.session->StateOf(queued) == ProposalState::kQueued);
  CHECK_FALSE(node.session->Abandon(sent));
  CHECK(node.session->Abandon(queued));
  node.store.outage = false;
  world.scheduler.RunFor(5'000);
  CHECK_FALSE(node.session->InOutage());
  CHECK(node.Accepted("sent"));
  CHECK(node.State().known == std::set<std::string>{"sent"});
  CHECK_FALSE(node.results.contains("queued"));
}

SessionSettings SmallSnapshots() {
  SessionSettings settings;
  settings.records_per_snapshot = 20;
  settings.records_per_checkpoint = 10;
  settings.snapshot_poll_ms = 500;
  return settings;
}

// Guards against a restart that depends on expired records, and against a
// snapshot that is not compared with the state of the other replicas.
TEST_CASE("holds.recovery: an expired log is recovered from a snapshot") {
  World world;
  Node writer("a", 1, world.log, world.scheduler, SmallSnapshots());
  Node reader("b", 1, world.log, world.scheduler, SmallSnapshots());
  writer.plans = true;
  world.scheduler.RunFor(2'000);
  for (int round = 0; round < 10; ++round) {
    ProposeMany(writer, "r" + std::to_string(round) + "-", 10);
    world.scheduler.RunFor(2'000);
  }
  world.scheduler.RunFor(10'000);
  CHECK(reader.session->ComparedSnapshots() > 0);
  CHECK(reader.divergences.empty());
  world.log.ExpireBefore(std::string(kRecords), 40);
  Node fresh("c", 1, world.log, world.scheduler, SmallSnapshots());
  world.scheduler.RunFor(5'000);
  CHECK(fresh.session->Ready());
  CHECK(fresh.Hash() == writer.Hash());
  CHECK(fresh.folded.size() < 100);
}

// Guards against a replica that stays behind, or skips records, when its
// position expires while it can't read.
TEST_CASE("holds.recovery: an outage longer than the retention") {
  World world;
  SessionSettings settings = SmallSnapshots();
  settings.records_per_snapshot = 30;
  Node writer("a", 1, world.log, world.scheduler, settings);
  Node cut_off("b", 1, world.log, world.scheduler, settings);
  writer.plans = true;
  world.scheduler.RunFor(2'000);
  cut_off.store.outage = true;
  cut_off.Propose("own");
  for (int round = 0; round < 5; ++round) {
    ProposeMany(writer, "r" + std::to_string(round) + "-", 10);
    world.scheduler.RunFor(5'000);
  }
  CHECK(cut_off.session->Ready());
  world.log.ExpireBefore(std::string(kRecords), 30);
  cut_off.store.outage = false;
  world.scheduler.RunFor(20'000);
  CHECK(cut_off.session->Ready());
  CHECK(cut_off.Accepted("own"));
  CHECK(cut_off.Hash() == writer.Hash());
}

// Guards against a replica that serves a state with missing records.
TEST_CASE("holds.recovery: nothing is served while records are missing") {
  World world;
  Node writer("a", 1, world.log, world.scheduler);
  world.scheduler.RunFor(2'000);
  ProposeMany(writer, "n", 10);
  world.scheduler.RunFor(2'000);
  world.log.ExpireBefore(std::string(kRecords), 5);
  Node fresh("b", 1, world.log, world.scheduler);
  world.scheduler.RunFor(10'000);
  CHECK_FALSE(fresh.session->Ready());
  CHECK(fresh.State().names.empty());
  fresh.peer = &writer;
  world.scheduler.RunFor(10'000);
  CHECK(fresh.session->Ready());
  CHECK(fresh.Hash() == writer.Hash());
}

// Guards against an entry that can't start during an outage although a peer
// has the state, and against the loss of the tail afterwards.
TEST_CASE("holds.recovery: a peer's state is used during an outage") {
  World world;
  Node peer("a", 1, world.log, world.scheduler);
  world.scheduler.RunFor(2'000);
  ProposeMany(peer, "n", 10);
  world.scheduler.RunFor(2'000);
  Node fresh("b", 1, world.log, world.scheduler);
  fresh.store.outage = true;
  fresh.peer = &peer;
  world.scheduler.RunFor(5'000);
  CHECK(fresh.session->Ready());
  CHECK(fresh.session->InOutage());
  CHECK(fresh.Hash() == peer.Hash());
  ProposeMany(peer, "m", 10);
  world.scheduler.RunFor(2'000);
  fresh.store.outage = false;
  world.scheduler.RunFor(5'000);
  CHECK(fresh.State().names.size() == 20);
  CHECK(fresh.Hash() == peer.Hash());
}

// Guards against a peer that is behind and sets back a newer state.
TEST_CASE("holds.recovery: a peer that is behind changes nothing") {
  World world;
  Node behind("a", 1, world.log, world.scheduler);
  world.scheduler.RunFor(2'000);
  Node writer("b", 1, world.log, world.scheduler);
  world.scheduler.RunFor(2'000);
  behind.store.outage = true;
  ProposeMany(writer, "n", 10);
  world.scheduler.RunFor(2'000);
  const auto answer = behind.session->Serve(
      {writer.session->Lineage(), writer.session->AppliedOffset()});
  REQUIRE(answer.has_value());
  CHECK_FALSE(answer->IsFull());
  CHECK(answer->records.empty());
  const records::Snapshot old = behind.session->CurrentReplica().Save();
  CHECK_FALSE(
      Recovery::MayLoadFromPeer({"lineage-1", 10, Instant{1}}, "", old));
  // The offset of the writer expires without a snapshot; only the peer that is
  // behind answers.
  writer.store.outage = true;
  Node other("c", 1, world.log, world.scheduler);
  world.scheduler.RunFor(2'000);
  ProposeMany(other, "m", 10);
  world.scheduler.RunFor(2'000);
  world.log.ExpireBefore(std::string(kRecords), 15);
  writer.peer = &behind;
  writer.store.outage = false;
  world.scheduler.RunFor(10'000);
  CHECK_FALSE(writer.session->Ready());
  CHECK(writer.session->AppliedOffset() == 10);
  writer.peer = &other;
  world.scheduler.RunFor(10'000);
  CHECK(writer.session->Ready());
  CHECK(writer.partial_answers > 0);
  CHECK(writer.Hash() == other.Hash());
}

// Guards against a state that is set back when the log restarts empty or from
// an old copy, and against replicas that part ways afterwards.
TEST_CASE("holds.recovery: a new lineage starts from the current state") {
  for (const bool keep_content : {false, true}) {
    CAPTURE(keep_content);
    World world;
    SessionSettings settings = SmallSnapshots();
    settings.records_per_snapshot = 1'000;
    Node planner("a", 1, world.log, world.scheduler, settings);
    Node other("b", 1, world.log, world.scheduler, settings);
    world.scheduler.RunFor(2'000);
    ProposeMany(planner, "n", 10);
    ProposeMany(other, "m", 10);
    world.scheduler.RunFor(2'000);
    world.log.StartLineage(keep_content);
    world.scheduler.RunFor(3'000);
    CHECK(planner.session->CurrentRecoveryState() ==
          RecoveryState::kLineageChanged);
    CHECK(planner.session->Ready());
    CHECK_FALSE(planner.session->CanPropose());
    CHECK(planner.Propose("refused") == 0);
    planner.plans = true;
    world.scheduler.RunFor(10'000);
    CHECK(planner.session->CanPropose());
    CHECK(other.session->CanPropose());
    CHECK(planner.State().names.size() == 20);
    planner.Propose("after");
    other.Propose("later");
    world.scheduler.RunFor(5'000);
    CHECK(planner.Accepted("after"));
    CHECK(other.Accepted("later"));
    CHECK(other.State().applied_twice == 0);
    CHECK(planner.regressions + other.regressions == 0);
    Node fresh("c", 1, world.log, world.scheduler, settings);
    world.scheduler.RunFor(5'000);
    CHECK(other.Hash() == planner.Hash());
    CHECK(fresh.Hash() == planner.Hash());
    CHECK(fresh.State().names.size() == 22);
  }
}

// Guards against a planner that is behind and sets the others back with the
// start of a new lineage.
TEST_CASE("holds.recovery: an older state does not start a lineage") {
  World world;
  SessionSettings settings = SmallSnapshots();
  settings.records_per_snapshot = 1'000;
  Node planner("a", 1, world.log, world.scheduler, settings);
  Node ahead("b", 1, world.log, world.scheduler, settings);
  world.scheduler.RunFor(2'000);
  planner.store.outage = true;
  ProposeMany(ahead, "n", 10);
  world.scheduler.RunFor(2'000);
  world.log.StartLineage(false);
  planner.store.outage = false;
  planner.plans = true;
  world.scheduler.RunFor(20'000);
  CHECK(ahead.State().names.size() == 10);
  CHECK(ahead.regressions == 0);
  CHECK(planner.Hash() == ahead.Hash());
  planner.Propose("after");
  world.scheduler.RunFor(5'000);
  CHECK(planner.Accepted("after"));
  CHECK(planner.Hash() == ahead.Hash());
}

// Guards against a replica that never returns to the log that the others have
// gone on with.
TEST_CASE("holds.recovery: a log that went on without the newest state wins") {
  World world;
  SessionSettings settings = SmallSnapshots();
  settings.records_per_snapshot = 1'000;
  Node planner("a", 1, world.log, world.scheduler, settings);
  Node ahead("b", 1, world.log, world.scheduler, settings);
  world.scheduler.RunFor(2'000);
  planner.store.outage = true;
  ProposeMany(ahead, "n", 10);
  world.scheduler.RunFor(2'000);
  world.log.StartLineage(false);
  ahead.store.outage = true;
  planner.store.outage = false;
  planner.plans = true;
  world.scheduler.RunFor(10'000);
  planner.Propose("after");
  world.scheduler.RunFor(5'000);
  CHECK(planner.Accepted("after"));
  ahead.store.outage = false;
  world.scheduler.RunFor(10'000);
  CHECK(ahead.regressions == 1);
  CHECK(ahead.Hash() == planner.Hash());
}

// Guards against a process that starts on a restored log before the entries
// that hold the current state could write it, and builds on old content.
TEST_CASE("holds.recovery: a restored log is not built on at once") {
  World world;
  SessionSettings settings = SmallSnapshots();
  auto writer =
      std::make_unique<Node>("a", 1, world.log, world.scheduler, settings);
  writer->plans = true;
  world.scheduler.RunFor(2'000);
  for (int round = 0; round < 5; ++round) {
    ProposeMany(*writer, "r" + std::to_string(round) + "-", 10);
    world.scheduler.RunFor(9'000);
  }
  writer->session.reset();
  world.log.StartLineage(true);
  Node fresh("c", 1, world.log, world.scheduler, settings);
  world.scheduler.RunFor(5'000);
  CHECK_FALSE(fresh.session->Ready());
  world.scheduler.RunFor(20'000);
  CHECK(fresh.session->Ready());
  CHECK(fresh.State().names.size() == 50);
}

// Guards against a process that starts on a log that has just restarted empty,
// serves an empty state and lets the log go on from it.
TEST_CASE("holds.recovery: a restarted log is not taken for a new one") {
  for (const bool has_peer : {false, true}) {
    CAPTURE(has_peer);
    World world;
    Node holder("a", 1, world.log, world.scheduler);
    world.scheduler.RunFor(2'000);
    ProposeMany(holder, "n", 10);
    world.scheduler.RunFor(2'000);
    world.log.StartLineage(false);
    Node fresh("b", 1, world.log, world.scheduler);
    fresh.peer = has_peer ? &holder : nullptr;
    world.scheduler.RunFor(900);
    CHECK(fresh.session->Ready() == has_peer);
    CHECK(fresh.State().names.size() == (has_peer ? 10 : 0));
    world.scheduler.RunFor(2'000);
    holder.plans = true;
    world.scheduler.RunFor(10'000);
    CHECK(fresh.session->CanPropose());
    CHECK(fresh.Hash() == holder.Hash());
    CHECK(fresh.divergences.empty());
  }
}

// Guards against a difference between replicas that nobody notices.
TEST_CASE("holds.replicas_agree: a differing hash is reported") {
  World world;
  Node writer("a", 1, world.log, world.scheduler, SmallSnapshots());
  Node reader("b", 1, world.log, world.scheduler, SmallSnapshots());
  world.scheduler.RunFor(2'000);
  ProposeMany(writer, "n", 10);
  world.scheduler.RunFor(2'000);
  records::Snapshot wrong = writer.session->CurrentReplica().Save();
  wrong.set_state_hash(wrong.state_hash() + 1);
  for (const auto& chunk : SplitSnapshot(wrong, WriterNamed("c"))) {
    world.log.Append(std::string(kSnapshots), {chunk.SerializeAsString()},
                     world.scheduler.Now());
  }
  world.scheduler.RunFor(2'000);
  REQUIRE(reader.divergences.size() == 1);
  CHECK(reader.divergences[0].offset == 10);
  CHECK(reader.divergences[0].own_hash == writer.Hash());
}

// Guards against a process that can never write again because it was silent
// for longer than writers are remembered.
TEST_CASE("a writer that was forgotten goes on under a new incarnation") {
  World world;
  const std::uint64_t now_us = 1'000'000'000;
  Node silent("a", now_us, world.log, world.scheduler);
  Node other("b", now_us + 1'000, world.log, world.scheduler);
  world.scheduler.RunFor(2'000);
  silent.Propose("first");
  other.Propose("only");
  world.scheduler.RunFor(2'000);
  const std::int64_t later_ms =
      WriterPositions::kMemoryMs + 2 * WriterPositions::kSweepMs;
  for (const char* name : {"x", "y"}) {
    auto record = NamedRecord(name);
    *record.mutable_writer() = WriterNamed("c", 1ULL << 60);
    record.set_sequence(name[0] - 'x' + 1);
    world.log.Append(
        std::string(kRecords), {record.SerializeAsString()},
        world.scheduler.Now().After(later_ms + (name[0] - 'x') * 4'000'000));
    world.scheduler.RunFor(2'000);
  }
  CHECK(silent.session->CurrentReplica().Writers().size() == 1);
  silent.Propose("second");
  world.scheduler.RunFor(2'000);
  CHECK(silent.Accepted("second"));
  CHECK(silent.session->WriterName().incarnation() > now_us + 1'000);
}

struct Seen {
  std::set<std::string> accepted;
  std::set<std::string> unknown;
};

void Collect(const Node& node, Seen& seen) {
  for (const auto& [name, result] : node.results) {
    if (result.outcome == ProposalOutcome::kDecided) {
      RC_ASSERT(result.verdict == Verdict::kAccepted);
      seen.accepted.insert(name);
    } else if (result.outcome == ProposalOutcome::kVerdictUnknown) {
      seen.unknown.insert(name);
    }
  }
}

// Guards, over random losses, late writes, outages, restarts and expiry,
// against a record that is lost or applied twice, a verdict that was wrong, and
// replicas that end with different states.
TEST_CASE("holds.replicas_agree: random faults lose and repeat nothing") {
  std::uint64_t repeats = 0;
  int replaced = 0;
  int partial_answers = 0;
  const bool passed = rc::check([&] {
    const auto seed =
        *rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>());
    std::mt19937 random(seed);
    const auto below = [&](std::uint32_t limit) {
      return static_cast<int>(random() % limit);
    };
    World world;
    SessionSettings settings = SmallSnapshots();
    settings.appender.max_batch_records = 1 + random() % 8;
    Seen seen;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Node>> ended;
    std::uint64_t incarnation = 0;
    const auto start = [&](int index) {
      auto node =
          std::make_unique<Node>("n" + std::to_string(index), ++incarnation,
                                 world.log, world.scheduler, settings);
      node->store.draw = [&] { return below(100); };
      node->store.lost_requests = 10;
      node->store.lost_answers = 20;
      node->store.late_writes = 30;
      node->store.late_by_ms = below(20'000);
      node->plans = index == 0;
      return node;
    };
    nodes.reserve(3);
    for (int i = 0; i < 3; ++i) {
      nodes.push_back(start(i));
    }
    int next_name = 0;
    for (int step = 0; step < 40; ++step) {
      const int index = below(3);
      Node& node = *nodes[index];
      switch (below(8)) {
        case 0:
          node.store.outage = !node.store.outage;
          break;
        case 1:
          Collect(node, seen);
          // Calls that are under way still refer to the store of the node.
          node.session.reset();
          ended.push_back(std::move(nodes[index]));
          nodes[index] = start(index);
          break;
        case 2:
          for (auto& each : nodes) {
            each->peer = below(2) == 0 ? nullptr : nodes[below(3)].get();
            each->peer = each->peer == each.get() ? nullptr : each->peer;
          }
          break;
        case 3:
          // Only records that every reader can get from a snapshot or a peer.
          if (nodes[0]->session->Ready()) {
            world.log.ExpireBefore(
                std::string(kRecords),
                std::min<Offset>(nodes[0]->session->AppliedOffset(),
                                 world.log.NextOffset(std::string(kRecords))) *
                    3 / 4);
          }
          break;
        default:
          for (int i = below(12); i >= 0; --i) {
            node.Propose("p" + std::to_string(next_name++));
          }
      }
      // A node that was replaced must not be asked any more.
      for (auto& each : nodes) {
        const bool known = std::any_of(
            nodes.begin(), nodes.end(),
            [&](const auto& other) { return other.get() == each->peer; });
        each->peer = known ? each->peer : nullptr;
      }
      world.scheduler.RunFor(below(4'000));
    }
    for (auto& node : nodes) {
      node->store.outage = false;
      node->store.lost_requests = 0;
      node->store.lost_answers = 0;
      node->peer = nullptr;
    }
    world.scheduler.RunFor(60'000);
    // A replica that holds no state may lack a peer; it must say so.
    const auto ready =
        std::find_if(nodes.begin(), nodes.end(),
                     [](const auto& node) { return node->session->Ready(); });
    RC_PRE(ready != nodes.end());
    for (auto& node : nodes) {
      node->peer = node == *ready ? nullptr : ready->get();
    }
    world.scheduler.RunFor(60'000);
    for (const auto& node : nodes) {
      Collect(*node, seen);
      RC_ASSERT(node->session->Ready());
      RC_ASSERT(node->Hash() == (*ready)->Hash());
      RC_ASSERT(node->State().applied_twice == 0u);
      RC_ASSERT(node->divergences.empty());
      RC_ASSERT(node->results.size() == node->proposed);
      repeats += node->session->CurrentReplica().Counts().repeats;
      replaced += node->replaced;
      partial_answers += node->partial_answers;
    }
    for (const auto& name : seen.accepted) {
      RC_ASSERT((*ready)->State().known.contains(name));
    }
    for (const auto& name : seen.unknown) {
      RC_ASSERT((*ready)->State().known.contains(name));
    }
  });
  CHECK(passed);
  // Without these the runs would not have met the faults.
  CHECK(repeats > 0);
  CHECK(replaced > 0);
  CHECK(partial_answers > 0);
}

}  // namespace
}  // namespace carobrill::ledger
