#include "packages/daemon/audit_trail.h"

#include <string>

namespace carobrill::daemon {
namespace {

struct Change {
  std::string name;
  std::string subject;
};

Change DescribeChange(const records::Record& record) {
  switch (record.body_case()) {
    case records::Record::kRulesPublished:
      return {"rules_published",
              "base version " +
                  std::to_string(record.rules_published().base_version())};
    case records::Record::kWorkerRegistered:
      return {"worker_registered", record.worker_registered().worker()};
    case records::Record::kWorkerStateChanged:
      return {"worker_state_changed", record.worker_state_changed().worker()};
    case records::Record::kJobSubmitted:
      return {"job_submitted", record.job_submitted().job()};
    case records::Record::kJobCancelled:
      return {"job_cancelled", record.job_cancelled().job()};
    case records::Record::kGangPlaced:
      return {"gang_placed", record.gang_placed().job()};
    case records::Record::kGangStopRequested:
      return {"gang_stop_requested", record.gang_stop_requested().job()};
    case records::Record::kGangEnded:
      return {"gang_ended", record.gang_ended().job()};
    case records::Record::kSizeCorrected:
      return {"size_corrected", record.size_corrected().account() + "/" +
                                    record.size_corrected().kind()};
    default:
      return {};
  }
}

}  // namespace

void AuditTrail::Add(const records::Record& record,
                     Offset offset,
                     Instant appended_at,
                     records::Verdict verdict) {
  const Change change = DescribeChange(record);
  if (change.name.empty()) {
    return;
  }
  AuditView view;
  view.offset = offset;
  view.appended_at_ms = appended_at.ms;
  view.actor = record.actor();
  view.instance = record.writer().instance();
  view.change = change.name;
  view.subject = change.subject;
  view.verdict = NameOf(verdict);
  this->changes.push_back(std::move(view));
  if (this->changes.size() > this->limit) {
    this->changes.pop_front();
  }
}

}  // namespace carobrill::daemon
