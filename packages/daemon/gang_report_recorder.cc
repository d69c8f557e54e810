#include "packages/daemon/gang_report_recorder.h"

#include <optional>
#include <utility>

namespace carobrill::daemon {
namespace {

using scheduling::JobState;

constexpr std::int64_t kRecordTimeoutMs = 2'000;

records::GangOutcome OutcomeOf(rpc::GangPhase phase) {
  switch (phase) {
    case rpc::GANG_PHASE_SUCCEEDED:
      return records::GANG_OUTCOME_SUCCEEDED;
    case rpc::GANG_PHASE_FAILED:
      return records::GANG_OUTCOME_FAILED;
    case rpc::GANG_PHASE_STOPPED:
      return records::GANG_OUTCOME_STOPPED;
    case rpc::GANG_PHASE_CHECKPOINTED:
      return records::GANG_OUTCOME_CHECKPOINTED;
    default:
      return records::GANG_OUTCOME_UNSPECIFIED;
  }
}

// The watcher may not know the worker of a failed member. In that case it is
// taken from the placement.
void AddFailedWorkers(const rpc::GangReport& report,
                      const scheduling::Job& job,
                      records::GangEnded& body) {
  for (const auto& worker : report.failed_workers()) {
    body.add_failed_workers(worker);
  }
  for (const auto member : report.failed_members()) {
    if (body.failed_workers().empty() && member < job.members.size()) {
      body.add_failed_workers(job.members[member].worker.value);
    }
  }
}

std::optional<records::Record> RecordOf(const rpc::GangReport& report,
                                        const scheduling::Job& job) {
  records::Record record;
  if (report.phase() == rpc::GANG_PHASE_RUNNING) {
    record.mutable_gang_started()->set_job(report.job());
    record.mutable_gang_started()->set_attempt(report.attempt());
    return record;
  }
  const auto outcome = OutcomeOf(report.phase());
  if (outcome == records::GANG_OUTCOME_UNSPECIFIED) {
    return std::nullopt;
  }
  auto* body = record.mutable_gang_ended();
  body->set_job(report.job());
  body->set_attempt(report.attempt());
  body->set_outcome(outcome);
  body->set_checkpoint(report.checkpoint());
  body->set_run_ms(report.run_ms());
  AddFailedWorkers(report, job, *body);
  return record;
}

rpc::ReportGangReply ReplyOf(bool recorded) {
  rpc::ReportGangReply reply;
  reply.set_recorded(recorded);
  return reply;
}

}  // namespace

void GangReportRecorder::OnReport(
    const rpc::GangReport& report,
    rpc::Responder<rpc::ReportGangReply> respond) {
  if (this->IsRecorded(report)) {
    respond(ReplyOf(true));
    return;
  }
  const auto* job =
      this->session.State().GetCluster().FindJob(JobId(report.job()));
  std::optional<records::Record> record;
  if (job != nullptr && job->attempt == report.attempt()) {
    record = RecordOf(report, *job);
  }
  // A replica that is not up to date may not know the placement yet.
  if (!record.has_value()) {
    respond(ReplyOf(false));
    return;
  }
  this->proposer.Propose(
      std::move(*record), "watcher", BootClock{}.Now().After(kRecordTimeoutMs),
      [this, report, respond](const ledger::ProposalResult& /*result*/) {
        respond(ReplyOf(this->IsRecorded(report)));
      });
}

bool GangReportRecorder::IsRecorded(const rpc::GangReport& report) const {
  const auto* job =
      this->session.State().GetCluster().FindJob(JobId(report.job()));
  if (job == nullptr) {
    return false;
  }
  if (job->attempt > report.attempt() || scheduling::IsEnded(job->state)) {
    return true;
  }
  return job->attempt == report.attempt() &&
         report.phase() == rpc::GANG_PHASE_RUNNING &&
         (job->state == JobState::kRunning ||
          job->state == JobState::kStopping);
}

}  // namespace carobrill::daemon
