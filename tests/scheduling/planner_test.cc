#include "packages/scheduling/planner.h"

#include <doctest/doctest.h>

#include "packages/scheduling/reservation.h"
#include "tests/scheduling/cluster_fixture.h"

namespace carobrill::scheduling {
namespace {

using records::Verdict;

/// Applies one plan. Returns the records that were accepted.
std::vector<records::Record> ProposeAndApply(ClusterFixture& fixture,
                                             const PlannerInput& view = {}) {
  Planner planner;
  std::vector<records::Record> accepted;
  for (const auto& record :
       planner.Propose(fixture.cluster, fixture.now, view).records) {
    if (fixture.Apply(record) == Verdict::kAccepted) {
      accepted.push_back(record);
    }
  }
  return accepted;
}

GangReport Report(const ClusterFixture& fixture,
                  const std::string& job,
                  GangPhase phase) {
  GangReport report;
  report.job = JobId(job);
  report.attempt = fixture.Get(job).attempt;
  report.phase = phase;
  return report;
}

TEST_CASE("a gang runs from submission to success by the planner's proposals") {
  ClusterFixture fixture;
  fixture.cluster.SetPolicy(TwoAccounts({{1, 4, false}}, {}), fixture.now);
  fixture.Apply(Submitted("j", Spec("a", 2, 2)));
  ProposeAndApply(fixture);
  CHECK(fixture.Get("j").state == JobState::kPlaced);
  PlannerInput view;
  view.reports = {Report(fixture, "j", GangPhase::kPrepared)};
  ProposeAndApply(fixture, view);
  view.reports = {Report(fixture, "j", GangPhase::kStarted)};
  ProposeAndApply(fixture, view);
  CHECK(fixture.Get("j").state == JobState::kRunning);
  view.reports = {Report(fixture, "j", GangPhase::kEnded)};
  view.reports[0].outcome = records::GANG_OUTCOME_SUCCEEDED;
  ProposeAndApply(fixture, view);
  CHECK(fixture.Get("j").state == JobState::kSucceeded);
}

TEST_CASE("urgent work comes first, and aged batch work ranks as normal work") {
  ClusterFixture fixture(1);
  fixture.cluster.SetPolicy(TwoAccounts({}, {}), fixture.now);
  const auto submit = [&](const std::string& job, records::JobClass job_class) {
    records::JobSpec spec = Spec("a", 1, 4);
    spec.set_job_class(job_class);
    fixture.Apply(Submitted(job, spec));
  };
  submit("batch", records::JOB_CLASS_BATCH);
  submit("normal", records::JOB_CLASS_NORMAL);
  submit("urgent", records::JOB_CLASS_URGENT);
  const auto next = [&] {
    ProposeAndApply(fixture);
    for (std::string job : {"batch", "normal", "urgent"}) {
      if (fixture.Get(job).state == JobState::kPlaced) {
        fixture.Apply(Cancelled(job));
        return job;
      }
    }
    return std::string();
  };
  CHECK(next() == "urgent");
  fixture.now = fixture.now.After(30LL * 60 * 1000);
  CHECK(next() == "batch");
  CHECK(next() == "normal");
}

TEST_CASE(
    "an account that has borrowed less relative to its share comes first") {
  ClusterFixture fixture(2);
  Policy policy = TwoAccounts({}, {});
  policy.accounts[AccountId("a")].share = 1;
  policy.accounts[AccountId("b")].share = 3;
  fixture.cluster.SetPolicy(policy, fixture.now);
  for (int i = 0; i < 8; ++i) {
    fixture.Apply(Submitted("a" + std::to_string(i), Spec("a", 1, 1)));
    fixture.Apply(Submitted("b" + std::to_string(i), Spec("b", 1, 1)));
  }
  ProposeAndApply(fixture);
  CHECK(fixture.cluster.InUse(AccountId("a")) == 2);
  CHECK(fixture.cluster.InUse(AccountId("b")) == 6);
}

TEST_CASE("backfill does not delay the gang that a reservation is for") {
  ClusterFixture fixture(2);
  fixture.cluster.SetPolicy(TwoAccounts({}, {}), fixture.now);
  fixture.Run("r", Spec("a", 1, 4), {On("w0", 0, 4)}, true);
  fixture.Apply(Submitted("large", Spec("a", 2, 4)));
  fixture.now = fixture.now.After(1);
  records::JobSpec brief = Spec("a", 1, 2);
  brief.set_expected_run_ms(10'000);
  records::JobSpec lengthy = Spec("a", 1, 1);
  lengthy.set_expected_run_ms(600'000);
  fixture.Apply(Submitted("lengthy", lengthy));
  fixture.Apply(Submitted("brief", brief));
  ProposeAndApply(fixture);
  CHECK(fixture.Get("large").state == JobState::kQueued);
  CHECK(fixture.Get("lengthy").state == JobState::kQueued);
  CHECK(fixture.Get("brief").state == JobState::kPlaced);
}

TEST_CASE("an overdue gang is expected to run as long again") {
  Allocation allocation;
  allocation.estimated_end = Instant{1000};
  CHECK(ExpectedEnd(allocation, Instant{500}) == Instant{1000});
  CHECK(ExpectedEnd(allocation, Instant{9000}) == Instant{17'000});
  allocation.stopping = true;
  CHECK(ExpectedEnd(allocation, Instant{500}) == Instant{500});
}

TEST_CASE("guaranteed and urgent work preempts, other borrowed work does not") {
  ClusterFixture fixture(1);
  fixture.cluster.SetPolicy(TwoAccounts({{1, 4, false}}, {}), fixture.now);
  fixture.Run("v", Spec("b", 1, 4), {On("w0", 0, 4)}, true);
  fixture.Apply(Submitted("n", Spec("b", 1, 1)));
  CHECK(ProposeAndApply(fixture).empty());
  records::JobSpec urgent = Spec("b", 1, 1);
  urgent.set_job_class(records::JOB_CLASS_URGENT);
  fixture.Apply(Submitted("u", urgent));
  CHECK(ProposeAndApply(fixture).size() == 1);
  CHECK(fixture.Get("u").pending_victims == std::set<JobId>{JobId("v")});
  CHECK(fixture.Get("v").state == JobState::kStopping);
}

TEST_CASE("small work does not take the guarantee that a gang waits for") {
  ClusterFixture fixture(1);
  fixture.cluster.SetPolicy(TwoAccounts({{1, 4, false}}, {}), fixture.now);
  fixture.Run("r", Spec("a", 1, 1), {On("w0", 0, 1)}, false);
  fixture.Apply(Submitted("large", Spec("a", 1, 4)));
  records::JobSpec small = Spec("a", 1, 1);
  small.set_expected_run_ms(1);
  fixture.Apply(Submitted("small", small));
  ProposeAndApply(fixture);
  CHECK(fixture.Get("small").borrowed);
}

TEST_CASE("work moves off a draining worker and nothing new is placed there") {
  ClusterFixture fixture(2);
  fixture.cluster.SetPolicy(TwoAccounts({}, {}), fixture.now);
  fixture.Run("r", Spec("a", 1, 1), {On("w0", 0, 1)}, true);
  Policy policy = TwoAccounts({}, {});
  policy.drained_workers.insert(WorkerId("w0"));
  fixture.cluster.SetPolicy(policy, fixture.now);
  ProposeAndApply(fixture);
  CHECK(fixture.Get("r").state == JobState::kStopping);
  fixture.Apply(Ended("r", 1, records::GANG_OUTCOME_STOPPED));
  ProposeAndApply(fixture);
  CHECK(fixture.Get("r").members.front().worker == WorkerId("w1"));
}

TEST_CASE(
    "a worker that fails every task is quarantined, probed and readmitted") {
  ClusterFixture fixture(1);
  fixture.cluster.SetPolicy(TwoAccounts({}, {}), fixture.now);
  for (const std::string job : {"j", "k", "l"}) {
    fixture.Run(job, Spec("a", 1, 1), {On("w0", 0, 1)}, true);
    fixture.Apply(Ended(job, 1, records::GANG_OUTCOME_FAILED, {"w0"}));
    fixture.Apply(Cancelled(job));
  }
  const auto state = [&] {
    return fixture.cluster.Workers().at(WorkerId("w0")).state;
  };
  ProposeAndApply(fixture);
  CHECK(state() == WorkerState::kQuarantined);
  ProposeAndApply(fixture);
  CHECK(state() == WorkerState::kQuarantined);
  fixture.now = fixture.now.After(30'000);
  ProposeAndApply(fixture);
  CHECK(state() == WorkerState::kProbation);
  fixture.Apply(Submitted("m", Spec("a", 1, 1)));
  fixture.Apply(Submitted("n", Spec("a", 1, 1)));
  CHECK(ProposeAndApply(fixture).size() == 1);
  fixture.Apply(Committed("m", 1));
  fixture.Apply(Started("m", 1));
  fixture.Apply(Ended("m", 1, records::GANG_OUTCOME_SUCCEEDED));
  ProposeAndApply(fixture);
  CHECK(state() == WorkerState::kReady);
}

TEST_CASE(
    "timeouts release, stop and end gangs, but not under a live watcher") {
  ClusterFixture fixture(2);
  fixture.cluster.SetPolicy(TwoAccounts({}, {}), fixture.now);
  fixture.Apply(Submitted("j", Spec("a", 1, 1)));
  ProposeAndApply(fixture);
  fixture.now = fixture.now.After(5'000);
  CHECK(ProposeAndApply(fixture).front().has_gang_released());
  fixture.Apply(Placed("j", 2, {On("w0", 0, 1)}, true));
  fixture.Apply(Committed("j", 2));
  fixture.now = fixture.now.After(10'000);
  CHECK(ProposeAndApply(fixture).front().has_gang_stop_requested());
  fixture.now = fixture.now.After(60'000);
  CHECK(ProposeAndApply(fixture).empty());
  PlannerInput view;
  view.dead_workers.insert(WorkerId("w0"));
  CHECK(ProposeAndApply(fixture, view).size() == 2);
  CHECK(fixture.Get("j").state == JobState::kQueued);
}

TEST_CASE("sizes are corrected from late samples, at once when they grow") {
  ClusterFixture fixture;
  fixture.cluster.SetPolicy(TwoAccounts({}, {}), fixture.now);
  fixture.Run("j", Spec("a", 1, 1), {On("w0", 0, 1)}, true);
  PlannerInput view;
  view.usage.push_back(
      {JobId("j"), 1, WorkerId("w0"), 500, 900, fixture.now.After(4'999)});
  CHECK(ProposeAndApply(fixture, view).empty());
  view.usage[0].sampled_at = fixture.now.After(5'000);
  CHECK(ProposeAndApply(fixture, view).size() == 1);
  CHECK(fixture.cluster.FindLearned(AccountId("a"), "kind")->memory_mb == 900);
  view.usage[0].memory_mb = 400;
  CHECK(ProposeAndApply(fixture, view).empty());
}

TEST_CASE("the task furthest above its cell is throttled, then stopped") {
  ClusterFixture fixture;
  fixture.cluster.SetPolicy(TwoAccounts({}, {}), fixture.now);
  records::JobSpec spec = Spec("a", 1, 1);
  spec.set_preemption(records::PREEMPTION_CHECKPOINT);
  fixture.Run("j", spec, {On("w0", 0, 1)}, true);
  fixture.Run("k", spec, {On("w0", 1, 1)}, true);
  PlannerInput view;
  view.usage.push_back({JobId("j"), 1, WorkerId("w0"), 0, 2'700, {}});
  view.usage.push_back({JobId("k"), 1, WorkerId("w0"), 0, 1'000, {}});
  Planner planner;
  const Plan plan = planner.Propose(fixture.cluster, fixture.now, view);
  CHECK(plan.records.empty());
  CHECK(plan.actions.size() == 2);
  view.usage[0].memory_mb = 3'000;
  ProposeAndApply(fixture, view);
  CHECK(fixture.Get("j").state == JobState::kStopping);
  CHECK(fixture.Get("k").state == JobState::kRunning);
}

}  // namespace
}  // namespace carobrill::scheduling
