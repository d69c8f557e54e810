#include "packages/daemon/gang_coordinator.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

namespace carobrill::daemon {
namespace {

using scheduling::Cluster;
using scheduling::GangPhase;
using scheduling::JobState;

constexpr Incarnation kAgentIncarnation = 7;

/// Two workers and a placed job with two members.
struct Fixture {
  Fixture()
      : cluster(scheduling::Charts::Load(CAROBRILL_SOURCE_DIRECTORY "/charts")
                    .value()) {
    scheduling::Policy policy;
    policy.accounts[AccountId("a")].guarantee = {{2, 4, false}};
    this->cluster.SetPolicy(policy, Instant{1});
    for (const std::string name : {"w0", "w1"}) {
      this->Register(name);
    }
    this->Submit();
    this->Place();
    REQUIRE(this->StateOfJob() == JobState::kPlaced);
  }

  void Register(const std::string& name) {
    records::Record record;
    auto* body = record.mutable_worker_registered();
    body->set_worker(name);
    body->set_incarnation(kAgentIncarnation);
    body->set_rack("r");
    body->set_failure_domain("d");
    body->mutable_capacity()->set_accelerators(4);
    body->mutable_capacity()->set_cores_milli(4000);
    body->mutable_capacity()->set_memory_mb(4000);
    this->Apply(record);
    membership::KnownWorker known;
    known.worker = WorkerId(name);
    known.agent = InstanceId("agent-" + name);
    known.agent_incarnation = kAgentIncarnation;
    known.address = name;
    this->workers[known.worker] = known;
  }

  void Submit() {
    records::Record record;
    record.mutable_job_submitted()->set_job("j");
    auto* spec = record.mutable_job_submitted()->mutable_spec();
    spec->set_account("a");
    spec->set_job_class(records::JOB_CLASS_NORMAL);
    spec->set_kind("k");
    spec->set_members(2);
    spec->mutable_member_size()->set_accelerators(4);
    spec->mutable_member_size()->set_cores_milli(1000);
    spec->mutable_member_size()->set_memory_mb(1000);
    spec->set_adjacency(records::ADJACENCY_NONE);
    spec->set_expected_run_ms(1000);
    spec->set_idempotent(true);
    spec->set_preemption(records::PREEMPTION_STOP);
    this->Apply(record);
  }

  void Place() {
    records::Record record;
    record.mutable_gang_placed()->set_job("j");
    record.mutable_gang_placed()->set_attempt(1);
    for (const std::string name : {"w0", "w1"}) {
      auto* member = record.mutable_gang_placed()->add_members();
      member->set_worker(name);
      member->set_incarnation(kAgentIncarnation);
      member->set_accelerators(4);
    }
    this->Apply(record);
  }

  void Apply(const records::Record& record) {
    REQUIRE(this->cluster.Apply(record, ++this->offset, Instant{10}) ==
            records::Verdict::kAccepted);
  }

  JobState StateOfJob() const {
    return this->cluster.FindJob(JobId("j"))->state;
  }

  std::vector<MemberCall> StepAt(std::int64_t ms) {
    return this->coordinator.Step(this->cluster, this->workers, Instant{ms});
  }

  Cluster cluster;
  WorkerMap workers;
  GangCoordinator coordinator;
  Offset offset = 0;
};

rpc::MemberReply Accepted(bool settled = false) {
  rpc::MemberReply reply;
  reply.set_accepted(true);
  reply.set_settled(settled);
  return reply;
}

TEST_CASE("a gang is prepared only when every member has accepted") {
  // Guards against starting a gang before all members have reserved their
  // cells.
  Fixture fixture;
  const auto calls = fixture.StepAt(0);
  REQUIRE(calls.size() == 2);
  CHECK(calls[0].id.kind == MemberCallKind::kPrepare);
  CHECK(calls[1].body.watcher() == "agent-w0");
  fixture.coordinator.OnReply(calls[0].id, Accepted());
  CHECK(fixture.coordinator.Reports(fixture.cluster).empty());
  fixture.coordinator.OnReply(calls[1].id, Accepted());
  const auto reports = fixture.coordinator.Reports(fixture.cluster);
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].phase == GangPhase::kPrepared);
}

TEST_CASE("a failed call is retried and a call in flight is not") {
  // Guards against a gang that waits forever after a failed call, and against
  // duplicate calls while one is in flight.
  Fixture fixture;
  const auto calls = fixture.StepAt(0);
  CHECK(fixture.StepAt(1'000).empty());
  fixture.coordinator.OnFailure(calls[0].id);
  const auto again = fixture.StepAt(1'000);
  REQUIRE(again.size() == 1);
  CHECK(again[0].id == calls[0].id);
}

TEST_CASE("a member on another incarnation of its agent is not called") {
  // Guards against using a placement on an agent that has restarted since.
  Fixture fixture;
  fixture.workers[WorkerId("w1")].agent_incarnation = kAgentIncarnation + 1;
  CHECK(fixture.StepAt(0).size() == 1);
}

TEST_CASE(
    "a stopping gang that no watcher reports ends when all have settled") {
  // Guards against cells that are never released because the watcher was never
  // started.
  Fixture fixture;
  records::Record record;
  record.mutable_gang_start_committed()->set_job("j");
  record.mutable_gang_start_committed()->set_attempt(1);
  fixture.Apply(record);
  record.mutable_gang_stop_requested()->set_job("j");
  record.mutable_gang_stop_requested()->set_attempt(1);
  record.mutable_gang_stop_requested()->set_reason(
      records::STOP_REASON_WORKER_LOST);
  fixture.Apply(record);
  const auto calls = fixture.StepAt(0);
  REQUIRE(calls.size() == 2);
  CHECK(calls[0].id.kind == MemberCallKind::kStop);
  fixture.coordinator.OnReply(calls[0].id, Accepted(true));
  fixture.coordinator.OnReply(calls[1].id, Accepted(false));
  CHECK(fixture.coordinator.Reports(fixture.cluster).empty());
  const auto again = fixture.StepAt(1'000);
  REQUIRE(again.size() == 1);
  fixture.coordinator.OnReply(again[0].id, Accepted(true));
  const auto reports = fixture.coordinator.Reports(fixture.cluster);
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].phase == GangPhase::kEnded);
  CHECK(reports[0].outcome == records::GANG_OUTCOME_STOPPED);
}

}  // namespace
}  // namespace carobrill::daemon
