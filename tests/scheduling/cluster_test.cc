#include "packages/scheduling/cluster.h"

#include <doctest/doctest.h>

#include "tests/scheduling/cluster_fixture.h"

// One test case per check of the state machine, named after the failure that it
// guards against.

namespace carobrill::scheduling {
namespace {

using records::Verdict;

constexpr GuaranteedCells kFour{1, 4, false};
constexpr GuaranteedCells kTwo{1, 2, false};
constexpr GuaranteedCells kRack{1, 0, true};

records::JobSpec NeverPreemptible(records::JobSpec spec) {
  spec.set_preemption(records::PREEMPTION_NEVER);
  return spec;
}

records::JobSpec NonIdempotent(records::JobSpec spec) {
  spec.set_idempotent(false);
  spec.set_preemption(records::PREEMPTION_CHECKPOINT);
  return spec;
}

TEST_CASE("a job that can never run is refused with the reason") {
  ClusterFixture fixture;
  Policy policy = TwoAccounts({kFour}, {});
  policy.accounts[AccountId("a")].quota = 8;
  fixture.cluster.SetPolicy(policy, fixture.now);
  const auto submit = [&](const records::JobSpec& spec) {
    static int number = 0;
    return fixture.Apply(Submitted("s" + std::to_string(number++), spec));
  };
  CHECK(submit(Spec("x", 1, 1)) == Verdict::kUnknownAccount);
  CHECK(submit(Spec("a", 1, 8)) == Verdict::kCannotRun);
  CHECK(submit(Spec("b", 65, 1)) == Verdict::kCannotRun);
  CHECK(submit(Spec("b", 5, 4)) == Verdict::kCannotRun);
  records::JobSpec adjacent = Spec("b", 3, 4);
  adjacent.set_adjacency(records::ADJACENCY_RACK);
  CHECK(submit(adjacent) == Verdict::kCannotRun);
  adjacent.set_members(2);
  adjacent.set_adjacency(records::ADJACENCY_WORKER);
  CHECK(submit(adjacent) == Verdict::kCannotRun);
  CHECK(submit(Spec("a", 3, 4)) == Verdict::kAboveQuota);
  CHECK(submit(NeverPreemptible(Spec("b", 1, 1))) == Verdict::kNotPreemptible);
  CHECK(submit(NeverPreemptible(Spec("a", 2, 2))) == Verdict::kAccepted);
  CHECK(submit(NeverPreemptible(Spec("a", 2, 4))) == Verdict::kNotPreemptible);
  // Preempting a non-idempotent job without checkpoints would lose its only
  // run.
  records::JobSpec once = Spec("b", 1, 1);
  once.set_idempotent(false);
  CHECK(submit(once) == Verdict::kNotPreemptible);
  records::JobSpec unspecified = Spec("a", 1, 1);
  unspecified.clear_adjacency();
  CHECK(submit(unspecified) == Verdict::kMalformed);
}

TEST_CASE("a repeated idempotency key finds the job while it is retained") {
  ClusterSettings settings;
  settings.ended_retention_ms = 10'000;
  ClusterFixture fixture(4, settings);
  fixture.cluster.SetPolicy(TwoAccounts({kFour}, {}), fixture.now);
  records::Record first = Submitted("j", Spec("a", 1, 1));
  first.mutable_job_submitted()->set_idempotency_key("key");
  CHECK(fixture.Apply(first) == Verdict::kAccepted);
  records::Record repeat = first;
  repeat.mutable_job_submitted()->set_job("k");
  CHECK(fixture.Apply(repeat) == Verdict::kDuplicate);
  CHECK(fixture.cluster.FindByKey(AccountId("a"), "key")->id == JobId("j"));
  repeat.mutable_job_submitted()->mutable_spec()->set_members(2);
  CHECK(fixture.Apply(repeat) == Verdict::kKeyReused);
  CHECK(fixture.Apply(Cancelled("j")) == Verdict::kAccepted);
  fixture.now = fixture.now.After(9'999);
  CHECK(fixture.Apply(first) == Verdict::kDuplicate);
  fixture.now = fixture.now.After(1);
  CHECK(fixture.Apply(repeat) == Verdict::kAccepted);
  CHECK(fixture.cluster.FindJob(JobId("j")) == nullptr);
  // A log time that goes back must not revive expired deadlines.
  const Instant latest = fixture.now;
  fixture.now = fixture.now.After(-5'000);
  fixture.Apply(Cancelled("k"));
  CHECK(fixture.cluster.LogTime() == latest);
}

TEST_CASE("a guarantee beyond the hardware is refused") {
  ClusterFixture fixture;
  const auto check = [&](const Policy& policy) {
    return fixture.cluster.CheckPolicy(policy);
  };
  CHECK(check(TwoAccounts({{2, 4, false}}, {kRack})) == Verdict::kAccepted);
  CHECK(check(TwoAccounts({{3, 4, false}}, {kRack})) ==
        Verdict::kBreaksGuarantee);
  CHECK(check(TwoAccounts({{1, 8, false}}, {})) == Verdict::kBreaksGuarantee);
  CHECK(check(TwoAccounts({{1, 3, false}}, {})) == Verdict::kMalformed);
  Policy declared = TwoAccounts({{1, 8, false}}, {kRack});
  declared.hardware = DeclaredHardware{2, 3, 8};
  CHECK(check(declared) == Verdict::kAccepted);
  declared.hardware->racks = 1;
  CHECK(check(declared) == Verdict::kBreaksGuarantee);
}

TEST_CASE("guaranteed work may not use the last cell of another account") {
  ClusterFixture fixture(1);
  fixture.cluster.SetPolicy(TwoAccounts({kTwo}, {kTwo}), fixture.now);
  const auto one = Spec("a", 1, 1);
  CHECK(fixture.Run("j", one, {On("w0", 0, 1)}, false) == Verdict::kAccepted);
  // The other half is guaranteed to b; the second accelerator of a's cell is
  // next to j.
  CHECK(fixture.Run("k", one, {On("w0", 2, 1)}, false) ==
        Verdict::kBreaksGuarantee);
  CHECK(fixture.Run("k", one, {On("w0", 1, 1)}, false) == Verdict::kAccepted);
  CHECK(fixture.Run("l", one, {On("w0", 2, 1)}, true) == Verdict::kAccepted);
  CHECK(fixture.Run("m", Spec("b", 1, 2), {On("w0", 2, 2)}, false) ==
        Verdict::kCellTaken);
}

TEST_CASE("guaranteed work may not split the cells another account needs") {
  ClusterFixture fixture(2);
  fixture.cluster.SetPolicy(TwoAccounts({{2, 2, false}}, {kFour}), fixture.now);
  const auto two = Spec("a", 1, 2);
  CHECK(fixture.Run("j", two, {On("w0", 0, 2)}, false) == Verdict::kAccepted);
  CHECK(fixture.Run("k", two, {On("w1", 0, 2)}, false) ==
        Verdict::kBreaksGuarantee);
  CHECK(fixture.Run("k", two, {On("w0", 2, 2)}, false) == Verdict::kAccepted);
}

TEST_CASE("a worker that joins a bound rack is not part of the bound cell") {
  ClusterFixture fixture;
  fixture.cluster.SetPolicy(TwoAccounts({kRack}, {kFour}), fixture.now);
  CHECK(fixture.Run("j", Spec("a", 1, 1), {On("w0", 0, 1)}, false) ==
        Verdict::kAccepted);
  CHECK(fixture.Apply(Registered("w9", 1, "r0")) == Verdict::kAccepted);
  CHECK(fixture.Run("k", Spec("b", 1, 4), {On("w9", 0, 4)}, false) ==
        Verdict::kAccepted);
  CHECK(fixture.Apply(Ended("j", 1, records::GANG_OUTCOME_SUCCEEDED)) ==
        Verdict::kAccepted);
  const auto& allocator = fixture.cluster.GetAllocator();
  CHECK(allocator.Unbound().Get(*fixture.cluster.IndexOf(WorkerId("w9"))) == 0);
  CHECK(allocator.Unbound().Get(*fixture.cluster.IndexOf(WorkerId("w0"))) ==
        15);
}

TEST_CASE("a rack with work of two accounts is bound to neither") {
  ClusterFixture fixture;
  fixture.cluster.SetPolicy(TwoAccounts({kTwo}, {kTwo}), fixture.now);
  CHECK(fixture.Run("j", NeverPreemptible(Spec("a", 1, 1)), {On("w0", 0, 1)},
                    false) == Verdict::kAccepted);
  CHECK(fixture.Run("k", NeverPreemptible(Spec("b", 1, 1)), {On("w0", 2, 1)},
                    false) == Verdict::kAccepted);
  fixture.cluster.SetPolicy(TwoAccounts({kRack}, {kRack}), fixture.now);
  CHECK(fixture.cluster.Accounts()[0].at_risk == 8);
  CHECK(fixture.cluster.Accounts()[1].at_risk == 8);
}

TEST_CASE("an unused part of a split guaranteed cell stays with its account") {
  // Otherwise b could fill half of each worker, and a's cell of 4 would be lost
  // when a's small job ends.
  ClusterFixture fixture(2);
  fixture.cluster.SetPolicy(TwoAccounts({kFour}, {{2, 2, false}}), fixture.now);
  CHECK(fixture.Run("j", Spec("a", 1, 2), {On("w0", 0, 2)}, false) ==
        Verdict::kAccepted);
  CHECK(fixture.Run("k", Spec("b", 1, 2), {On("w0", 2, 2)}, false) ==
        Verdict::kBreaksGuarantee);
  CHECK(fixture.Run("k", Spec("b", 1, 2), {On("w1", 0, 2)}, false) ==
        Verdict::kAccepted);
}

TEST_CASE(
    "a placement preempts its victims and waits until they have stopped") {
  ClusterFixture fixture(1);
  fixture.cluster.SetPolicy(TwoAccounts({kFour}, {}), fixture.now);
  CHECK(fixture.Run("v", Spec("b", 1, 2), {On("w0", 0, 2)}, true) ==
        Verdict::kAccepted);
  CHECK(fixture.Run("n", Spec("b", 1, 2), {On("w0", 2, 2)}, true) ==
        Verdict::kAccepted);
  fixture.Apply(Submitted("j", Spec("a", 1, 4)));
  const std::vector<records::Member> all = {On("w0", 0, 4)};
  CHECK(fixture.Apply(Placed("j", 1, all, false, {"v"})) ==
        Verdict::kCellTaken);
  CHECK(fixture.Apply(Placed("j", 1, all, true, {"v", "n"})) ==
        Verdict::kVictimNotPreemptible);
  CHECK(fixture.Apply(Placed("j", 1, all, false, {"v", "n"})) ==
        Verdict::kAccepted);
  CHECK(fixture.Get("v").state == JobState::kStopping);
  CHECK(fixture.Apply(Committed("j", 1)) == Verdict::kVictimsRemain);
  CHECK(fixture.cluster.GetWaitingStatus(JobId("j")).reason ==
        WaitingReason::kVictimsStopping);
  CHECK(fixture.Apply(Ended("v", 1, records::GANG_OUTCOME_STOPPED)) ==
        Verdict::kAccepted);
  CHECK(fixture.Apply(Committed("j", 1)) == Verdict::kVictimsRemain);
  CHECK(fixture.Apply(Ended("n", 1, records::GANG_OUTCOME_STOPPED)) ==
        Verdict::kAccepted);
  CHECK(fixture.Apply(Committed("j", 1)) == Verdict::kAccepted);
  CHECK(fixture.Get("v").state == JobState::kQueued);
  CHECK(fixture.Get("v").attempt == 2);
}

TEST_CASE(
    "a gang placed over a waiting gang waits for the job that still runs") {
  ClusterFixture fixture(1);
  fixture.cluster.SetPolicy(TwoAccounts({kFour}, {}), fixture.now);
  fixture.Run("v", Spec("b", 1, 4), {On("w0", 0, 4)}, true);
  records::JobSpec urgent = Spec("b", 1, 4);
  urgent.set_job_class(records::JOB_CLASS_URGENT);
  fixture.Apply(Submitted("u", urgent));
  fixture.Apply(Submitted("j", Spec("a", 1, 4)));
  const std::vector<records::Member> all = {On("w0", 0, 4)};
  CHECK(fixture.Apply(Placed("u", 1, all, true, {"v"})) == Verdict::kAccepted);
  CHECK(fixture.Apply(Placed("j", 1, all, false, {"u"})) ==
        Verdict::kCellTaken);
  CHECK(fixture.Apply(Placed("j", 1, all, false, {"u", "v"})) ==
        Verdict::kAccepted);
  CHECK(fixture.Get("u").state == JobState::kQueued);
  CHECK(fixture.Apply(Committed("j", 1)) == Verdict::kVictimsRemain);
  fixture.now = fixture.now.After(60'000);
  CHECK(fixture.Apply(Ended("v", 1, records::GANG_OUTCOME_STOPPED)) ==
        Verdict::kAccepted);
  // The prepare timeout starts when the last victim ends.
  CHECK(fixture.Get("j").since == fixture.now);
}

TEST_CASE("a guaranteed, unrelated or unknown victim rejects the placement") {
  ClusterFixture fixture(2);
  fixture.cluster.SetPolicy(TwoAccounts({kFour}, {kTwo}), fixture.now);
  CHECK(fixture.Run("g", Spec("b", 1, 2), {On("w0", 0, 2)}, false) ==
        Verdict::kAccepted);
  CHECK(fixture.Run("u", Spec("b", 1, 1), {On("w0", 2, 1)}, true) ==
        Verdict::kAccepted);
  fixture.Apply(Submitted("j", Spec("a", 1, 4)));
  CHECK(fixture.Apply(Placed("j", 1, {On("w0", 0, 4)}, false, {"g", "u"})) ==
        Verdict::kVictimNotPreemptible);
  CHECK(fixture.Apply(Placed("j", 1, {On("w1", 0, 4)}, false, {"u"})) ==
        Verdict::kMalformed);
  CHECK(fixture.Apply(Placed("j", 1, {On("w1", 0, 4)}, false, {"x"})) ==
        Verdict::kUnknownJob);
  CHECK(fixture.Get("u").state == JobState::kRunning);
}

TEST_CASE("a placement is refused if any member does not match the job") {
  ClusterFixture fixture;
  Policy policy = TwoAccounts({{2, 4, false}}, {});
  policy.accounts[AccountId("a")].quota = 6;
  fixture.cluster.SetPolicy(policy, fixture.now);
  records::JobSpec spec = Spec("a", 2, 2);
  spec.set_adjacency(records::ADJACENCY_RACK);
  fixture.Apply(Submitted("j", spec));
  const auto place = [&](const records::Member& x, const records::Member& y) {
    return fixture.Apply(Placed("j", 1, {x, y}, true));
  };
  CHECK(fixture.Apply(Placed("j", 1, {On("w0", 0, 2)}, true)) ==
        Verdict::kMalformed);
  CHECK(place(On("w0", 0, 2), On("w0", 0, 2)) == Verdict::kCellTaken);
  CHECK(place(On("w0", 0, 2), On("w0", 1, 2)) == Verdict::kMalformed);
  CHECK(place(On("w0", 0, 2), On("w0", 4, 2)) == Verdict::kMalformed);
  CHECK(place(On("w0", 0, 2), On("w0", 2, 1)) == Verdict::kCannotRun);
  CHECK(place(On("w0", 0, 2), On("w2", 0, 2)) == Verdict::kNotAdjacent);
  CHECK(place(On("w0", 0, 2), On("w0", 2, 2, 2)) == Verdict::kStaleIncarnation);
  CHECK(place(On("w0", 0, 4), On("w1", 0, 4)) == Verdict::kAboveQuota);
  fixture.Apply(StateChanged("w1", 1, records::WORKER_STATE_DRAINING));
  CHECK(place(On("w0", 0, 2), On("w1", 0, 2)) == Verdict::kWorkerUnavailable);
  fixture.Apply(Submitted("n", NeverPreemptible(Spec("a", 1, 1))));
  CHECK(fixture.Apply(Placed("n", 1, {On("w0", 0, 1)}, true)) ==
        Verdict::kNotPreemptible);
  CHECK(fixture.Apply(Placed("j", 2, {}, true)) == Verdict::kStaleAttempt);
  CHECK(place(On("w0", 0, 2), On("w0", 2, 2)) == Verdict::kAccepted);
  CHECK(place(On("w0", 0, 2), On("w0", 2, 2)) == Verdict::kWrongState);
}

TEST_CASE("a non-idempotent job is never started again without a checkpoint") {
  const auto after = [](records::GangOutcome outcome,
                        const std::string& checkpoint) {
    ClusterFixture fixture(1);
    fixture.cluster.SetPolicy(TwoAccounts({kFour}, {}), fixture.now);
    CHECK(fixture.Run("j", NonIdempotent(Spec("a", 1, 1)), {On("w0", 0, 1)},
                      false) == Verdict::kAccepted);
    CHECK(fixture.Apply(Ended("j", 1, outcome, {}, checkpoint)) ==
          Verdict::kAccepted);
    return fixture.Get("j").state;
  };
  CHECK(after(records::GANG_OUTCOME_FAILED, "") == JobState::kFailed);
  CHECK(after(records::GANG_OUTCOME_STOPPED, "") == JobState::kFailed);
  CHECK(after(records::GANG_OUTCOME_LAPSED, "") == JobState::kOutcomeUnknown);
  CHECK(after(records::GANG_OUTCOME_CHECKPOINTED, "") == JobState::kFailed);
  CHECK(after(records::GANG_OUTCOME_CHECKPOINTED, "c") == JobState::kQueued);
}

TEST_CASE("retries end after three failures or when the budget is empty") {
  ClusterSettings settings;
  settings.retry_burst = 3;
  ClusterFixture fixture(4, settings);
  fixture.cluster.SetPolicy(TwoAccounts({kFour}, {}), fixture.now);
  const auto fail = [&](const std::string& job, std::uint32_t attempt) {
    const auto cell = On("w" + std::to_string(attempt), 0, 1);
    CHECK(fixture.Run(job, Spec("a", 1, 1), {cell}, true) ==
          Verdict::kAccepted);
    fixture.Apply(
        Ended(job, attempt, records::GANG_OUTCOME_FAILED, {cell.worker()}));
    return fixture.Get(job).reason;
  };
  CHECK(fail("j", 1) == EndReason::kFailed);
  CHECK(fail("j", 2) == EndReason::kFailed);
  CHECK(fail("j", 3) == EndReason::kAttemptsSpent);
  CHECK(fixture.Get("j").state == JobState::kFailed);
  CHECK(fixture.Get("j").failed_workers.size() == 3);
  CHECK(fail("k", 1) == EndReason::kFailed);
  CHECK(fail("l", 1) == EndReason::kRetryBudgetSpent);
}

TEST_CASE("a quarantine lasts twice as long each time and ends in probation") {
  ClusterFixture fixture(1);
  fixture.cluster.SetPolicy(TwoAccounts({kFour}, {}), fixture.now);
  const auto change = [&](records::WorkerState state) {
    return fixture.Apply(StateChanged("w0", 1, state));
  };
  for (const std::int64_t backoff_ms : {30'000, 60'000, 120'000}) {
    CHECK(change(records::WORKER_STATE_QUARANTINED) == Verdict::kAccepted);
    fixture.now = fixture.now.After(backoff_ms - 1);
    CHECK(change(records::WORKER_STATE_PROBATION) == Verdict::kWrongState);
    fixture.now = fixture.now.After(1);
    CHECK(change(records::WORKER_STATE_PROBATION) == Verdict::kAccepted);
  }
  CHECK(change(records::WORKER_STATE_READY) == Verdict::kWrongState);
  CHECK(fixture.Run("j", Spec("a", 1, 1), {On("w0", 0, 1)}, true) ==
        Verdict::kAccepted);
  CHECK(fixture.Run("k", Spec("a", 1, 1), {On("w0", 1, 1)}, true) ==
        Verdict::kWorkerUnavailable);
  fixture.Apply(Ended("j", 1, records::GANG_OUTCOME_SUCCEEDED));
  CHECK(change(records::WORKER_STATE_READY) == Verdict::kAccepted);
  CHECK(change(records::WORKER_STATE_QUARANTINED) == Verdict::kAccepted);
  CHECK(change(records::WORKER_STATE_LOST) == Verdict::kAccepted);
  CHECK(fixture.Apply(Registered("w0", 2, "r0")) == Verdict::kAccepted);
  CHECK(fixture.cluster.Workers().at(WorkerId("w0")).state ==
        WorkerState::kQuarantined);
}

TEST_CASE("a lost worker stops its gangs and puts guarantees at risk") {
  ClusterFixture fixture(2);
  fixture.cluster.SetPolicy(TwoAccounts({kFour}, {kFour}), fixture.now);
  CHECK(fixture.Run("j", Spec("a", 2, 2), {On("w0", 0, 2), On("w0", 2, 2)},
                    false) == Verdict::kAccepted);
  fixture.Apply(Submitted("p", Spec("b", 1, 1)));
  CHECK(fixture.Apply(Placed("p", 1, {On("w1", 0, 1)}, false)) ==
        Verdict::kAccepted);
  CHECK(fixture.Apply(StateChanged("w0", 0, records::WORKER_STATE_LOST)) ==
        Verdict::kStaleIncarnation);
  CHECK(fixture.Apply(StateChanged("w0", 1, records::WORKER_STATE_LOST)) ==
        Verdict::kAccepted);
  CHECK(fixture.Get("j").state == JobState::kStopping);
  CHECK(fixture.cluster.Accounts()[0].at_risk == 4);
  CHECK(fixture.cluster.Accounts()[1].at_risk == 0);
  CHECK(fixture.Apply(Registered("w1", 0, "r0")) == Verdict::kStaleIncarnation);
  CHECK(fixture.Apply(Registered("w1", 2, "r0")) == Verdict::kAccepted);
  CHECK(fixture.Get("p").state == JobState::kQueued);
  CHECK(fixture.Apply(Registered("w0", 1, "r0")) == Verdict::kAccepted);
  CHECK(fixture.cluster.Accounts()[0].at_risk == 0);
}

TEST_CASE("work beyond a reduced guarantee becomes borrowed") {
  ClusterFixture fixture(2);
  fixture.cluster.SetPolicy(TwoAccounts({{2, 4, false}}, {}), fixture.now);
  CHECK(fixture.Run("j", Spec("a", 1, 4), {On("w0", 0, 4)}, false) ==
        Verdict::kAccepted);
  CHECK(fixture.Run("k", NeverPreemptible(Spec("a", 1, 4)), {On("w1", 0, 4)},
                    false) == Verdict::kAccepted);
  fixture.cluster.SetPolicy(TwoAccounts({}, {kFour}), fixture.now);
  CHECK(fixture.Get("j").borrowed);
  CHECK_FALSE(fixture.Get("k").borrowed);
  CHECK(fixture.cluster.Accounts()[1].at_risk == 0);
  CHECK(fixture.cluster.Accounts()[0].borrowed == 4);
  fixture.cluster.SetPolicy(TwoAccounts({}, {{2, 4, false}}), fixture.now);
  CHECK(fixture.cluster.Accounts()[1].at_risk == 4);
}

TEST_CASE("a corrected size applies to queued jobs, with hysteresis") {
  ClusterFixture fixture;
  fixture.cluster.SetPolicy(TwoAccounts({kFour}, {}), fixture.now);
  fixture.Apply(Submitted("j", Spec("a", 1, 1)));
  CHECK(fixture.Apply(Corrected("x", "kind", 1, 1)) ==
        Verdict::kUnknownAccount);
  CHECK(fixture.Apply(Corrected("a", "kind", 1000, 2000)) ==
        Verdict::kAccepted);
  CHECK(fixture.Apply(Corrected("a", "kind", 1050, 2100)) ==
        Verdict::kDuplicate);
  CHECK(fixture.cluster.Queue().begin()->first.demand.size.memory_mb == 2000);
  CHECK(fixture.Apply(Placed("j", 1, {On("w0", 0, 1)}, true)) ==
        Verdict::kCannotRun);
  CHECK(fixture.Apply(Placed("j", 1, {On("w0", 0, 2)}, true)) ==
        Verdict::kAccepted);
}

TEST_CASE("run times are learned from successes alone") {
  ClusterFixture fixture;
  fixture.cluster.SetPolicy(TwoAccounts({kFour}, {}), fixture.now);
  const auto spec = Spec("a", 1, 1);
  fixture.Run("j", spec, {On("w0", 0, 1)}, true);
  fixture.Apply(Ended("j", 1, records::GANG_OUTCOME_FAILED));
  CHECK(fixture.cluster.EstimatedRunMs(spec) == 60'000);
  fixture.Run("k", spec, {On("w0", 0, 1)}, true);
  fixture.Apply(Ended("k", 1, records::GANG_OUTCOME_SUCCEEDED));
  CHECK(fixture.cluster.EstimatedRunMs(spec) == 30'000);
}

TEST_CASE("a damaged snapshot is refused and changes nothing") {
  ClusterFixture fixture;
  fixture.cluster.SetPolicy(TwoAccounts({kFour}, {}), fixture.now);
  fixture.Run("j", Spec("a", 1, 2), {On("w0", 0, 2)}, false);
  const std::uint64_t hash = fixture.cluster.Hash();
  records::Snapshot snapshot;
  fixture.cluster.Save(snapshot);
  const std::string whole = snapshot.scheduling();
  for (std::size_t size = 0; size < whole.size(); ++size) {
    snapshot.set_scheduling(whole.substr(0, size));
    CHECK_FALSE(fixture.cluster.Load(snapshot));
  }
  snapshot.set_scheduling(whole + "x");
  CHECK_FALSE(fixture.cluster.Load(snapshot));
  CHECK(fixture.cluster.Hash() == hash);
}

TEST_CASE("a waiting job has one reason with its numbers") {
  ClusterFixture fixture(2);
  Policy policy = TwoAccounts({kFour}, {});
  policy.accounts[AccountId("b")].quota = 4;
  fixture.cluster.SetPolicy(policy, fixture.now);
  const auto why = [&](const std::string& job, const records::JobSpec& spec) {
    fixture.Apply(Submitted(job, spec));
    return fixture.cluster.GetWaitingStatus(JobId(job));
  };
  CHECK(why("first", Spec("b", 1, 1)).reason == WaitingReason::kBehindOthers);
  CHECK(fixture.Run("r", Spec("b", 2, 1), {On("w0", 0, 1), On("w1", 0, 1)},
                    true) == Verdict::kAccepted);
  const auto quota = why("q", Spec("b", 1, 4));
  CHECK(quota.reason == WaitingReason::kOverQuota);
  CHECK(quota.available == 2);
  const auto cells = why("c", Spec("a", 1, 4));
  CHECK(cells.reason == WaitingReason::kNoFreeCells);
  CHECK(cells.available == 0);
  records::JobSpec adjacent = Spec("a", 2, 2);
  adjacent.set_adjacency(records::ADJACENCY_WORKER);
  CHECK(why("t", adjacent).reason == WaitingReason::kNotAdjacent);
  CHECK(Describe(why("t", adjacent)) ==
        "The job needs 2 adjacent cells of 2 accelerators, but at most 1 are "
        "free in one place.");
}

}  // namespace
}  // namespace carobrill::scheduling
