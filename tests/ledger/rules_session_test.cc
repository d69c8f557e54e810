#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>
#include <string>

#include "packages/rules/rule_book.h"
#include "tests/ledger/simulation.h"

namespace carobrill::ledger {
namespace {

using RuleNode = BasicNode<rules::RuleBook>;

records::Record Publication(std::uint64_t base) {
  records::Record record;
  auto* published = record.mutable_rules_published();
  published->set_base_version(base);
  published->set_author("operator");
  published->set_text("account a quota=" + std::to_string(base) +
                      " # asked by: A\n");
  return record;
}

/// Checks that the rules version of one entry never decreases.
struct VersionMonitor {
  void Check(const RuleNode& node) {
    const std::uint64_t version = node.State().Version();
    RC_ASSERT(version >= this->highest || node.regressions > 0);
    this->highest = std::max(this->highest, version);
  }

  std::uint64_t highest = 0;
};

/// Returns all retained records of a stream.
std::vector<StoreRecord> Copy(const testing::LogStore& log,
                              std::string_view stream) {
  ReadQuery query{std::string(stream), 0, 10'000, 0};
  ReadReply reply = log.Read(query);
  if (reply.failure == StoreFailure::kExpired) {
    query.from = reply.oldest_offset;
    reply = log.Read(query);
  }
  return reply.records;
}

// Guards against rules that revert or differ between entries after an old
// snapshot, a duplicate, corrupt or expired record, an outage, a restart, a
// lagging peer or a change of lineage.
TEST_CASE("holds.rules: an accepted rule file is never reverted") {
  std::uint64_t accepted = 0;
  std::uint64_t repeats = 0;
  int state_replacements = 0;
  const bool passed = rc::check([&] {
    std::mt19937 random(
        *rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()));
    testing::LogStore log;
    VirtualScheduler scheduler;
    SessionSettings settings;
    settings.records_per_snapshot = 10;
    settings.records_per_checkpoint = 5;
    settings.snapshot_poll_ms = 500;
    std::vector<std::unique_ptr<RuleNode>> nodes;
    std::vector<std::unique_ptr<RuleNode>> stopped_nodes;
    std::vector<VersionMonitor> monitors(3);
    std::uint64_t incarnation = 0;
    const auto start = [&](std::size_t index) {
      monitors[index] = {};
      auto node = std::make_unique<RuleNode>(
          "n" + std::to_string(index), ++incarnation, log, scheduler, settings);
      node->is_planner = index == 0;
      return node;
    };
    for (std::size_t i = 0; i < 3; ++i) {
      nodes.push_back(start(i));
    }
    const auto run = [&](int seconds) {
      for (int i = 0; i < 10 * seconds; ++i) {
        scheduler.RunFor(100);
        for (std::size_t j = 0; j < 3; ++j) {
          monitors[j].Check(*nodes[j]);
        }
      }
    };
    const auto append_copy = [&](std::string_view stream, bool damaged) {
      const auto stored = Copy(log, stream);
      if (!stored.empty()) {
        const std::string& data = stored[random() % stored.size()].data;
        log.Append(std::string(stream),
                   {damaged ? Mutated(data, random) : data}, scheduler.Now());
      }
    };
    std::uint64_t highest = 0;
    run(3);
    for (int step = 0; step < 30; ++step) {
      const std::size_t index = random() % 3;
      RuleNode& node = *nodes[index];
      switch (random() % 10) {
        case 0:
          node.store.outage = !node.store.outage;
          break;
        case 1:
          // Restarting the last entry that holds the newest state would lose it
          // by definition.
          if (nodes[(index + 1) % 3]->session->CanPropose() &&
              monitors[(index + 1) % 3].highest >= highest) {
            node.session.reset();
            stopped_nodes.push_back(std::move(nodes[index]));
            nodes[index] = start(index);
          }
          break;
        case 2:
          append_copy(kRecords, random() % 2 == 0);
          break;
        case 3:
          for (const auto& chunk : Copy(log, kSnapshots)) {
            log.Append(std::string(kSnapshots), {chunk.data}, scheduler.Now());
          }
          append_copy(kSnapshots, true);
          break;
        case 4:
          if (node.session->Ready() &&
              node.session->Lineage() == log.Lineage()) {
            log.ExpireBefore(std::string(kRecords),
                             node.session->AppliedOffset() * 3 / 4);
          }
          break;
        case 5:
          // Requires that every entry is up to date: if a lineage starts while
          // the newest state cannot reach the log, the log continues without
          // that state.
          for (auto& each : nodes) {
            each->store.outage = false;
          }
          run(15);
          if (std::all_of(nodes.begin(), nodes.end(), [](const auto& each) {
                return each->session->CanPropose();
              })) {
            log.StartLineage(random() % 2 == 0);
          }
          break;
        default:
          node.Propose(std::to_string(incarnation) + "-" + std::to_string(step),
                       Publication(node.State().Version()));
      }
      for (std::size_t i = 0; i < 3; ++i) {
        RuleNode* peer = nodes[(i + 1 + random() % 2) % 3].get();
        nodes[i]->peer = peer;
      }
      run(static_cast<int>(random() % 4));
      for (const auto& monitor : monitors) {
        highest = std::max(highest, monitor.highest);
      }
    }
    for (std::size_t i = 0; i < 3; ++i) {
      nodes[i]->store.outage = false;
      nodes[i]->peer = nodes[(i + 1) % 3].get();
    }
    run(60);
    for (const auto& node : nodes) {
      RC_ASSERT(node->session->Ready());
      RC_ASSERT(node->Hash() == nodes[0]->Hash());
      RC_ASSERT(node->divergences.empty());
      RC_ASSERT(node->regressions == 0);
      RC_ASSERT(node->State().Version() >= highest);
      state_replacements += node->state_replacements;
      repeats += node->session->CurrentReplica().Counts().repeats;
    }
    accepted += highest;
  });
  CHECK(passed);
  // Ensures that the runs have covered the faults.
  CHECK(accepted > 0);
  CHECK(repeats > 0);
  CHECK(state_replacements > 0);
}

}  // namespace
}  // namespace carobrill::ledger
