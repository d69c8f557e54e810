#ifndef PACKAGES_DAEMON_API_TYPES_H_
#define PACKAGES_DAEMON_API_TYPES_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/daemon/api_error.h"

namespace carobrill::daemon {

/// Urgency of requests and jobs.
enum class WorkClass { kUrgent, kNormal, kBatch };

constexpr auto NamesOf(WorkClass) {
  return MakeNameTable<WorkClass>({{WorkClass::kUrgent, "urgent"},
                                   {WorkClass::kNormal, "normal"},
                                   {WorkClass::kBatch, "batch"}});
}

/// How close the members of a gang must be.
enum class Adjacency { kNone, kWorker, kRack, kFailureDomain };

constexpr auto NamesOf(Adjacency) {
  return MakeNameTable<Adjacency>(
      {{Adjacency::kNone, "none"},
       {Adjacency::kWorker, "worker"},
       {Adjacency::kRack, "rack"},
       {Adjacency::kFailureDomain, "failure_domain"}});
}

/// What may be done to a job whose cells are reclaimed.
enum class Preemption { kNever, kStop, kCheckpoint };

constexpr auto NamesOf(Preemption) {
  return MakeNameTable<Preemption>({{Preemption::kNever, "never"},
                                    {Preemption::kStop, "stop"},
                                    {Preemption::kCheckpoint, "checkpoint"}});
}

/// A short request to a service.
struct RequestCommand {
  /// Made by the API, unique per process; the answer must carry it.
  std::string request;
  /// Empty when the caller gave none; never empty when not idempotent.
  std::string idempotency_key;
  ServiceId service;
  AccountId account;
  WorkClass work_class = WorkClass::kNormal;
  bool idempotent = true;
  /// Boot clock.
  Instant deadline = Instant::Never();
  std::string kind;
  std::int64_t expected_run_ms = 0;
  std::string payload;
  bool hold_during_outage = false;
  /// The caller vouches that it has not sent this key before.
  bool first_attempt = false;
};

/// The answer of a service to one request.
struct RequestAnswer {
  /// Copied from the command.
  std::string request;
  std::string answer;
  /// Endpoint that answered, for the reader; may be empty.
  EndpointId endpoint;
};

/// A job to be queued.
struct JobCommand {
  std::string idempotency_key;
  AccountId account;
  WorkClass work_class = WorkClass::kNormal;
  std::string kind;
  std::uint32_t members = 1;
  /// Per member: a power of two, 0 for none.
  std::uint32_t accelerators = 0;
  /// Per member, in thousandths of a core.
  std::uint32_t cores_milli = 0;
  /// Per member, in MiB.
  std::uint32_t memory_mb = 0;
  Adjacency adjacency = Adjacency::kNone;
  std::int64_t expected_run_ms = 0;
  bool idempotent = true;
  Preemption preemption = Preemption::kNever;
  /// Wall clock; Instant::Never() for none.
  Instant deadline = Instant::Never();
  std::string payload;
  /// Who asked, for the audit trail; may be empty.
  std::string actor;
};

/// A job to be cancelled.
struct CancelCommand {
  JobId job;
  std::string actor;
};

/// A rule file to be published.
struct PublishRules {
  std::uint64_t base_version = 0;
  std::string author;
  std::string text;
};

/// A worker to be drained or returned to service.
struct DrainCommand {
  WorkerId worker;
  bool drain = true;
  std::string reason;
  std::string actor;
};

/// Which part of a list is wanted.
struct PageQuery {
  std::uint32_t limit = 100;
  /// Cursor of the page before (`Page::next`); empty for the first page.
  std::string after;
};

/// Which jobs are wanted; empty fields match all.
struct JobQuery {
  PageQuery page;
  AccountId account;
  std::string state;
  std::optional<WorkClass> work_class;
};

/// A part of a list.
template <typename View>
struct Page {
  std::vector<View> items;
  /// Cursor of the next page; empty when this is the last one.
  std::string next;
};

/// A job as it is now. Times are wall-clock milliseconds of the log, 0 when the
/// event has not happened.
struct JobView {
  JobId job;
  AccountId account;
  WorkClass work_class = WorkClass::kNormal;
  std::string kind;
  std::string state;
  std::uint32_t attempt = 0;
  std::uint32_t members = 0;
  std::uint32_t accelerators = 0;
  bool idempotent = true;
  bool borrowed = false;
  std::vector<WorkerId> workers;
  /// One sentence that says why a queued job waits; empty otherwise.
  std::string waiting_reason;
  /// Place in the queue from 1; 0 when not queued.
  std::uint32_t queue_position = 0;
  /// Why the last attempt ended, or why the job was refused; may be empty.
  std::string reason;
  std::int64_t submitted_at_ms = 0;
  std::int64_t started_at_ms = 0;
  std::int64_t ended_at_ms = 0;
};

/// The rule file in force.
struct RulesView {
  std::uint64_t version = 0;
  std::string author;
  std::string text;
  std::int64_t published_at_ms = 0;
};

/// One published version of the rule file.
struct RuleVersionView {
  std::uint64_t version = 0;
  std::string author;
  std::int64_t published_at_ms = 0;
  /// Difference to the version before.
  std::string diff;
};

/// Verdict on a rule file that is not published.
struct RulesCheckView {
  bool valid = false;
  std::uint64_t version_in_force = 0;
  std::vector<RuleFault> faults;
  /// Difference to the version in force.
  std::string diff;
};

/// A client account and its use of the hardware, in accelerators.
struct AccountView {
  AccountId account;
  std::string guarantee;
  std::uint32_t quota = 0;
  std::uint32_t share = 0;
  std::uint32_t used_guaranteed = 0;
  std::uint32_t used_borrowed = 0;
  std::uint32_t jobs_queued = 0;
  std::uint32_t jobs_running = 0;
  /// True when the remaining hardware cannot hold the guarantee.
  bool at_risk = false;
  std::string at_risk_reason;
};

/// A worker as the scheduler knows it.
struct WorkerView {
  WorkerId worker;
  RackId rack;
  FailureDomainId failure_domain;
  RegionId region;
  std::string state;
  std::string reason;
  std::uint32_t accelerators = 0;
  std::uint32_t accelerators_used = 0;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  Incarnation incarnation = 0;
};

/// A service endpoint as this entry hears it.
struct EndpointView {
  EndpointId endpoint;
  ServiceId service;
  std::string partner;
  FailureDomainId failure_domain;
  RegionId region;
  std::string state;
  std::uint32_t slots = 0;
  std::uint32_t slots_used = 0;
  std::uint32_t connections = 0;
  std::uint32_t connections_used = 0;
  std::int64_t heard_ms_ago = 0;
};

/// An instance of carobrilld as this entry hears it.
struct InstanceView {
  InstanceId instance;
  std::string role;
  Incarnation incarnation = 0;
  std::string address;
  FailureDomainId failure_domain;
  RegionId region;
  std::string state;
  bool planner = false;
  Offset applied_offset = 0;
  std::string lineage;
  std::uint64_t rules_version = 0;
  std::int64_t heard_ms_ago = 0;
};

/// One change in the audit trail.
struct AuditView {
  Offset offset = 0;
  std::int64_t appended_at_ms = 0;
  std::string actor;
  std::string instance;
  std::string change;
  std::string subject;
  std::string verdict;
};

/// Whether this entry may serve, and why not.
struct Readiness {
  bool ready = false;
  std::string reason;
};

/// What the backend answers: a value or a typed problem.
template <typename T>
using Answer = std::variant<T, Problem>;

/// Takes the answer; called once, from any thread.
template <typename T>
using AnswerCallback = std::function<void(Answer<T>)>;

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_API_TYPES_H_
