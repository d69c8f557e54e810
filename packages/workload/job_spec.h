#ifndef PACKAGES_WORKLOAD_JOB_SPEC_H_
#define PACKAGES_WORKLOAD_JOB_SPEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/time.h"
#include "packages/workload/resources.h"

namespace carobrill::workload {

/// One step of a job: a number of identical tasks.
struct StepSpec {
  std::uint32_t tasks = 1;
  /// Resources that one task requests.
  Resources demand;
  /// Approximate run time of a task; 0 when unknown.
  std::int64_t estimate_ms = 0;
  /// Indexes of earlier steps whose tasks must all have completed first.
  std::vector<std::uint32_t> depends_on;
  bool checkpointable = false;
  /// The tasks are gang-scheduled: they run only together and end together.
  bool gang = false;
  /// The tasks run slower when they are spread over more than one rack.
  bool one_rack = false;
  /// Several copies of a task may run in parallel; the first to end counts.
  bool copies_allowed = false;
  /// The tasks run as a service until the job is cancelled.
  bool long_running = false;
  /// The tasks run on CPU time that other tasks leave idle, so their CPU
  /// request reserves no capacity.
  bool filler = false;
  /// Label that a worker must have; empty when any worker will do.
  std::string worker_label;
  /// Rack that stores the input data; the tasks run slower on other racks.
  std::string data_rack;
  /// Maximum number of tasks of one occurrence on one worker; 0 for no limit.
  std::uint32_t max_per_worker = 0;
  /// Maximum number of tasks that voluntary disruptions, such as preemption,
  /// may make unavailable at the same time.
  std::uint32_t max_unavailable = 0;
  /// Tail latency that a long-running task must stay below; 0 for no target.
  std::int64_t latency_target_ms = 0;
  std::string image;

  /// Resources that one task reserves on its worker.
  Resources PlacementDemand() const {
    Resources placement_demand = this->demand;
    if (this->filler) {
      placement_demand.cpu_millis = 0;
    }
    return placement_demand;
  }
};

/// A job as submitted by a client.
struct JobSpec {
  /// Opaque input that is passed to the workers unchanged.
  std::string payload;
  std::vector<StepSpec> steps;
  /// Number of scheduled occurrences; 0 to run once, immediately.
  std::uint32_t repeats = 0;
  /// Wall-clock time (Unix ms) at which the first occurrence is due.
  Instant first_due;
  std::int64_t interval_ms = 0;

  /// Number of occurrences, at least 1.
  std::uint32_t Occurrences() const {
    return this->repeats == 0 ? 1 : this->repeats;
  }
};

/// An external placement policy that selects the workers which may run a step.
struct AdvicePolicy {
  /// @{
  /// Response time in ms: a fixed part, and a part per worker in the request.
  std::int64_t decide_ms = 0;
  std::int64_t each_ms = 0;
  /// @}
  /// Validity period of a ticket, in ms.
  std::int64_t valid_ms = 0;

  bool operator==(const AdvicePolicy&) const = default;
};

/// Number of workers in the one policy request per step whose response time an
/// objective includes; also the lower bound for the size limit of a request.
inline constexpr std::int64_t kBaselineAdviceCandidates = 30;

/// An accepted job with the settings of its queue at the time of acceptance.
struct Submission {
  JobId id;
  AccountId account;
  std::string queue;
  ServiceId service;
  /// 0 is the highest priority, which may preempt all others.
  std::uint32_t priority = 0;
  /// Number of failed runs of one task, or of one gang, that fails the job.
  std::uint32_t max_attempts = 1;
  /// The objective allows `stretch_percent` of the critical path of the steps,
  /// plus `objective_slack_ms`.
  std::uint32_t stretch_percent = 100;
  std::int64_t objective_slack_ms = 0;
  /// Set when the queue has an external placement policy.
  std::optional<AdvicePolicy> advice;
  /// Wall-clock time (Unix ms) of the acceptance.
  Instant accepted_at;
  JobSpec spec;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_JOB_SPEC_H_
