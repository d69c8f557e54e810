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

struct Simulation {
  LogStore log;
  VirtualScheduler scheduler;
};

void ProposeMany(Node& node, const std::string& prefix, int count) {
  for (int i = 0; i < count; ++i) {
    node.Propose(prefix + std::to_string(i));
  }
}

// Guards against a replica that never becomes ready on an empty log, and
// against callers that get a wrong verdict or offset.
TEST_CASE("holds.recovery: a log without snapshots is replayed from offset 0") {
  Simulation simulation;
  Node first("a", 1, simulation.log, simulation.scheduler);
  CHECK_FALSE(first.session->Ready());
  simulation.scheduler.RunFor(3'000);
  REQUIRE(first.session->Ready());
  first.Propose("x");
  first.Propose("x");
  simulation.scheduler.RunFor(1'000);
  CHECK(first.Accepted("x") == false);
  CHECK(first.results["x"].verdict == Verdict::kWrongState);
  CHECK(first.results["x"].offset == 1);
  Node second("b", 1, simulation.log, simulation.scheduler);
  simulation.scheduler.RunFor(3'000);
  CHECK(second.session->Ready());
  CHECK(second.session->AppliedOffset() == 2);
  CHECK(second.Hash() == first.Hash());
}

// Guards against records that are lost or applied twice when replies of the log
// service are lost, and against waiting for a reply that never arrives.
TEST_CASE("holds.replicas_agree: lost replies lose and repeat nothing") {
  Simulation simulation;
  Node node("a", 1, simulation.log, simulation.scheduler);
  simulation.scheduler.RunFor(2'000);
  node.store.draw_percent = [] { return 0; };
  node.store.lost_reply_percent = 50;
  node.store.late_write_percent = 50;
  ProposeMany(node, "n", 10);
  simulation.scheduler.RunFor(9'000);
  node.store.lost_reply_percent = 0;
  simulation.scheduler.RunFor(20'000);
  CHECK(node.State().names.size() == 10);
  CHECK(node.State().applied_twice == 0);
  CHECK(node.session->CurrentReplica().Counts().repeats > 0);
  for (int i = 0; i < 10; ++i) {
    CHECK(node.Accepted("n" + std::to_string(i)));
  }
}

// Guards against reporting a record as not written that is written later.
TEST_CASE("a proposal can be abandoned only before it is sent") {
  Simulation simulation;
  Node node("a", 1, simulation.log, simulation.scheduler);
  CHECK(node.Propose("early") == 0);
  simulation.scheduler.RunFor(2'000);
  CHECK(node.results["early"].outcome == ProposalOutcome::kNotWritten);
  node.store.outage = true;
  const auto sent = node.Propose("sent");
  simulation.scheduler.RunFor(100);
  const auto queued = node.Propose("queued");
  simulation.scheduler.RunFor(5'000);
  CHECK(node.session->InOutage());
  CHECK(node.session->Ready());
  CHECK(node.session->StateOf(sent) == ProposalState::kSent);
  CHECK(node.session->StateOf(queued) == ProposalState::kQueued);
  CHECK_FALSE(node.session->Abandon(sent));
  CHECK(node.session->Abandon(queued));
  node.store.outage = false;
  simulation.scheduler.RunFor(5'000);
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
// snapshot that is not compared with the state of other replicas.
TEST_CASE("holds.recovery: an expired log is recovered from a snapshot") {
  Simulation simulation;
  Node writer("a", 1, simulation.log, simulation.scheduler, SmallSnapshots());
  Node reader("b", 1, simulation.log, simulation.scheduler, SmallSnapshots());
  writer.is_planner = true;
  simulation.scheduler.RunFor(2'000);
  for (int round = 0; round < 10; ++round) {
    ProposeMany(writer, "r" + std::to_string(round) + "-", 10);
    simulation.scheduler.RunFor(2'000);
  }
  simulation.scheduler.RunFor(10'000);
  CHECK(reader.session->ComparedSnapshots() > 0);
  CHECK(reader.divergences.empty());
  simulation.log.ExpireBefore(std::string(kRecords), 40);
  Node fresh("c", 1, simulation.log, simulation.scheduler, SmallSnapshots());
  simulation.scheduler.RunFor(5'000);
  CHECK(fresh.session->Ready());
  CHECK(fresh.Hash() == writer.Hash());
  CHECK(fresh.applied_offsets.size() < 100);
}

// Guards against a replica that stays behind or skips records when its position
// expires while it cannot read.
TEST_CASE(
    "holds.recovery: a replica survives an outage longer than the retention") {
  Simulation simulation;
  SessionSettings settings = SmallSnapshots();
  settings.records_per_snapshot = 30;
  Node writer("a", 1, simulation.log, simulation.scheduler, settings);
  Node disconnected("b", 1, simulation.log, simulation.scheduler, settings);
  writer.is_planner = true;
  simulation.scheduler.RunFor(2'000);
  disconnected.store.outage = true;
  disconnected.Propose("own");
  for (int round = 0; round < 5; ++round) {
    ProposeMany(writer, "r" + std::to_string(round) + "-", 10);
    simulation.scheduler.RunFor(5'000);
  }
  CHECK(disconnected.session->Ready());
  simulation.log.ExpireBefore(std::string(kRecords), 30);
  disconnected.store.outage = false;
  simulation.scheduler.RunFor(20'000);
  CHECK(disconnected.session->Ready());
  CHECK(disconnected.Accepted("own"));
  CHECK(disconnected.Hash() == writer.Hash());
}

// Guards against a replica that serves a state with missing records.
TEST_CASE("holds.recovery: nothing is served while records are missing") {
  Simulation simulation;
  Node writer("a", 1, simulation.log, simulation.scheduler);
  simulation.scheduler.RunFor(2'000);
  ProposeMany(writer, "n", 10);
  simulation.scheduler.RunFor(2'000);
  simulation.log.ExpireBefore(std::string(kRecords), 5);
  Node fresh("b", 1, simulation.log, simulation.scheduler);
  simulation.scheduler.RunFor(10'000);
  CHECK_FALSE(fresh.session->Ready());
  CHECK(fresh.State().names.empty());
  fresh.peer = &writer;
  simulation.scheduler.RunFor(10'000);
  CHECK(fresh.session->Ready());
  CHECK(fresh.Hash() == writer.Hash());
}

// Guards against an entry that cannot start during an outage although a peer
// has the state, and against losing later records once the outage ends.
TEST_CASE("holds.recovery: a peer's state is used during an outage") {
  Simulation simulation;
  Node peer("a", 1, simulation.log, simulation.scheduler);
  simulation.scheduler.RunFor(2'000);
  ProposeMany(peer, "n", 10);
  simulation.scheduler.RunFor(2'000);
  Node fresh("b", 1, simulation.log, simulation.scheduler);
  fresh.store.outage = true;
  fresh.peer = &peer;
  simulation.scheduler.RunFor(5'000);
  CHECK(fresh.session->Ready());
  CHECK(fresh.session->InOutage());
  CHECK(fresh.Hash() == peer.Hash());
  ProposeMany(peer, "m", 10);
  simulation.scheduler.RunFor(2'000);
  fresh.store.outage = false;
  simulation.scheduler.RunFor(5'000);
  CHECK(fresh.State().names.size() == 20);
  CHECK(fresh.Hash() == peer.Hash());
}

// Guards against a lagging peer that replaces a newer state.
TEST_CASE("holds.recovery: a lagging peer changes nothing") {
  Simulation simulation;
  Node lagging("a", 1, simulation.log, simulation.scheduler);
  simulation.scheduler.RunFor(2'000);
  Node writer("b", 1, simulation.log, simulation.scheduler);
  simulation.scheduler.RunFor(2'000);
  lagging.store.outage = true;
  ProposeMany(writer, "n", 10);
  simulation.scheduler.RunFor(2'000);
  const auto answer = lagging.session->Serve(
      {writer.session->Lineage(), writer.session->AppliedOffset()});
  REQUIRE(answer.has_value());
  CHECK_FALSE(answer->IsFull());
  CHECK(answer->records.empty());
  const records::Snapshot old = lagging.session->CurrentReplica().Save();
  CHECK_FALSE(
      Recovery::MayLoadFromPeer({"lineage-1", 10, Instant{1}}, "", old));
  // The offset of the writer expires without a snapshot, and only the lagging
  // peer answers.
  writer.store.outage = true;
  Node other("c", 1, simulation.log, simulation.scheduler);
  simulation.scheduler.RunFor(2'000);
  ProposeMany(other, "m", 10);
  simulation.scheduler.RunFor(2'000);
  simulation.log.ExpireBefore(std::string(kRecords), 15);
  writer.peer = &lagging;
  writer.store.outage = false;
  simulation.scheduler.RunFor(10'000);
  CHECK_FALSE(writer.session->Ready());
  CHECK(writer.session->AppliedOffset() == 10);
  writer.peer = &other;
  simulation.scheduler.RunFor(10'000);
  CHECK(writer.session->Ready());
  CHECK(writer.partial_answers > 0);
  CHECK(writer.Hash() == other.Hash());
}

// Guards against a peer on the previous lineage that replaces the state of a
// replica whose offset has expired.
TEST_CASE("holds.recovery: a peer with the previous lineage changes nothing") {
  Simulation simulation;
  Node node("a", 1, simulation.log, simulation.scheduler);
  Node old_lineage_node("b", 1, simulation.log, simulation.scheduler);
  simulation.scheduler.RunFor(2'000);
  ProposeMany(node, "n", 10);
  simulation.scheduler.RunFor(2'000);
  old_lineage_node.store.outage = true;
  simulation.log.StartLineage(false);
  node.is_planner = true;
  simulation.scheduler.RunFor(10'000);
  REQUIRE(node.session->Lineage() == "lineage-2");
  Node other("c", 1, simulation.log, simulation.scheduler);
  simulation.scheduler.RunFor(5'000);
  node.store.outage = true;
  ProposeMany(other, "m", 10);
  simulation.scheduler.RunFor(2'000);
  simulation.log.ExpireBefore(std::string(kRecords), 5);
  node.peer = &old_lineage_node;
  node.store.outage = false;
  simulation.scheduler.RunFor(10'000);
  CHECK_FALSE(node.session->Ready());
  CHECK(node.session->Lineage() == "lineage-2");
  node.peer = &other;
  simulation.scheduler.RunFor(10'000);
  CHECK(node.session->Ready());
  CHECK(node.State().names.size() == 20);
  CHECK(node.Hash() == other.Hash());
}

// Guards against a state that reverts when the log restarts empty or from an
// old copy, and against replicas that diverge afterwards.
TEST_CASE("holds.recovery: a new lineage starts from the current state") {
  for (const bool keep_content : {false, true}) {
    CAPTURE(keep_content);
    Simulation simulation;
    SessionSettings settings = SmallSnapshots();
    settings.records_per_snapshot = 1'000;
    Node planner("a", 1, simulation.log, simulation.scheduler, settings);
    Node other("b", 1, simulation.log, simulation.scheduler, settings);
    simulation.scheduler.RunFor(2'000);
    ProposeMany(planner, "n", 10);
    ProposeMany(other, "m", 10);
    simulation.scheduler.RunFor(2'000);
    simulation.log.StartLineage(keep_content);
    simulation.scheduler.RunFor(3'000);
    CHECK(planner.session->CurrentRecoveryState() ==
          RecoveryState::kLineageChanged);
    CHECK(planner.session->Ready());
    CHECK_FALSE(planner.session->CanPropose());
    CHECK(planner.Propose("refused") == 0);
    planner.is_planner = true;
    simulation.scheduler.RunFor(10'000);
    CHECK(planner.session->CanPropose());
    CHECK(other.session->CanPropose());
    CHECK(planner.State().names.size() == 20);
    planner.Propose("after");
    other.Propose("later");
    simulation.scheduler.RunFor(5'000);
    CHECK(planner.Accepted("after"));
    CHECK(other.Accepted("later"));
    CHECK(other.State().applied_twice == 0);
    CHECK(planner.regressions + other.regressions == 0);
    Node fresh("c", 1, simulation.log, simulation.scheduler, settings);
    simulation.scheduler.RunFor(5'000);
    CHECK(other.Hash() == planner.Hash());
    CHECK(fresh.Hash() == planner.Hash());
    CHECK(fresh.State().names.size() == 22);
  }
}

// Guards against a lagging planner that makes the others revert by writing the
// initial snapshot of a new lineage.
TEST_CASE("holds.recovery: an older state does not start a lineage") {
  Simulation simulation;
  SessionSettings settings = SmallSnapshots();
  settings.records_per_snapshot = 1'000;
  Node planner("a", 1, simulation.log, simulation.scheduler, settings);
  Node ahead("b", 1, simulation.log, simulation.scheduler, settings);
  simulation.scheduler.RunFor(2'000);
  planner.store.outage = true;
  ProposeMany(ahead, "n", 10);
  simulation.scheduler.RunFor(2'000);
  simulation.log.StartLineage(false);
  planner.store.outage = false;
  planner.is_planner = true;
  simulation.scheduler.RunFor(20'000);
  CHECK(ahead.State().names.size() == 10);
  CHECK(ahead.regressions == 0);
  CHECK(planner.Hash() == ahead.Hash());
  planner.Propose("after");
  simulation.scheduler.RunFor(5'000);
  CHECK(planner.Accepted("after"));
  CHECK(planner.Hash() == ahead.Hash());
}

// Guards against a replica that never rejoins the log after the others have
// continued without its newer state.
TEST_CASE("holds.recovery: a log that moved on without the newest state wins") {
  Simulation simulation;
  SessionSettings settings = SmallSnapshots();
  settings.records_per_snapshot = 1'000;
  Node planner("a", 1, simulation.log, simulation.scheduler, settings);
  Node ahead("b", 1, simulation.log, simulation.scheduler, settings);
  simulation.scheduler.RunFor(2'000);
  planner.store.outage = true;
  ProposeMany(ahead, "n", 10);
  simulation.scheduler.RunFor(2'000);
  simulation.log.StartLineage(false);
  ahead.store.outage = true;
  planner.store.outage = false;
  planner.is_planner = true;
  simulation.scheduler.RunFor(10'000);
  planner.Propose("after");
  simulation.scheduler.RunFor(5'000);
  CHECK(planner.Accepted("after"));
  ahead.store.outage = false;
  simulation.scheduler.RunFor(10'000);
  CHECK(ahead.regressions == 1);
  CHECK(ahead.Hash() == planner.Hash());
}

// Guards against a process that starts on a restored log and loads its old
// contents before an entry that holds the current state could write it.
TEST_CASE("holds.recovery: a restored log is not relied on immediately") {
  Simulation simulation;
  SessionSettings settings = SmallSnapshots();
  auto writer = std::make_unique<Node>("a", 1, simulation.log,
                                       simulation.scheduler, settings);
  writer->is_planner = true;
  simulation.scheduler.RunFor(2'000);
  for (int round = 0; round < 5; ++round) {
    ProposeMany(*writer, "r" + std::to_string(round) + "-", 10);
    simulation.scheduler.RunFor(9'000);
  }
  writer->session.reset();
  simulation.log.StartLineage(true);
  Node fresh("c", 1, simulation.log, simulation.scheduler, settings);
  simulation.scheduler.RunFor(5'000);
  CHECK_FALSE(fresh.session->Ready());
  simulation.scheduler.RunFor(20'000);
  CHECK(fresh.session->Ready());
  CHECK(fresh.State().names.size() == 50);
}

// Guards against a process that starts on a log that has just restarted empty,
// serves an empty state and lets the log continue from it.
TEST_CASE("holds.recovery: a restarted log is not treated as new") {
  for (const bool has_peer : {false, true}) {
    CAPTURE(has_peer);
    Simulation simulation;
    Node holder("a", 1, simulation.log, simulation.scheduler);
    simulation.scheduler.RunFor(2'000);
    ProposeMany(holder, "n", 10);
    simulation.scheduler.RunFor(2'000);
    simulation.log.StartLineage(false);
    Node fresh("b", 1, simulation.log, simulation.scheduler);
    fresh.peer = has_peer ? &holder : nullptr;
    simulation.scheduler.RunFor(900);
    CHECK(fresh.session->Ready() == has_peer);
    CHECK(fresh.State().names.size() == (has_peer ? 10 : 0));
    simulation.scheduler.RunFor(2'000);
    holder.is_planner = true;
    simulation.scheduler.RunFor(10'000);
    CHECK(fresh.session->CanPropose());
    CHECK(fresh.Hash() == holder.Hash());
    CHECK(fresh.divergences.empty());
  }
}

// Guards against an undetected divergence between replicas.
TEST_CASE("holds.replicas_agree: a diverging hash is reported") {
  Simulation simulation;
  Node writer("a", 1, simulation.log, simulation.scheduler, SmallSnapshots());
  Node reader("b", 1, simulation.log, simulation.scheduler, SmallSnapshots());
  simulation.scheduler.RunFor(2'000);
  ProposeMany(writer, "n", 10);
  simulation.scheduler.RunFor(2'000);
  records::Snapshot wrong = writer.session->CurrentReplica().Save();
  wrong.set_state_hash(wrong.state_hash() + 1);
  for (const auto& chunk : SplitSnapshot(wrong, WriterNamed("c"))) {
    simulation.log.Append(std::string(kSnapshots), {chunk.SerializeAsString()},
                          simulation.scheduler.Now());
  }
  simulation.scheduler.RunFor(2'000);
  REQUIRE(reader.divergences.size() == 1);
  CHECK(reader.divergences[0].offset == 10);
  CHECK(reader.divergences[0].local_hash == writer.Hash());
}

// Guards against a process that can never write again because it was inactive
// for longer than writer positions are retained.
TEST_CASE("a dropped writer carries on under a new incarnation") {
  Simulation simulation;
  const std::uint64_t now_us = 1'000'000'000;
  Node silent("a", now_us, simulation.log, simulation.scheduler);
  Node other("b", now_us + 1'000, simulation.log, simulation.scheduler);
  simulation.scheduler.RunFor(2'000);
  silent.Propose("first");
  other.Propose("only");
  simulation.scheduler.RunFor(2'000);
  const std::int64_t later_ms =
      WriterPositions::kRetentionMs + 2 * WriterPositions::kSweepIntervalMs;
  for (const char* name : {"x", "y"}) {
    auto record = NamedRecord(name);
    *record.mutable_writer() = WriterNamed("c", 1ULL << 60);
    record.set_sequence(name[0] - 'x' + 1);
    simulation.log.Append(std::string(kRecords), {record.SerializeAsString()},
                          simulation.scheduler.Now().After(
                              later_ms + (name[0] - 'x') * 4'000'000));
    simulation.scheduler.RunFor(2'000);
  }
  CHECK(silent.session->CurrentReplica().Writers().size() == 1);
  silent.Propose("second");
  simulation.scheduler.RunFor(2'000);
  CHECK(silent.Accepted("second"));
  CHECK(silent.session->WriterId().incarnation() > now_us + 1'000);
}

struct ReportedOutcomes {
  std::set<std::string> accepted;
  std::set<std::string> unknown;
};

void CollectOutcomes(const Node& node, ReportedOutcomes& outcomes) {
  for (const auto& [name, result] : node.results) {
    if (result.outcome == ProposalOutcome::kDecided) {
      RC_ASSERT(result.verdict == Verdict::kAccepted);
      outcomes.accepted.insert(name);
    } else if (result.outcome == ProposalOutcome::kVerdictUnknown) {
      outcomes.unknown.insert(name);
    }
  }
}

// With random message loss, late writes, outages, restarts and expiry, guards
// against records that are lost or applied twice, wrong verdicts, and replicas
// that end in different states.
TEST_CASE("holds.replicas_agree: random faults lose and repeat nothing") {
  std::uint64_t repeats = 0;
  int state_replacements = 0;
  int partial_answers = 0;
  const bool passed = rc::check([&] {
    const auto seed =
        *rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>());
    std::mt19937 random(seed);
    const auto random_below = [&](std::uint32_t limit) {
      return static_cast<int>(random() % limit);
    };
    Simulation simulation;
    SessionSettings settings = SmallSnapshots();
    settings.appender.max_batch_records = 1 + random() % 8;
    ReportedOutcomes outcomes;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Node>> stopped_nodes;
    std::uint64_t incarnation = 0;
    const auto start = [&](int index) {
      auto node = std::make_unique<Node>("n" + std::to_string(index),
                                         ++incarnation, simulation.log,
                                         simulation.scheduler, settings);
      node->store.draw_percent = [&] { return random_below(100); };
      node->store.lost_request_percent = 10;
      node->store.lost_reply_percent = 20;
      node->store.late_write_percent = 30;
      node->store.late_by_ms = random_below(20'000);
      node->is_planner = index == 0;
      return node;
    };
    nodes.reserve(3);
    for (int i = 0; i < 3; ++i) {
      nodes.push_back(start(i));
    }
    int next_name = 0;
    for (int step = 0; step < 40; ++step) {
      const int index = random_below(3);
      Node& node = *nodes[index];
      switch (random_below(8)) {
        case 0:
          node.store.outage = !node.store.outage;
          break;
        case 1:
          CollectOutcomes(node, outcomes);
          // Calls in flight still refer to the store of the node.
          node.session.reset();
          stopped_nodes.push_back(std::move(nodes[index]));
          nodes[index] = start(index);
          break;
        case 2:
          for (auto& each : nodes) {
            each->peer =
                random_below(2) == 0 ? nullptr : nodes[random_below(3)].get();
            each->peer = each->peer == each.get() ? nullptr : each->peer;
          }
          break;
        case 3:
          // Expires only records that every reader can get from a snapshot or a
          // peer.
          if (nodes[0]->session->Ready()) {
            simulation.log.ExpireBefore(
                std::string(kRecords),
                std::min<Offset>(
                    nodes[0]->session->AppliedOffset(),
                    simulation.log.NextOffset(std::string(kRecords))) *
                    3 / 4);
          }
          break;
        default:
          for (int i = random_below(12); i >= 0; --i) {
            node.Propose("p" + std::to_string(next_name++));
          }
      }
      // A node that was replaced must not be used as a peer.
      for (auto& each : nodes) {
        const bool known = std::any_of(
            nodes.begin(), nodes.end(),
            [&](const auto& other) { return other.get() == each->peer; });
        each->peer = known ? each->peer : nullptr;
      }
      simulation.scheduler.RunFor(random_below(4'000));
    }
    for (auto& node : nodes) {
      node->store.outage = false;
      node->store.lost_request_percent = 0;
      node->store.lost_reply_percent = 0;
      node->peer = nullptr;
    }
    simulation.scheduler.RunFor(60'000);
    // A replica without state may have no peer and then must not be ready.
    const auto ready =
        std::find_if(nodes.begin(), nodes.end(),
                     [](const auto& node) { return node->session->Ready(); });
    RC_PRE(ready != nodes.end());
    for (auto& node : nodes) {
      node->peer = node == *ready ? nullptr : ready->get();
    }
    simulation.scheduler.RunFor(60'000);
    for (const auto& node : nodes) {
      CollectOutcomes(*node, outcomes);
      RC_ASSERT(node->session->Ready());
      RC_ASSERT(node->Hash() == (*ready)->Hash());
      RC_ASSERT(node->State().applied_twice == 0u);
      RC_ASSERT(node->divergences.empty());
      RC_ASSERT(node->results.size() == node->proposed);
      repeats += node->session->CurrentReplica().Counts().repeats;
      state_replacements += node->state_replacements;
      partial_answers += node->partial_answers;
    }
    for (const auto& name : outcomes.accepted) {
      RC_ASSERT((*ready)->State().known.contains(name));
    }
    for (const auto& name : outcomes.unknown) {
      RC_ASSERT((*ready)->State().known.contains(name));
    }
  });
  CHECK(passed);
  // Ensures that the runs have covered the faults.
  CHECK(repeats > 0);
  CHECK(state_replacements > 0);
  CHECK(partial_answers > 0);
}

}  // namespace
}  // namespace carobrill::ledger
