#include "packages/membership/announcement_schedule.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace carobrill::membership {
namespace {

AnnouncementSettings Settings(const std::string& agent) {
  AnnouncementSettings settings;
  settings.self = InstanceId(agent);
  for (int i = 0; i < 6; ++i) {
    settings.entries.push_back("10.0.0." + std::to_string(i) + ":7000");
  }
  return settings;
}

// Guards against an uneven distribution of agents among the entries.
TEST_CASE("agents are distributed over the entries") {
  std::map<std::string, int> heard;
  for (int agent = 0; agent < 900; ++agent) {
    const AnnouncementSchedule schedule(
        Settings("agent-" + std::to_string(agent)), Instant{0});
    CHECK(schedule.SelectedEntries().size() == 2);
    for (const std::string& address : schedule.SelectedEntries()) {
      ++heard[address];
    }
  }
  for (const auto& [address, count] : heard) {
    CHECK(count > 240);
    CHECK(count < 360);
  }
}

// Guards against an agent that loses its lease because an entry failed.
TEST_CASE("a failed entry is replaced immediately and retried later") {
  AnnouncementSchedule schedule(Settings("a"), Instant{0});
  const auto first = schedule.Due(Instant{0});
  REQUIRE(first.size() == 2);
  schedule.OnReply(first[1], 0, Instant{1});
  schedule.OnFailure(first[0], Instant{100});
  const auto replacement = schedule.Due(Instant{100});
  REQUIRE(replacement.size() == 1);
  CHECK(replacement[0] != first[0]);
  CHECK(schedule.Due(Instant{300}) == std::vector<std::string>{first[1]});
  schedule.Due(Instant{5'100});
  const auto chosen = schedule.SelectedEntries();
  CHECK(std::find(chosen.begin(), chosen.end(), first[0]) != chosen.end());
  // With all entries failing, announcements continue.
  for (const std::string& address : Settings("a").entries) {
    schedule.OnFailure(address, Instant{6'000});
  }
  CHECK(schedule.SelectedEntries().size() == 2);
  CHECK(schedule.NextAt() <= Instant{6'000});
}

// Guards against an interval so long that a dead agent is detected late.
TEST_CASE("an entry can lengthen the interval within limits") {
  AnnouncementSchedule schedule(Settings("a"), Instant{0});
  const std::string entry = schedule.Due(Instant{0}).at(0);
  schedule.OnReply(entry, 700, Instant{1});
  CHECK(schedule.IntervalMs(entry) == 700);
  schedule.OnReply(entry, 60'000, Instant{1});
  CHECK(schedule.IntervalMs(entry) == 1'000);
  schedule.OnReply(entry, 0, Instant{1});
  CHECK(schedule.IntervalMs(entry) == 300);
  schedule.AnnounceImmediately(Instant{2});
  CHECK(schedule.Due(Instant{2}).size() == 2);
}

}  // namespace
}  // namespace carobrill::membership
