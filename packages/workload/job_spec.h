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

/// One step of a job: a number of equal tasks.
struct StepSpec {
  std::uint32_t tasks = 1;
  /// Room that each task takes on its worker.
  Resources demand;
  /// Rough duration of a task; 0 when unknown.
  std::int64_t estimate_ms = 0;
  /// Earlier steps whose tasks must all be done first.
  std::vector<std::uint32_t> depends_on;
  bool checkpointable = false;
  /// The tasks work only together and end together.
  bool gang = false;
  /// The tasks slow down when they run on more than one rack.
  bool one_rack = false;
  /// Copies of a task may run in parallel; the first end counts.
  bool copies_allowed = false;
  /// The tasks run until the job is cancelled.
  bool long_running = false;
  /// The tasks take processor time that other tasks leave unused, so their
  /// processor demand does not count as room.
  bool filler = false;
  /// Label that a worker must have; empty for any.
  std::string worker_label;
  /// Rack that holds the data; elsewhere the tasks slow down.
  std::string data_rack;
  /// Tasks of one occurrence that may run on one worker; 0 for any number.
  std::uint32_t max_per_worker = 0;
  /// Tasks that planned work may take away at the same time.
  std::uint32_t max_unavailable = 0;
  /// Tail latency that a long-running task must stay below; 0 for none.
  std::int64_t latency_target_ms = 0;
  std::string image;

  /// Room that one task takes on a worker.
  Resources PlacementDemand() const {
    Resources placement_demand = this->demand;
    if (this->filler) {
      placement_demand.cpu_millis = 0;
    }
    return placement_demand;
  }
};

/// What a client hands in.
struct JobSpec {
  /// Passed to the workers unread.
  std::string payload;
  std::vector<StepSpec> steps;
  /// How often the steps run; 0 for once, at once.
  std::uint32_t repeats = 0;
  /// Time of day (Unix ms) at which the first occurrence is due.
  Instant first_due;
  std::int64_t interval_ms = 0;

  /// Number of occurrences.
  std::uint32_t Occurrences() const {
    return this->repeats == 0 ? 1 : this->repeats;
  }
};

/// A policy outside of carobrill that names the workers which may run a step.
struct AdvicePolicy {
  /// @{
  /// Time of an answer, in ms: a constant part, and one per worker asked about.
  std::int64_t decide_ms = 0;
  std::int64_t each_ms = 0;
  /// @}
  /// How long a ticket is valid, in ms.
  std::int64_t valid_ms = 0;

  bool operator==(const AdvicePolicy&) const = default;
};

/// Workers in the one question about a step that an objective allows for.
inline constexpr std::int64_t kBaselineAdviceCandidates = 30;

/// An accepted job with what its queue said of it when it was accepted.
struct Submission {
  JobId id;
  AccountId account;
  std::string queue;
  ServiceId service;
  /// 0 is served first and may preempt the others.
  std::uint32_t priority = 0;
  /// Failed runs of one task, or of one gang, after which the job has failed.
  std::uint32_t max_attempts = 1;
  /// The objective is `stretch_percent` of the longest chain of work and
  /// `objective_slack_ms` more.
  std::uint32_t stretch_percent = 100;
  std::int64_t objective_slack_ms = 0;
  /// Set when a policy of the queue's own names the workers for each step.
  std::optional<AdvicePolicy> advice;
  /// Time of day (Unix ms) of the acceptance.
  Instant accepted_at;
  JobSpec spec;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_JOB_SPEC_H_
