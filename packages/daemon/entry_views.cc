#include "packages/daemon/entry_views.h"

#include <algorithm>

namespace carobrill::daemon {
namespace {

PriorityClass ClassOf(records::JobClass job_class) {
  switch (job_class) {
    case records::JOB_CLASS_URGENT:
      return PriorityClass::kUrgent;
    case records::JOB_CLASS_BATCH:
      return PriorityClass::kBatch;
    default:
      return PriorityClass::kNormal;
  }
}

std::uint32_t AcceleratorsInUse(const scheduling::Cluster& cluster,
                                const scheduling::Worker& worker) {
  std::uint32_t used = 0;
  for (const auto& id : worker.jobs) {
    const auto* job = cluster.FindJob(id);
    if (job == nullptr) {
      continue;
    }
    for (const auto& member : job->members) {
      used += member.worker == worker.id ? member.accelerators : 0;
    }
  }
  return used;
}

std::string StateOf(const membership::KnownEntry& entry) {
  if (entry.draining) {
    return "draining";
  }
  return std::string(NameOf(entry.liveness));
}

}  // namespace

JobView ViewOf(const scheduling::Cluster& cluster, const scheduling::Job& job) {
  JobView view;
  view.job = job.id;
  view.account = AccountId(job.spec.account());
  view.work_class = ClassOf(job.spec.job_class());
  view.kind = job.spec.kind();
  view.state = NameOf(job.state);
  view.attempt = job.attempt;
  view.members = job.spec.members();
  view.accelerators = job.spec.member_size().accelerators();
  view.idempotent = job.spec.idempotent();
  view.borrowed = job.borrowed;
  for (const auto& member : job.members) {
    view.workers.push_back(member.worker);
  }
  const scheduling::WaitingStatus waiting = cluster.GetWaitingStatus(job.id);
  if (waiting.reason != scheduling::WaitingReason::kNone) {
    view.waiting_reason = scheduling::Describe(waiting);
    view.queue_position = waiting.ahead + 1;
  }
  if (job.reason != scheduling::EndReason::kNone) {
    view.reason = NameOf(job.reason);
  }
  view.submitted_at_ms = job.submitted_at.ms;
  view.started_at_ms = job.started_at.ms;
  view.ended_at_ms = scheduling::IsEnded(job.state) ? job.since.ms : 0;
  return view;
}

WorkerView ViewOf(const scheduling::Cluster& cluster,
                  const scheduling::Worker& worker) {
  WorkerView view;
  view.worker = worker.id;
  view.rack = worker.rack;
  view.failure_domain = worker.domain;
  view.region = worker.region;
  view.state = NameOf(worker.state);
  view.reason = worker.reason;
  view.accelerators = worker.accelerators;
  view.accelerators_used = AcceleratorsInUse(cluster, worker);
  view.cores_milli = worker.cores_milli;
  view.memory_mb = worker.memory_mb;
  view.incarnation = worker.incarnation;
  return view;
}

AccountView ViewOf(const scheduling::AccountStatus& status,
                   const rules::AccountRule& rule) {
  AccountView view;
  view.account = status.account;
  view.guarantee = Describe(rule.guarantee);
  view.quota = status.quota.value_or(0);
  view.share = rule.share;
  view.used_guaranteed = status.in_use - status.borrowed;
  view.used_borrowed = status.borrowed;
  view.jobs_queued = status.waiting_jobs;
  view.at_risk = status.at_risk > 0;
  if (view.at_risk) {
    view.at_risk_reason = std::to_string(status.at_risk) + " of " +
                          std::to_string(status.guaranteed) +
                          " guaranteed accelerators do not fit on the "
                          "available hardware";
  }
  return view;
}

RulesView ViewOf(const rules::RuleBook& rules) {
  RulesView view;
  view.version = rules.Version();
  view.author = rules.Author();
  view.text = rules.Text();
  if (!rules.History().empty()) {
    view.published_at_ms = rules.History().back().appended_at.ms;
  }
  return view;
}

RuleVersionView ViewOf(const rules::RuleVersion& version) {
  RuleVersionView view;
  view.version = version.version;
  view.author = version.author;
  view.published_at_ms = version.appended_at.ms;
  view.diff = Describe(version.diff);
  return view;
}

EndpointView ViewOf(const ServingEndpoint& endpoint, Instant now) {
  EndpointView view;
  view.endpoint = endpoint.endpoint;
  view.service = endpoint.service;
  view.partner = endpoint.partner;
  view.state = endpoint.routable ? "serving" : "not_routable";
  view.slots = endpoint.slots;
  view.slots_used = endpoint.slots_used;
  view.connections = endpoint.connections;
  view.connections_used = endpoint.connections_used;
  view.last_report_age_ms = now.ms - endpoint.reported_at.ms;
  return view;
}

InstanceView ViewOf(const membership::KnownEntry& entry) {
  InstanceView view;
  view.instance = entry.entry;
  view.role = "entry";
  view.incarnation = entry.incarnation;
  view.address = entry.address;
  view.failure_domain = FailureDomainId(entry.failure_domain);
  view.region = RegionId(entry.region);
  view.state = StateOf(entry);
  view.applied_offset = entry.applied_offset;
  view.lineage = entry.lineage;
  view.rules_version = entry.rules_version;
  return view;
}

std::string Describe(const rules::RuleDiff& diff) {
  std::string text;
  for (const auto& line : diff) {
    text += line.change == rules::LineChange::kAdded ? "+" : "-";
    text += line.text + "\n";
  }
  return text;
}

std::string Describe(const std::vector<rules::GuaranteeCells>& guarantee) {
  std::string text;
  for (const auto& cells : guarantee) {
    text += text.empty() ? "" : ",";
    text += std::to_string(cells.count);
    if (cells.level == rules::CellLevel::kWorker) {
      text += "x" + std::to_string(cells.accelerators);
    }
    text += "@" + std::string(NameOf(cells.level));
  }
  return text;
}

}  // namespace carobrill::daemon
