#include "packages/daemon/worker_liveness.h"

#include <doctest/doctest.h>

#include <string>

namespace carobrill::daemon {
namespace {

using membership::KnownEntry;
using membership::KnownWorker;
using membership::Liveness;

/// Workers of two regions and an entry in each, as seen from region "a".
struct Fixture {
  Fixture() : liveness(LivenessSettings{RegionId("a"), 2'000, 600'000}) {
    for (const std::string region : {"a", "b"}) {
      for (int i = 0; i < 3; ++i) {
        scheduling::Worker worker;
        worker.id = WorkerId(region + std::to_string(i));
        worker.region = RegionId(region);
        this->registered[worker.id] = worker;
        this->Hear(worker.id);
      }
      KnownEntry entry;
      entry.entry = InstanceId("entry-" + region);
      entry.region = region;
      this->entries.push_back(entry);
    }
  }

  void Hear(const WorkerId& id) {
    KnownWorker known;
    known.worker = id;
    this->heard[id] = known;
  }

  void SilenceRegion(const std::string& region) {
    std::erase_if(this->heard, [&](const auto& item) {
      return item.first.value.starts_with(region);
    });
    for (auto& entry : this->entries) {
      if (entry.region == region) {
        entry.liveness = Liveness::kDead;
      }
    }
  }

  std::set<WorkerId> LostAt(std::int64_t ms) {
    return this->liveness.Lost(this->registered, this->heard, this->entries,
                               Instant{ms});
  }

  WorkerLiveness liveness;
  std::map<WorkerId, scheduling::Worker> registered;
  WorkerMap heard;
  std::vector<KnownEntry> entries;
};

TEST_CASE("one silent worker is lost after the time of silence") {
  // Guards against work that waits for a dead worker, and against a worker that
  // is given up at its first missed announcement.
  Fixture fixture;
  CHECK(fixture.LostAt(0).empty());
  fixture.heard.erase(WorkerId("b1"));
  CHECK(fixture.LostAt(100).empty());
  CHECK(fixture.LostAt(2'099).empty());
  CHECK(fixture.LostAt(2'100) == std::set{WorkerId("b1")});
  fixture.Hear(WorkerId("b1"));
  CHECK(fixture.LostAt(2'200).empty());
}

TEST_CASE("a silent region is taken for a partition") {
  // Guards against stopping the running work of a whole region because this
  // entry cannot reach it for some minutes.
  Fixture fixture;
  fixture.SilenceRegion("b");
  CHECK(fixture.LostAt(0).empty());
  CHECK(fixture.LostAt(599'999).empty());
  CHECK(fixture.LostAt(600'000).size() == 3);
}

TEST_CASE("workers of a region with a live entry are lost without delay") {
  // Guards against a dead rack that is mistaken for a partition.
  Fixture fixture;
  for (int i = 0; i < 3; ++i) {
    fixture.heard.erase(WorkerId("b" + std::to_string(i)));
  }
  CHECK(fixture.LostAt(0).empty());
  CHECK(fixture.LostAt(2'000).size() == 3);
}

TEST_CASE("an entry that hears nothing judges nobody") {
  // Guards against an isolated entry that declares the whole cluster lost.
  Fixture fixture;
  fixture.SilenceRegion("a");
  fixture.SilenceRegion("b");
  fixture.entries.front().liveness = Liveness::kLive;
  CHECK(fixture.LostAt(0).empty());
  CHECK(fixture.LostAt(10'000).empty());
}

}  // namespace
}  // namespace carobrill::daemon
