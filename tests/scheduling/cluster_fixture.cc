#include "tests/scheduling/cluster_fixture.h"

#include <doctest/doctest.h>

namespace carobrill::scheduling {

Charts TestCharts() {
  const auto charts =
      Charts::Load(std::string(CAROBRILL_SOURCE_DIRECTORY) + "/charts");
  REQUIRE(charts.has_value());
  return *charts;
}

records::Record Registered(const std::string& worker,
                           std::uint64_t incarnation,
                           const std::string& rack,
                           std::uint32_t accelerators) {
  records::Record record;
  auto& body = *record.mutable_worker_registered();
  body.set_worker(worker);
  body.set_incarnation(incarnation);
  body.set_rack(rack);
  body.set_failure_domain("d" + rack);
  body.set_region("region");
  body.mutable_capacity()->set_accelerators(accelerators);
  body.mutable_capacity()->set_cores_milli(1000 * accelerators);
  body.mutable_capacity()->set_memory_mb(1000 * accelerators);
  return record;
}

records::Record StateChanged(const std::string& worker,
                             std::uint64_t incarnation,
                             records::WorkerState state) {
  records::Record record;
  auto& body = *record.mutable_worker_state_changed();
  body.set_worker(worker);
  body.set_incarnation(incarnation);
  body.set_state(state);
  return record;
}

records::JobSpec Spec(const std::string& account,
                      std::uint32_t members,
                      std::uint32_t accelerators) {
  records::JobSpec spec;
  spec.set_account(account);
  spec.set_job_class(records::JOB_CLASS_NORMAL);
  spec.set_kind("kind");
  spec.set_members(members);
  spec.mutable_member_size()->set_accelerators(accelerators);
  spec.set_adjacency(records::ADJACENCY_NONE);
  spec.set_expected_run_ms(60'000);
  spec.set_idempotent(true);
  spec.set_preemption(records::PREEMPTION_STOP);
  return spec;
}

records::Record Submitted(const std::string& job,
                          const records::JobSpec& spec) {
  records::Record record;
  record.mutable_job_submitted()->set_job(job);
  *record.mutable_job_submitted()->mutable_spec() = spec;
  return record;
}

records::Record Cancelled(const std::string& job) {
  records::Record record;
  record.mutable_job_cancelled()->set_job(job);
  return record;
}

records::Record Placed(const std::string& job,
                       std::uint32_t attempt,
                       const std::vector<records::Member>& members,
                       bool borrowed,
                       const std::vector<std::string>& victims) {
  records::Record record;
  auto& body = *record.mutable_gang_placed();
  body.set_job(job);
  body.set_attempt(attempt);
  body.set_borrowed(borrowed);
  for (const auto& member : members) {
    *body.add_members() = member;
  }
  for (const auto& victim : victims) {
    body.add_victims(victim);
  }
  return record;
}

records::Member On(const std::string& worker,
                   std::uint32_t first,
                   std::uint32_t count,
                   std::uint64_t incarnation) {
  records::Member member;
  member.set_worker(worker);
  member.set_incarnation(incarnation);
  member.set_first_accelerator(first);
  member.set_accelerators(count);
  return member;
}

records::Record Committed(const std::string& job, std::uint32_t attempt) {
  records::Record record;
  record.mutable_gang_start_committed()->set_job(job);
  record.mutable_gang_start_committed()->set_attempt(attempt);
  return record;
}

records::Record Started(const std::string& job, std::uint32_t attempt) {
  records::Record record;
  record.mutable_gang_started()->set_job(job);
  record.mutable_gang_started()->set_attempt(attempt);
  return record;
}

records::Record StopRequested(const std::string& job,
                              std::uint32_t attempt,
                              records::StopReason reason) {
  records::Record record;
  auto& body = *record.mutable_gang_stop_requested();
  body.set_job(job);
  body.set_attempt(attempt);
  body.set_reason(reason);
  return record;
}

records::Record Ended(const std::string& job,
                      std::uint32_t attempt,
                      records::GangOutcome outcome,
                      const std::vector<std::string>& failed,
                      const std::string& checkpoint) {
  records::Record record;
  auto& body = *record.mutable_gang_ended();
  body.set_job(job);
  body.set_attempt(attempt);
  body.set_outcome(outcome);
  body.set_run_ms(30'000);
  body.set_checkpoint(checkpoint);
  for (const auto& worker : failed) {
    body.add_failed_workers(worker);
  }
  return record;
}

records::Record Corrected(const std::string& account,
                          const std::string& kind,
                          std::uint32_t cores_milli,
                          std::uint32_t memory_mb) {
  records::Record record;
  auto& body = *record.mutable_size_corrected();
  body.set_account(account);
  body.set_kind(kind);
  body.mutable_size()->set_cores_milli(cores_milli);
  body.mutable_size()->set_memory_mb(memory_mb);
  return record;
}

Policy TwoAccounts(std::vector<GuaranteedCells> a,
                   std::vector<GuaranteedCells> b) {
  Policy policy;
  policy.accounts[AccountId("a")].guarantee = std::move(a);
  policy.accounts[AccountId("b")].guarantee = std::move(b);
  return policy;
}

ClusterFixture::ClusterFixture(std::uint32_t workers, ClusterSettings settings)
    : cluster(TestCharts(), settings) {
  for (std::uint32_t i = 0; i < workers; ++i) {
    CHECK(this->Apply(Registered("w" + std::to_string(i), 1,
                                 "r" + std::to_string(i / 2))) ==
          records::Verdict::kAccepted);
  }
}

records::Verdict ClusterFixture::Apply(const records::Record& record) {
  return this->cluster.Apply(record, this->offset++, this->now);
}

records::Verdict ClusterFixture::Run(
    const std::string& job,
    const records::JobSpec& spec,
    const std::vector<records::Member>& members,
    bool borrowed) {
  if (this->cluster.FindJob(JobId(job)) == nullptr) {
    const auto verdict = this->Apply(Submitted(job, spec));
    if (verdict != records::Verdict::kAccepted) {
      return verdict;
    }
  }
  const std::uint32_t attempt = this->Get(job).attempt;
  const auto verdict = this->Apply(Placed(job, attempt, members, borrowed));
  if (verdict == records::Verdict::kAccepted) {
    CHECK(this->Apply(Committed(job, attempt)) == verdict);
    CHECK(this->Apply(Started(job, attempt)) == verdict);
  }
  return verdict;
}

const Job& ClusterFixture::Get(const std::string& job) const {
  const Job* found = this->cluster.FindJob(JobId(job));
  REQUIRE(found != nullptr);
  return *found;
}

}  // namespace carobrill::scheduling
