#include "packages/daemon/worker_liveness.h"

#include <doctest/doctest.h>

#include <string>

namespace carobrill::daemon {
namespace {

using membership::KnownEntry;
using membership::KnownWorker;
using membership::Liveness;

/// Three workers and an entry in each of two regions, as seen from region "a".
struct Fixture {
  Fixture() : liveness(LivenessSettings{RegionId("a"), 2'000, 600'000}) {
    for (const std::string region : {"a", "b"}) {
      for (int i = 0; i < 3; ++i) {
        scheduling::Worker worker;
        worker.id = WorkerId(region + std::to_string(i));
        worker.region = RegionId(region);
        this->registered[worker.id] = worker;
        this->AddKnownWorker(worker.id);
      }
      KnownEntry entry;
      entry.entry = InstanceId("entry-" + region);
      entry.region = region;
      this->entries.push_back(entry);
    }
  }

  void AddKnownWorker(const WorkerId& id) {
    KnownWorker known;
    known.worker = id;
    this->known_workers[id] = known;
  }

  void SilenceRegion(const std::string& region) {
    std::erase_if(this->known_workers, [&](const auto& item) {
      return item.first.value.starts_with(region);
    });
    for (auto& entry : this->entries) {
      if (entry.region == region) {
        entry.liveness = Liveness::kDead;
      }
    }
  }

  std::set<WorkerId> LostAt(std::int64_t ms) {
    return this->liveness.FindLost(this->registered, this->known_workers,
                                   this->entries, Instant{ms});
  }

  WorkerLiveness liveness;
  std::map<WorkerId, scheduling::Worker> registered;
  WorkerMap known_workers;
  std::vector<KnownEntry> entries;
};

TEST_CASE("a silent worker is lost after the silence timeout") {
  // Guards against work that waits for a dead worker, and against declaring a
  // worker lost at its first missed announcement.
  Fixture fixture;
  CHECK(fixture.LostAt(0).empty());
  fixture.known_workers.erase(WorkerId("b1"));
  CHECK(fixture.LostAt(100).empty());
  CHECK(fixture.LostAt(2'099).empty());
  CHECK(fixture.LostAt(2'100) == std::set{WorkerId("b1")});
  fixture.AddKnownWorker(WorkerId("b1"));
  CHECK(fixture.LostAt(2'200).empty());
}

TEST_CASE("a silent region is treated as a network partition") {
  // Guards against stopping the running work of a whole region because this
  // entry cannot reach it for some minutes.
  Fixture fixture;
  fixture.SilenceRegion("b");
  CHECK(fixture.LostAt(0).empty());
  CHECK(fixture.LostAt(599'999).empty());
  CHECK(fixture.LostAt(600'000).size() == 3);
}

TEST_CASE("workers of a region with a live entry are lost without delay") {
  // Guards against mistaking the failure of a rack for a network partition.
  Fixture fixture;
  for (int i = 0; i < 3; ++i) {
    fixture.known_workers.erase(WorkerId("b" + std::to_string(i)));
  }
  CHECK(fixture.LostAt(0).empty());
  CHECK(fixture.LostAt(2'000).size() == 3);
}

TEST_CASE("an isolated entry declares no worker lost") {
  // Guards against an isolated entry that declares all workers of the cluster
  // lost.
  Fixture fixture;
  fixture.SilenceRegion("a");
  fixture.SilenceRegion("b");
  fixture.entries.front().liveness = Liveness::kLive;
  CHECK(fixture.LostAt(0).empty());
  CHECK(fixture.LostAt(10'000).empty());
}

}  // namespace
}  // namespace carobrill::daemon
