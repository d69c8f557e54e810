#include "packages/daemon/entry_backend.h"

#include <utility>
#include <vector>

#include "packages/daemon/entry_views.h"
#include "packages/daemon/problems.h"
#include "packages/rules/rule_parser.h"

namespace carobrill::daemon {
namespace {

using ledger::ProposalOutcome;
using ledger::ProposalResult;
using records::Verdict;

// How long an API call waits until the log has decided a record.
constexpr std::int64_t kDecisionTimeoutMs = 5'000;

Instant DecisionDeadline() {
  return BootClock{}.Now().After(kDecisionTimeoutMs);
}

records::JobClass ClassOf(PriorityClass work_class) {
  switch (work_class) {
    case PriorityClass::kUrgent:
      return records::JOB_CLASS_URGENT;
    case PriorityClass::kNormal:
      return records::JOB_CLASS_NORMAL;
    case PriorityClass::kBatch:
      return records::JOB_CLASS_BATCH;
  }
  return records::JOB_CLASS_NORMAL;
}

records::Adjacency AdjacencyOf(Adjacency adjacency) {
  switch (adjacency) {
    case Adjacency::kNone:
      return records::ADJACENCY_NONE;
    case Adjacency::kWorker:
      return records::ADJACENCY_WORKER;
    case Adjacency::kRack:
      return records::ADJACENCY_RACK;
    case Adjacency::kFailureDomain:
      return records::ADJACENCY_FAILURE_DOMAIN;
  }
  return records::ADJACENCY_NONE;
}

records::Preemption PreemptionOf(Preemption preemption) {
  switch (preemption) {
    case Preemption::kNever:
      return records::PREEMPTION_NEVER;
    case Preemption::kStop:
      return records::PREEMPTION_STOP;
    case Preemption::kCheckpoint:
      return records::PREEMPTION_CHECKPOINT;
  }
  return records::PREEMPTION_NEVER;
}

records::JobSpec SpecOf(const JobCommand& command) {
  records::JobSpec spec;
  spec.set_account(command.account.value);
  spec.set_job_class(ClassOf(command.work_class));
  spec.set_kind(command.kind);
  spec.set_members(command.members);
  spec.mutable_member_size()->set_accelerators(command.accelerators);
  spec.mutable_member_size()->set_cores_milli(command.cores_milli);
  spec.mutable_member_size()->set_memory_mb(command.memory_mb);
  spec.set_adjacency(AdjacencyOf(command.adjacency));
  spec.set_expected_run_ms(command.expected_run_ms);
  spec.set_idempotent(command.idempotent);
  spec.set_preemption(PreemptionOf(command.preemption));
  if (command.deadline < Instant::Never()) {
    spec.set_deadline_ms(command.deadline.ms);
  }
  spec.set_payload(command.payload);
  return spec;
}

// A call with an idempotency key may be a retry of a call that has already
// submitted the job, so it is unknown whether the job ran.
Problem NotSubmittedProblem(const JobCommand& command) {
  Problem problem = ToProblem(ProposalOutcome::kNotWritten);
  if (!command.idempotency_key.empty()) {
    problem.ran = Ran::kUnknown;
  }
  return problem;
}

bool Matches(const JobView& view, const JobQuery& query) {
  return (query.account.empty() || view.account == query.account) &&
         (query.state.empty() || view.state == query.state) &&
         (!query.work_class.has_value() ||
          view.work_class == *query.work_class);
}

std::string DescribeError(const rules::RuleError& error) {
  std::string text = "column " + std::to_string(error.column) + ": " +
                     std::string(NameOf(error.kind));
  if (!error.word.empty()) {
    text += " \"" + error.word + "\"";
  }
  return text;
}

std::vector<RuleFileError> FaultsOf(const std::string& text) {
  std::vector<RuleFileError> faults;
  for (const auto& error : rules::ParseRules(text).errors) {
    faults.push_back(
        {error.line, std::string(NameOf(error.kind)), DescribeError(error)});
  }
  return faults;
}

// Page keys are compared as strings. Numbers are padded with zeros so that they
// sort by value.
std::string PadNumber(std::uint64_t number) {
  std::string digits = std::to_string(number);
  return std::string(20 - digits.size(), '0') + digits;
}

}  // namespace

void EntryBackend::ExecuteRequest(RequestCommand command,
                                  ApiResultCallback<RequestResult> reply) {
  this->task.Post(
      [this, command = std::move(command), reply = std::move(reply)]() mutable {
        this->core.Requests().Execute(command, std::move(reply));
      });
}

void EntryBackend::SubmitJob(JobCommand command,
                             ApiResultCallback<JobView> reply) {
  this->task.Post(
      [this, command = std::move(command), reply = std::move(reply)]() mutable {
        this->SubmitOnTask(command, std::move(reply));
      });
}

void EntryBackend::SubmitOnTask(const JobCommand& command,
                                ApiResultCallback<JobView> reply) {
  if (this->core.Session().InOutage()) {
    reply(NotSubmittedProblem(command));
    return;
  }
  const JobId id = this->NextJobId();
  records::Record record;
  record.mutable_job_submitted()->set_job(id.value);
  record.mutable_job_submitted()->set_idempotency_key(command.idempotency_key);
  *record.mutable_job_submitted()->mutable_spec() = SpecOf(command);
  this->core.GetProposer().Propose(
      std::move(record), command.actor, DecisionDeadline(),
      [this, id, command,
       reply = std::move(reply)](const ProposalResult& result) {
        if (result.outcome == ProposalOutcome::kNotWritten) {
          reply(NotSubmittedProblem(command));
          return;
        }
        if (result.outcome != ProposalOutcome::kDecided) {
          reply(ToProblem(result.outcome));
          return;
        }
        if (result.verdict == Verdict::kDuplicate) {
          const auto* job = this->core.State().GetCluster().FindByKey(
              command.account, command.idempotency_key);
          reply(job == nullptr ? Answer<JobView>(ToProblem(result.verdict))
                               : this->ViewOfJob(job->id));
          return;
        }
        if (result.verdict != Verdict::kAccepted) {
          reply(ToProblem(result.verdict));
          return;
        }
        reply(this->ViewOfJob(id));
      });
}

void EntryBackend::CancelJob(CancelCommand command,
                             ApiResultCallback<JobView> reply) {
  this->task.Post([this, command = std::move(command),
                   reply = std::move(reply)]() mutable {
    records::Record record;
    record.mutable_job_cancelled()->set_job(command.job.value);
    this->core.GetProposer().Propose(
        std::move(record), command.actor, DecisionDeadline(),
        [this, id = command.job, reply](const ProposalResult& result) {
          if (result.outcome != ProposalOutcome::kDecided) {
            reply(ToProblem(result.outcome));
          } else if (result.verdict == Verdict::kWrongState) {
            reply(Problem{ApiError::kJobEnded, "the job has ended already"});
          } else if (result.verdict != Verdict::kAccepted) {
            reply(ToProblem(result.verdict));
          } else {
            reply(this->ViewOfJob(id));
          }
        });
  });
}

void EntryBackend::GetJob(JobId job, ApiResultCallback<JobView> reply) {
  this->task.Post([this, job = std::move(job), reply = std::move(reply)] {
    reply(this->ViewOfJob(job));
  });
}

void EntryBackend::ListJobs(JobQuery query,
                            ApiResultCallback<Page<JobView>> reply) {
  this->task.Post([this, query = std::move(query), reply = std::move(reply)] {
    const auto& cluster = this->core.State().GetCluster();
    Page<JobView> page;
    // Only the views of one page are built, because the state retains ended
    // jobs for a day.
    for (auto job = cluster.Jobs().upper_bound(JobId(query.page.after));
         job != cluster.Jobs().end(); ++job) {
      JobView view = ViewOf(cluster, job->second);
      if (!Matches(view, query)) {
        continue;
      }
      if (page.items.size() == query.page.limit) {
        page.next = page.items.back().job.value;
        break;
      }
      page.items.push_back(std::move(view));
    }
    reply(std::move(page));
  });
}

void EntryBackend::GetRules(ApiResultCallback<RulesView> reply) {
  this->task.Post([this, reply = std::move(reply)] {
    reply(ViewOf(this->core.State().Rules()));
  });
}

void EntryBackend::Publish(PublishRulesCommand command,
                           ApiResultCallback<RulesView> reply) {
  this->task.Post(
      [this, command = std::move(command), reply = std::move(reply)]() mutable {
        this->PublishOnTask(command, std::move(reply));
      });
}

// Rules with errors are refused without writing a record. Version conflicts are
// decided only by the log, because this replica may not be up to date.
void EntryBackend::PublishOnTask(const PublishRulesCommand& command,
                                 ApiResultCallback<RulesView> reply) {
  if (!FaultsOf(command.text).empty()) {
    reply(this->RulesProblem(command, Verdict::kInvalidRules));
    return;
  }
  if (this->core.Session().InOutage()) {
    reply(ToProblem(ProposalOutcome::kNotWritten));
    return;
  }
  records::Record record;
  record.mutable_rules_published()->set_base_version(command.base_version);
  record.mutable_rules_published()->set_author(command.author);
  record.mutable_rules_published()->set_text(command.text);
  this->core.GetProposer().Propose(
      std::move(record), command.author, DecisionDeadline(),
      [this, command, reply = std::move(reply)](const ProposalResult& result) {
        if (result.outcome != ProposalOutcome::kDecided) {
          reply(ToProblem(result.outcome));
        } else if (result.verdict != Verdict::kAccepted) {
          reply(this->RulesProblem(command, result.verdict));
        } else {
          reply(ViewOf(this->core.State().Rules()));
        }
      });
}

void EntryBackend::CheckRules(std::string text,
                              ApiResultCallback<RulesCheckView> reply) {
  this->task.Post([this, text = std::move(text), reply = std::move(reply)] {
    const auto& book = this->core.State().Rules();
    records::RulesPublished published;
    published.set_base_version(book.Version());
    published.set_text(text);
    rules::RuleSet parsed;
    const Verdict verdict = this->core.State().CheckRules(published, &parsed);
    RulesCheckView view;
    view.valid = verdict == Verdict::kAccepted;
    view.version_in_force = book.Version();
    view.faults = FaultsOf(text);
    if (!view.valid && view.faults.empty()) {
      view.faults.push_back(
          {0, std::string(NameOf(verdict)), ToProblem(verdict).detail});
    }
    view.diff = Describe(rules::Diff(book.Text(), text));
    reply(std::move(view));
  });
}

void EntryBackend::ListRuleVersions(
    PageQuery query,
    ApiResultCallback<Page<RuleVersionView>> reply) {
  this->task.Post([this, query = std::move(query), reply = std::move(reply)] {
    std::vector<RuleVersionView> views;
    for (const auto& version : this->core.State().Rules().History()) {
      views.push_back(ViewOf(version));
    }
    reply(PageOf(std::move(views), query, [](const RuleVersionView& view) {
      return PadNumber(view.version);
    }));
  });
}

void EntryBackend::ListAccounts(PageQuery query,
                                ApiResultCallback<Page<AccountView>> reply) {
  this->task.Post([this, query = std::move(query), reply = std::move(reply)] {
    const auto& rules = this->core.State().Rules().Rules();
    std::vector<AccountView> views;
    for (const auto& status : this->core.State().GetCluster().Accounts()) {
      const auto rule = rules.accounts.find(status.account);
      views.push_back(ViewOf(status, rule == rules.accounts.end()
                                         ? rules::AccountRule{}
                                         : rule->second));
    }
    reply(PageOf(std::move(views), query,
                 [](const AccountView& view) { return view.account.value; }));
  });
}

void EntryBackend::ListWorkers(PageQuery query,
                               ApiResultCallback<Page<WorkerView>> reply) {
  this->task.Post([this, query = std::move(query), reply = std::move(reply)] {
    const auto& cluster = this->core.State().GetCluster();
    std::vector<WorkerView> views;
    for (const auto& [id, worker] : cluster.Workers()) {
      views.push_back(ViewOf(cluster, worker));
    }
    reply(PageOf(std::move(views), query,
                 [](const WorkerView& view) { return view.worker.value; }));
  });
}

void EntryBackend::ListEndpoints(PageQuery query,
                                 ApiResultCallback<Page<EndpointView>> reply) {
  this->task.Post([this, query = std::move(query), reply = std::move(reply)] {
    const Instant now = BootClock{}.Now();
    std::vector<EndpointView> views;
    for (const auto& endpoint : this->core.Directory().Endpoints(now)) {
      views.push_back(ViewOf(endpoint, now));
    }
    reply(PageOf(std::move(views), query,
                 [](const EndpointView& view) { return view.endpoint.value; }));
  });
}

void EntryBackend::ListInstances(PageQuery query,
                                 ApiResultCallback<Page<InstanceView>> reply) {
  this->task.Post([this, query = std::move(query), reply = std::move(reply)] {
    const Instant now = BootClock{}.Now();
    const auto rank = this->core.Directory().PlannerRank(now);
    std::vector<InstanceView> views;
    for (const auto& entry : this->core.Directory().Entries(now)) {
      views.push_back(ViewOf(entry));
      views.back().planner = !rank.empty() && rank.front() == entry.entry;
    }
    reply(PageOf(std::move(views), query,
                 [](const InstanceView& view) { return view.instance.value; }));
  });
}

void EntryBackend::ListAudit(PageQuery query,
                             ApiResultCallback<Page<AuditView>> reply) {
  this->task.Post([this, query = std::move(query), reply = std::move(reply)] {
    const auto& changes = this->core.Audit().Changes();
    reply(PageOf(std::vector<AuditView>(changes.begin(), changes.end()), query,
                 [](const AuditView& view) { return PadNumber(view.offset); }));
  });
}

void EntryBackend::SetWorkerDrain(DrainCommand command,
                                  ApiResultCallback<WorkerView> reply) {
  this->task.Post(
      [this, command = std::move(command), reply = std::move(reply)]() mutable {
        this->DrainOnTask(command, std::move(reply));
      });
}

void EntryBackend::DrainOnTask(const DrainCommand& command,
                               ApiResultCallback<WorkerView> reply) {
  const auto& workers = this->core.State().GetCluster().Workers();
  const auto found = workers.find(command.worker);
  if (found == workers.end()) {
    reply(Problem{ApiError::kUnknownWorker, "no worker has this name"});
    return;
  }
  records::Record record;
  auto* body = record.mutable_worker_state_changed();
  body->set_worker(command.worker.value);
  body->set_incarnation(found->second.incarnation);
  body->set_state(command.drain ? records::WORKER_STATE_DRAINING
                                : records::WORKER_STATE_READY);
  body->set_reason(command.reason);
  this->core.GetProposer().Propose(
      std::move(record), command.actor, DecisionDeadline(),
      [this, id = command.worker,
       reply = std::move(reply)](const ProposalResult& result) {
        if (result.outcome != ProposalOutcome::kDecided) {
          reply(ToProblem(result.outcome));
        } else if (result.verdict != Verdict::kAccepted) {
          reply(Problem{ApiError::kWorkerTransitionRefused,
                        "the worker's state does not allow this"});
        } else {
          reply(this->ViewOfWorker(id));
        }
      });
}

Answer<JobView> EntryBackend::ViewOfJob(const JobId& id) const {
  const auto& cluster = this->core.State().GetCluster();
  const auto* job = cluster.FindJob(id);
  if (job == nullptr) {
    return Problem{ApiError::kUnknownJob, "no job has this name"};
  }
  return ViewOf(cluster, *job);
}

Answer<WorkerView> EntryBackend::ViewOfWorker(const WorkerId& id) const {
  const auto& cluster = this->core.State().GetCluster();
  const auto found = cluster.Workers().find(id);
  if (found == cluster.Workers().end()) {
    return Problem{ApiError::kUnknownWorker, "no worker has this name"};
  }
  return ViewOf(cluster, found->second);
}

Problem EntryBackend::RulesProblem(const PublishRulesCommand& command,
                                   Verdict verdict) const {
  const auto& book = this->core.State().Rules();
  Problem problem = ToProblem(verdict);
  problem.version_in_force = book.Version();
  if (verdict == Verdict::kVersionConflict) {
    const auto diff = book.DiffSince(command.base_version);
    problem.diff = diff.has_value() ? Describe(*diff) : "";
  } else {
    problem.faults = FaultsOf(command.text);
  }
  return problem;
}

// The incarnation keeps ids unique across restarts of the instance.
JobId EntryBackend::NextJobId() {
  const EntryIdentity& identity = this->core.Identity();
  return JobId("job-" + identity.settings.instance.id + "-" +
               std::to_string(identity.incarnation) + "-" +
               std::to_string(++this->last_job_number));
}

}  // namespace carobrill::daemon
