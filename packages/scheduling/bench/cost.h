#ifndef PACKAGES_SCHEDULING_BENCH_COST_H_
#define PACKAGES_SCHEDULING_BENCH_COST_H_

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "packages/scheduling/cluster.h"
#include "packages/scheduling/planner.h"

namespace carobrill::scheduling::bench {

/// Time and memory costs of the scheduler at one cluster size.
struct CostResult {
  std::uint32_t workers = 0;
  std::uint32_t tasks = 0;
  double plan_us = 0;
  double placement_us = 0;
  double event_us = 0;
  double blocked_plan_us = 0;
  double day_ms = 0;
  std::uint32_t day_records = 0;
  double hash_ms = 0;
  double snapshot_kb = 0;
  double memory_mb = 0;
};

/// Fills a cluster with tasks, then measures the scheduler at steady turnover.
class CostBenchmark {
 public:
  CostBenchmark(const Charts& state_charts, std::uint32_t worker_count)
      : charts(state_charts), cluster(state_charts), random(7) {
    this->result.workers = worker_count;
  }

  CostResult Run() {
    const double before = MemoryMb();
    this->AddWorkers();
    this->AddPolicy();
    const std::uint32_t capacity = this->result.workers * 8;
    const std::uint32_t wanted =
        std::min<std::uint32_t>(4400, capacity * 5 / 8);
    while (this->tasks < wanted) {
      this->Submit(64);
      if (this->PlanAndApply() == 0) {
        break;
      }
    }
    this->result.tasks = this->tasks;
    this->result.memory_mb = MemoryMb() - before;
    this->MeasurePlacements();
    this->MeasureBlockedPlan();
    this->MeasureState();
    this->MeasureReplay();
    return this->result;
  }

 private:
  using Clock = std::chrono::steady_clock;

  static double MemoryMb() {
    return static_cast<double>(mallinfo2().uordblks) / 1e6;
  }
  template <typename Function>
  static double MicrosOf(Function&& function) {
    const auto start = Clock::now();
    function();
    return std::chrono::duration<double, std::micro>(Clock::now() - start)
        .count();
  }

  records::Verdict Apply(const records::Record& record) {
    ++this->now.ms;
    const auto verdict = this->cluster.Apply(record, this->offset++, this->now);
    if (this->recording) {
      this->history.push_back(record);
    }
    return verdict;
  }

  void AddWorkers() {
    for (std::uint32_t i = 0; i < this->result.workers; ++i) {
      records::Record record;
      auto& body = *record.mutable_worker_registered();
      body.set_worker("worker-" + std::to_string(10'000 + i));
      body.set_incarnation(1);
      body.set_rack("rack-" + std::to_string(i / 3));
      body.set_failure_domain("domain-" + std::to_string(i / 3 % 8));
      body.set_region("region-" + std::to_string(i / 3 % 3));
      body.mutable_capacity()->set_accelerators(8);
      body.mutable_capacity()->set_cores_milli(130'000);
      body.mutable_capacity()->set_memory_mb(256'000);
      this->Apply(record);
    }
  }

  /// 40 accounts share guarantees of half of the hardware.
  void AddPolicy() {
    Policy policy;
    const std::uint32_t cells = this->result.workers / 80;
    for (std::uint32_t i = 0; i < 40; ++i) {
      auto& account = policy.accounts[AccountId("team-" + std::to_string(i))];
      account.guarantee = {{cells, 8, false}};
      account.share = 1 + i % 4;
    }
    this->cluster.SetPolicy(policy, this->now);
  }

  void Submit(std::uint32_t count) {
    static constexpr std::uint32_t kMembers[] = {1, 1, 2,  4, 8,
                                                 1, 2, 16, 1, 64};
    for (std::uint32_t i = 0; i < count; ++i) {
      const std::uint64_t draw = this->random();
      records::Record record;
      auto& body = *record.mutable_job_submitted();
      body.set_job("job-" + std::to_string(1'000'000 + this->submitted++));
      auto& spec = *body.mutable_spec();
      spec.set_account("team-" + std::to_string(draw % 40));
      spec.set_kind("kind-" + std::to_string(draw / 64 % 4));
      spec.set_job_class(static_cast<records::JobClass>(1 + draw / 256 % 3));
      const std::uint32_t members = kMembers[draw / 1024 % 10];
      spec.set_members(this->result.workers < 100 ? std::min(members, 4U)
                                                  : members);
      spec.mutable_member_size()->set_accelerators(1U << draw / 65536 % 2);
      spec.set_adjacency(draw / 131072 % 4 == 0 && members <= 8
                             ? records::ADJACENCY_RACK
                             : records::ADJACENCY_NONE);
      spec.set_idempotent(true);
      spec.set_preemption(records::PREEMPTION_CHECKPOINT);
      spec.set_expected_run_ms(3'600'000);
      this->Apply(record);
    }
  }

  /// Applies one plan and starts the placed gangs. Returns the number of
  /// placements.
  std::uint32_t PlanAndApply() {
    Plan plan;
    this->plan_us += MicrosOf(
        [&] { plan = this->planner.Propose(this->cluster, this->now, {}); });
    ++this->plans;
    std::uint32_t placed = 0;
    for (const auto& record : plan.records) {
      if (this->Apply(record) != records::Verdict::kAccepted) {
        continue;
      }
      if (record.has_gang_placed()) {
        ++placed;
        const auto& body = record.gang_placed();
        records::Record next;
        next.mutable_gang_start_committed()->set_job(body.job());
        next.mutable_gang_start_committed()->set_attempt(body.attempt());
        if (this->Apply(next) != records::Verdict::kAccepted) {
          continue;
        }
        next.mutable_gang_started()->set_job(body.job());
        next.mutable_gang_started()->set_attempt(body.attempt());
        this->Apply(next);
        this->running.emplace_back(body.job(), body.attempt(),
                                   body.members_size());
        this->tasks += static_cast<std::uint32_t>(body.members_size());
      }
    }
    return placed;
  }

  bool EndOldest() {
    if (this->running.empty()) {
      return false;
    }
    const auto [job, attempt, members] = this->running.front();
    this->running.pop_front();
    this->tasks -= static_cast<std::uint32_t>(members);
    records::Record record;
    auto& body = *record.mutable_gang_ended();
    body.set_job(job);
    body.set_attempt(attempt);
    body.set_outcome(records::GANG_OUTCOME_SUCCEEDED);
    body.set_run_ms(3'000'000);
    this->Apply(record);
    return true;
  }

  /// One job ends, one is submitted, one plan is made: the worst case of one
  /// plan per event.
  void MeasurePlacements() {
    this->plan_us = 0;
    this->plans = 0;
    std::uint32_t placed = 0;
    constexpr int kRounds = 1000;
    for (int i = 0; i < kRounds; ++i) {
      this->EndOldest();
      this->Submit(1);
      placed += this->PlanAndApply();
    }
    this->result.plan_us = this->plan_us / this->plans;
    this->result.placement_us = this->plan_us / std::max(1U, placed);
  }

  /// Measures a plan while 3,000 queued jobs do not fit.
  void MeasureBlockedPlan() {
    Cluster saved = this->cluster;
    for (int i = 0; i < 60 && this->PlanAndApply() > 0; ++i) {
      this->Submit(64);
    }
    this->Submit(3000);
    this->PlanAndApply();
    this->plan_us = 0;
    this->plans = 0;
    for (int i = 0; i < 100; ++i) {
      this->PlanAndApply();
    }
    this->result.blocked_plan_us = this->plan_us / this->plans;
    this->cluster = std::move(saved);
  }

  void MeasureState() {
    records::Snapshot snapshot;
    this->result.hash_ms = MicrosOf([&] { this->cluster.Hash(); }) / 1000;
    this->cluster.Save(snapshot);
    this->result.snapshot_kb =
        static_cast<double>(snapshot.scheduling().size()) / 1000;
  }

  /// Replays the records of a day with 3,400 jobs into an empty cluster.
  void MeasureReplay() {
    CostBenchmark source(this->charts, this->result.workers);
    source.recording = true;
    source.AddWorkers();
    source.AddPolicy();
    for (int i = 0; i < 3400; ++i) {
      source.Submit(1);
      source.PlanAndApply();
      if (source.tasks > 4400 || source.tasks > this->result.workers * 4) {
        source.EndOldest();
      }
    }
    while (source.EndOldest()) {
    }
    // Adds worker restarts until the history has the 22,000 records of a day.
    std::uint64_t incarnation = 2;
    while (source.history.size() < 22'000) {
      for (std::uint32_t i = 0; i < this->result.workers; ++i) {
        records::Record record = source.history[i];
        record.mutable_worker_registered()->set_incarnation(incarnation);
        source.Apply(record);
      }
      ++incarnation;
    }
    this->result.day_records =
        static_cast<std::uint32_t>(source.history.size());
    Cluster replica(this->charts);
    Offset at = 0;
    replica.SetPolicy(source.cluster.CurrentPolicy(), Instant{0});
    this->result.day_ms =
        MicrosOf([&] {
          for (const auto& record : source.history) {
            replica.Apply(record, at,
                          Instant{static_cast<std::int64_t>(at) * 4});
            ++at;
          }
        }) /
        1000;
    this->result.event_us =
        this->result.day_ms * 1000 / this->result.day_records;
  }

  Charts charts;
  Cluster cluster;
  Planner planner;
  std::mt19937_64 random;
  CostResult result;
  Instant now{1};
  Offset offset = 0;
  std::uint64_t submitted = 0;
  std::uint32_t tasks = 0;
  std::deque<std::tuple<std::string, std::uint32_t, int>> running;
  double plan_us = 0;
  std::uint32_t plans = 0;
  bool recording = false;
  std::vector<records::Record> history;
};

/// Runs all cluster sizes, prints a table and returns its figures.
inline nlohmann::json MeasureCost(const Charts& charts) {
  nlohmann::json json;
  std::printf("%8s %6s %9s %13s %15s %9s %8s %9s %8s %12s %9s\n", "workers",
              "tasks", "plan us", "placement us", "blocked plan us", "event us",
              "day ms", "records", "hash ms", "snapshot KB", "memory MB");
  for (const std::uint32_t workers : {10U, 100U, 900U, 3600U}) {
    const CostResult cost = CostBenchmark(charts, workers).Run();
    std::printf(
        "%8u %6u %9.1f %13.1f %15.1f %9.2f %8.1f %9u %8.2f %12.1f %9.2f\n",
        cost.workers, cost.tasks, cost.plan_us, cost.placement_us,
        cost.blocked_plan_us, cost.event_us, cost.day_ms, cost.day_records,
        cost.hash_ms, cost.snapshot_kb, cost.memory_mb);
    std::fflush(stdout);
    json.push_back({{"workers", cost.workers},
                    {"tasks", cost.tasks},
                    {"plan_us", cost.plan_us},
                    {"placement_us", cost.placement_us},
                    {"blocked_plan_us", cost.blocked_plan_us},
                    {"event_us", cost.event_us},
                    {"day_ms", cost.day_ms},
                    {"day_records", cost.day_records},
                    {"hash_ms", cost.hash_ms},
                    {"snapshot_kb", cost.snapshot_kb},
                    {"memory_mb", cost.memory_mb}});
  }
  return json;
}

}  // namespace carobrill::scheduling::bench

#endif  // PACKAGES_SCHEDULING_BENCH_COST_H_
