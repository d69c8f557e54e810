#include "packages/scheduling/planner.h"

#include <doctest/doctest.h>

#include "packages/scheduling/reservation.h"
#include "tests/scheduling/world.h"

namespace carobrill::scheduling {
namespace {

using records::Verdict;

/// Proposes and applies once; returns the records that were accepted.
std::vector<records::Record> Step(World& world, const PlannerView& view = {}) {
  Planner planner;
  std::vector<records::Record> accepted;
  for (const auto& record :
       planner.Propose(world.cluster, world.now, view).records) {
    if (world.Apply(record) == Verdict::kAccepted) {
      accepted.push_back(record);
    }
  }
  return accepted;
}

GangReport Report(const World& world, const std::string& job, GangPhase phase) {
  GangReport report;
  report.job = JobId(job);
  report.attempt = world.Get(job).attempt;
  report.phase = phase;
  return report;
}

TEST_CASE("a gang runs from submission to success by the planner's proposals") {
  World world;
  world.cluster.SetPolicy(TwoAccounts({{1, 4, false}}, {}), world.now);
  world.Apply(Submitted("j", Spec("a", 2, 2)));
  Step(world);
  CHECK(world.Get("j").state == JobState::kPlaced);
  PlannerView view;
  view.reports = {Report(world, "j", GangPhase::kPrepared)};
  Step(world, view);
  view.reports = {Report(world, "j", GangPhase::kStarted)};
  Step(world, view);
  CHECK(world.Get("j").state == JobState::kRunning);
  view.reports = {Report(world, "j", GangPhase::kEnded)};
  view.reports[0].outcome = records::GANG_OUTCOME_SUCCEEDED;
  Step(world, view);
  CHECK(world.Get("j").state == JobState::kSucceeded);
}

TEST_CASE("urgent work comes first, and aged batch work joins normal work") {
  World world(1);
  world.cluster.SetPolicy(TwoAccounts({}, {}), world.now);
  const auto submit = [&](const std::string& job, records::JobClass job_class) {
    records::JobSpec spec = Spec("a", 1, 4);
    spec.set_job_class(job_class);
    world.Apply(Submitted(job, spec));
  };
  submit("batch", records::JOB_CLASS_BATCH);
  submit("normal", records::JOB_CLASS_NORMAL);
  submit("urgent", records::JOB_CLASS_URGENT);
  const auto next = [&] {
    Step(world);
    for (std::string job : {"batch", "normal", "urgent"}) {
      if (world.Get(job).state == JobState::kPlaced) {
        world.Apply(Cancelled(job));
        return job;
      }
    }
    return std::string();
  };
  CHECK(next() == "urgent");
  world.now = world.now.After(30LL * 60 * 1000);
  CHECK(next() == "batch");
  CHECK(next() == "normal");
}

TEST_CASE("an account that has borrowed less for its share comes first") {
  World world(2);
  Policy policy = TwoAccounts({}, {});
  policy.accounts[AccountId("a")].share = 1;
  policy.accounts[AccountId("b")].share = 3;
  world.cluster.SetPolicy(policy, world.now);
  for (int i = 0; i < 8; ++i) {
    world.Apply(Submitted("a" + std::to_string(i), Spec("a", 1, 1)));
    world.Apply(Submitted("b" + std::to_string(i), Spec("b", 1, 1)));
  }
  Step(world);
  CHECK(world.cluster.InUse(AccountId("a")) == 2);
  CHECK(world.cluster.InUse(AccountId("b")) == 6);
}

TEST_CASE("backfill does not delay the gang that a reservation is for") {
  World world(2);
  world.cluster.SetPolicy(TwoAccounts({}, {}), world.now);
  world.Run("r", Spec("a", 1, 4), {On("w0", 0, 4)}, true);
  world.Apply(Submitted("large", Spec("a", 2, 4)));
  world.now = world.now.After(1);
  records::JobSpec brief = Spec("a", 1, 2);
  brief.set_expected_run_ms(10'000);
  records::JobSpec lengthy = Spec("a", 1, 1);
  lengthy.set_expected_run_ms(600'000);
  world.Apply(Submitted("lengthy", lengthy));
  world.Apply(Submitted("brief", brief));
  Step(world);
  CHECK(world.Get("large").state == JobState::kQueued);
  CHECK(world.Get("lengthy").state == JobState::kQueued);
  CHECK(world.Get("brief").state == JobState::kPlaced);
}

TEST_CASE("an overdue gang is expected to run as long again") {
  Holder holder;
  holder.estimated_end = Instant{1000};
  CHECK(ExpectedEnd(holder, Instant{500}) == Instant{1000});
  CHECK(ExpectedEnd(holder, Instant{9000}) == Instant{17'000});
  holder.stopping = true;
  CHECK(ExpectedEnd(holder, Instant{500}) == Instant{500});
}

TEST_CASE("guaranteed and urgent work preempts, other borrowed work does not") {
  World world(1);
  world.cluster.SetPolicy(TwoAccounts({{1, 4, false}}, {}), world.now);
  world.Run("v", Spec("b", 1, 4), {On("w0", 0, 4)}, true);
  world.Apply(Submitted("n", Spec("b", 1, 1)));
  CHECK(Step(world).empty());
  records::JobSpec urgent = Spec("b", 1, 1);
  urgent.set_job_class(records::JOB_CLASS_URGENT);
  world.Apply(Submitted("u", urgent));
  CHECK(Step(world).size() == 1);
  CHECK(world.Get("u").pending_victims == std::set<JobId>{JobId("v")});
  CHECK(world.Get("v").state == JobState::kStopping);
}

TEST_CASE("small work does not take the guarantee that a gang waits for") {
  World world(1);
  world.cluster.SetPolicy(TwoAccounts({{1, 4, false}}, {}), world.now);
  world.Run("r", Spec("a", 1, 1), {On("w0", 0, 1)}, false);
  world.Apply(Submitted("large", Spec("a", 1, 4)));
  records::JobSpec small = Spec("a", 1, 1);
  small.set_expected_run_ms(1);
  world.Apply(Submitted("small", small));
  Step(world);
  CHECK(world.Get("small").borrowed);
}

TEST_CASE("work moves off a draining worker and nothing new is placed there") {
  World world(2);
  world.cluster.SetPolicy(TwoAccounts({}, {}), world.now);
  world.Run("r", Spec("a", 1, 1), {On("w0", 0, 1)}, true);
  Policy policy = TwoAccounts({}, {});
  policy.drained_workers.insert(WorkerId("w0"));
  world.cluster.SetPolicy(policy, world.now);
  Step(world);
  CHECK(world.Get("r").state == JobState::kStopping);
  world.Apply(Ended("r", 1, records::GANG_OUTCOME_STOPPED));
  Step(world);
  CHECK(world.Get("r").members.front().worker == WorkerId("w1"));
}

TEST_CASE("a worker that fails every task is quarantined, tried and admitted") {
  World world(1);
  world.cluster.SetPolicy(TwoAccounts({}, {}), world.now);
  for (const std::string job : {"j", "k", "l"}) {
    world.Run(job, Spec("a", 1, 1), {On("w0", 0, 1)}, true);
    world.Apply(Ended(job, 1, records::GANG_OUTCOME_FAILED, {"w0"}));
    world.Apply(Cancelled(job));
  }
  const auto state = [&] {
    return world.cluster.Workers().at(WorkerId("w0")).state;
  };
  Step(world);
  CHECK(state() == WorkerState::kQuarantined);
  Step(world);
  CHECK(state() == WorkerState::kQuarantined);
  world.now = world.now.After(30'000);
  Step(world);
  CHECK(state() == WorkerState::kProbation);
  world.Apply(Submitted("m", Spec("a", 1, 1)));
  world.Apply(Submitted("n", Spec("a", 1, 1)));
  CHECK(Step(world).size() == 1);
  world.Apply(Committed("m", 1));
  world.Apply(Started("m", 1));
  world.Apply(Ended("m", 1, records::GANG_OUTCOME_SUCCEEDED));
  Step(world);
  CHECK(state() == WorkerState::kReady);
}

TEST_CASE(
    "timeouts release, stop and end gangs, but not under a live watcher") {
  World world(2);
  world.cluster.SetPolicy(TwoAccounts({}, {}), world.now);
  world.Apply(Submitted("j", Spec("a", 1, 1)));
  Step(world);
  world.now = world.now.After(5'000);
  CHECK(Step(world).front().has_gang_released());
  world.Apply(Placed("j", 2, {On("w0", 0, 1)}, true));
  world.Apply(Committed("j", 2));
  world.now = world.now.After(10'000);
  CHECK(Step(world).front().has_gang_stop_requested());
  world.now = world.now.After(60'000);
  CHECK(Step(world).empty());
  PlannerView view;
  view.dead_workers.insert(WorkerId("w0"));
  CHECK(Step(world, view).size() == 2);
  CHECK(world.Get("j").state == JobState::kQueued);
}

TEST_CASE("sizes are corrected from late samples, at once when they grow") {
  World world;
  world.cluster.SetPolicy(TwoAccounts({}, {}), world.now);
  world.Run("j", Spec("a", 1, 1), {On("w0", 0, 1)}, true);
  PlannerView view;
  view.usage.push_back(
      {JobId("j"), 1, WorkerId("w0"), 500, 900, world.now.After(4'999)});
  CHECK(Step(world, view).empty());
  view.usage[0].sampled_at = world.now.After(5'000);
  CHECK(Step(world, view).size() == 1);
  CHECK(world.cluster.FindLearned(AccountId("a"), "kind")->memory_mb == 900);
  view.usage[0].memory_mb = 400;
  CHECK(Step(world, view).empty());
}

TEST_CASE("the task furthest above its cell gives way before exhaustion") {
  World world;
  world.cluster.SetPolicy(TwoAccounts({}, {}), world.now);
  records::JobSpec spec = Spec("a", 1, 1);
  spec.set_preemption(records::PREEMPTION_CHECKPOINT);
  world.Run("j", spec, {On("w0", 0, 1)}, true);
  world.Run("k", spec, {On("w0", 1, 1)}, true);
  PlannerView view;
  view.usage.push_back({JobId("j"), 1, WorkerId("w0"), 0, 2'700, {}});
  view.usage.push_back({JobId("k"), 1, WorkerId("w0"), 0, 1'000, {}});
  Planner planner;
  const Plan plan = planner.Propose(world.cluster, world.now, view);
  CHECK(plan.records.empty());
  CHECK(plan.actions.size() == 2);
  view.usage[0].memory_mb = 3'000;
  Step(world, view);
  CHECK(world.Get("j").state == JobState::kStopping);
  CHECK(world.Get("k").state == JobState::kRunning);
}

}  // namespace
}  // namespace carobrill::scheduling
