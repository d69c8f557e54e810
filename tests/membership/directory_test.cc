#include "packages/membership/directory.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <iostream>
#include <set>
#include <string>
#include <vector>

#include "tests/membership/network.h"

namespace carobrill::membership {
namespace {

bool RoutesTo(const Network& network, std::size_t entry, std::size_t agent) {
  const auto serving =
      network.entries[entry].directory->Serving(ServiceId("s"), network.now);
  for (const ServingEndpoint& endpoint : serving) {
    if (endpoint.agent.value == network.agents[agent].id) {
      return true;
    }
  }
  return false;
}

// Guards against membership views that never converge: lost digests that are
// not resent, agents that stay live through stale reports, and mixed-up
// incarnations.
TEST_CASE("entries converge on agents once faults are over") {
  const bool passed = rc::check("views agree", [] {
    Network network(4, 8, 4, *rc::gen::arbitrary<std::uint32_t>());
    network.loss_percent = *rc::gen::inRange(0, 40);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 32)));
    for (const auto& [step, value] : steps) {
      const auto number = static_cast<std::size_t>(value);
      const std::size_t agent = number % 8;
      const std::size_t entry = number % 4;
      const std::string name = network.entries[number / 4 % 4].id;
      switch (step) {
        case 0:
          network.StopAgent(agent);
          break;
        case 1:
          network.RestartAgent(agent);
          break;
        case 2:
          network.agents[agent].state = rpc::ENDPOINT_STATE_LEAVING;
          break;
        case 3:
          network.RestartEntry(entry);
          break;
        case 4:
          network.StopEntry(entry);
          break;
        case 5:
          network.SetConnected(name, network.entries[entry].id, false);
          break;
        case 6:
          network.SetConnected(name, network.agents[agent].id, false);
          break;
        default:
          network.Run(value % 4 == 0 ? 70'000 : value * 50);
      }
    }
    network.loss_percent = 0;
    for (const auto& entry : network.entries) {
      for (const auto& other : network.entries) {
        network.SetConnected(entry.id, other.id, true);
      }
      for (const auto& agent : network.agents) {
        network.SetConnected(entry.id, agent.id, true);
      }
    }
    for (std::size_t entry = 0; entry < network.entries.size(); ++entry) {
      if (!network.entries[entry].running) {
        network.RestartEntry(entry);
      }
    }
    network.Run(12'000);
    const std::string error = network.FindViewError();
    if (!error.empty()) {
      RC_FAIL(error);
    }
  });
  CHECK(passed);
}

// Guards against routing to an endpoint that is gone, leaving or withdrawn,
// both at an entry that hears its agent directly and at one that does not.
TEST_CASE("holds.leaving: no entry routes to an endpoint that leaves") {
  Network network(6, 12, 12, 1);
  network.Run(3'000);
  for (std::size_t entry = 0; entry < 6; ++entry) {
    REQUIRE(RoutesTo(network, entry, 3));
  }
  SUBCASE("it announces that it is leaving") {
    network.agents[3].state = rpc::ENDPOINT_STATE_LEAVING;
    network.agents[3].schedule->AnnounceImmediately(network.now);
    network.Run(400);
  }
  SUBCASE("it falls silent") {
    network.StopAgent(3);
    network.Run(1'350);
  }
  SUBCASE("it falls silent together with an entry that hears it") {
    network.StopAgent(3);
    network.StopEntry(0);
    network.Run(1'350);
    network.RestartEntry(0);
  }
  SUBCASE("its partner is withdrawn") {
    for (auto& entry : network.entries) {
      entry.directory->SetWithdrawals(Withdrawals{{"p"}, {}});
    }
    CHECK_FALSE(RoutesTo(network, 0, 5));
    network.Run(300);
    CHECK(network.agents[3].must_leave);
  }
  SUBCASE("it is drained") {
    for (auto& entry : network.entries) {
      entry.directory->SetWithdrawals(
          Withdrawals{{}, {EndpointId("at agent-3")}});
    }
    CHECK(RoutesTo(network, 0, 5));
    network.Run(300);
    CHECK(network.agents[3].must_leave);
    CHECK_FALSE(network.agents[5].must_leave);
  }
  for (std::size_t entry = 0; entry < 6; ++entry) {
    CHECK_FALSE(RoutesTo(network, entry, 3));
  }
}

// Guards against a worker that stays live for more than 3 s after it stopped,
// even at the longest interval that entries grant.
TEST_CASE("a silent agent becomes suspect everywhere within 3 s") {
  Network network(6, 400, 0, 1);
  network.Run(5'000);
  CHECK(network.entries[0].directory->GrantedIntervalMs() == 1'000);
  REQUIRE(network.FindViewError() == "");
  network.StopAgent(7);
  network.Run(2'650);
  CHECK(network.FindViewError().empty());
}

// Guards against messages of an earlier incarnation that override later ones,
// and against replies meant for a process that no longer exists.
TEST_CASE("messages of different incarnations are distinguished") {
  Network network(1, 1, 1, 1);
  Directory& directory = *network.entries[0].directory;
  network.agents[0].incarnation = 5;
  auto announcement = network.Announcement(network.agents[0]);
  CHECK(directory.OnAnnounce(announcement, network.now).reception ==
        MessageStatus::kAccepted);
  announcement.mutable_peers()->set_sender_incarnation(4);
  const auto stale = directory.OnAnnounce(announcement, network.now);
  CHECK(stale.reception == MessageStatus::kStaleSender);
  CHECK(stale.reply.lease_ms() == 0);
  CHECK(directory.AgentIncarnation(InstanceId("agent-0")) == 5);
  announcement.mutable_peers()->set_sender_incarnation(6);
  announcement.mutable_peers()->set_receiver("entry-0");
  announcement.mutable_peers()->set_receiver_incarnation(9);
  CHECK(directory.OnAnnounce(announcement, network.now).reception ==
        MessageStatus::kWrongReceiver);
  announcement.mutable_peers()->set_receiver_incarnation(kFirstIncarnation);
  announcement.set_state(rpc::ENDPOINT_STATE_JOINING);
  CHECK(directory.OnAnnounce(announcement, network.now).reception ==
        MessageStatus::kAccepted);
  CHECK(directory.AgentIncarnation(InstanceId("agent-0")) == 6);
  CHECK(directory.Serving(ServiceId("s"), network.now).empty());
}

// Guards against digests that repeat acknowledged changes, and against a
// joining peer that does not receive everything.
TEST_CASE("a digest contains what the peer has not acknowledged, and no more") {
  Network network(2, 6, 0, 1);
  network.Run(2'000);
  Directory& directory = *network.entries[0].directory;
  const auto quiet = directory.BuildDigest("10.0.0.1:7000", network.now);
  CHECK(quiet.request.agents_size() == 0);
  network.agents[2].state = rpc::ENDPOINT_STATE_LEAVING;
  directory.OnAnnounce(network.Announcement(network.agents[2]), network.now);
  for (int attempt = 0; attempt < 2; ++attempt) {
    // The first digest is lost.
    const auto digest = directory.BuildDigest("10.0.0.1:7000", network.now);
    CHECK(digest.request.agents_size() == 1);
  }
  const auto joining = directory.BuildDigest("10.0.0.9:7000", network.now);
  CHECK(joining.request.from_start());
  CHECK(joining.request.agents_size() == 6);
}

/// Returns the highest control traffic of an entry in bytes per second,
/// averaged over 20 s after a warm-up of 10 s.
std::int64_t MeasureHighestTraffic(Network& network) {
  network.Run(10'000);
  std::vector<std::int64_t> before;
  before.reserve(network.entries.size());
  for (const auto& entry : network.entries) {
    before.push_back(entry.directory->Traffic().TotalBytes());
  }
  network.Run(20'000);
  std::int64_t highest = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    const std::int64_t bytes =
        network.entries[i].directory->Traffic().TotalBytes() - before[i];
    highest = std::max(highest, bytes / 20);
  }
  return highest;
}

// Guards against digests that exhaust the traffic limit of an entry.
TEST_CASE("digests stay within the traffic limit") {
  Network network(6, 24, 24, 1);
  network.vary_load = true;
  CHECK(MeasureHighestTraffic(network) < 16'384);
}

// Guards against two planners in a stable cluster, none after a failure, and a
// draining planner.
TEST_CASE("all entries rank planners equally, without draining and dead ones") {
  Network network(5, 0, 0, 1);
  network.Run(1'000);
  const auto rank = network.entries[0].directory->PlannerRank(network.now);
  REQUIRE(rank.size() == 5);
  for (const auto& entry : network.entries) {
    CHECK(entry.directory->PlannerRank(network.now) == rank);
  }
  for (std::size_t i = 0; i < 5; ++i) {
    if (InstanceId(network.entries[i].id) == rank[0]) {
      network.StopEntry(i);
    }
    if (InstanceId(network.entries[i].id) == rank[1]) {
      network.entries[i].directory->SetLocalStatus({1, "l", 1, true});
    }
  }
  network.Run(1'350);
  for (const auto& entry : network.entries) {
    if (entry.running) {
      CHECK(entry.directory->PlannerRank(network.now).front() == rank[2]);
    }
  }
}

// Prints the traffic of an entry for several cluster sizes, for
// docs/CAPACITY.md. Guards against growth of the messages: at the longest
// interval an entry can hear 18 agents, 4 of them with endpoints, within its
// limit.
TEST_CASE("traffic of an entry by the number of agents") {
  Network sample(1, 2, 1, 1);
  std::cout << "announcement of an endpoint "
            << sample.Announcement(sample.agents[0]).ByteSizeLong()
            << " B, of a worker "
            << sample.Announcement(sample.agents[1]).ByteSizeLong() << " B\n";
  for (const std::size_t agents : {1, 12, 36, 60, 120, 240, 900}) {
    Network network(6, agents, std::min<std::size_t>(agents, 12), 1);
    network.vary_load = true;
    const std::int64_t highest = MeasureHighestTraffic(network);
    std::size_t heard = 0;
    for (const auto& entry : network.entries) {
      heard = std::max(heard, entry.directory->DirectAgentCount());
    }
    std::cout << agents << " agents, 6 entries: up to " << heard
              << " heard, interval "
              << network.entries[0].directory->GrantedIntervalMs()
              << " ms, up to " << highest << " B/s\n";
    if (heard <= 18) {
      CHECK(highest < 16'384);
    }
  }
}

}  // namespace
}  // namespace carobrill::membership
