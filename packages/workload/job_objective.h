#ifndef PACKAGES_WORKLOAD_JOB_OBJECTIVE_H_
#define PACKAGES_WORKLOAD_JOB_OBJECTIVE_H_

#include <cstdint>

#include "packages/workload/job.h"

namespace carobrill::workload {

/// Time of day (Unix ms) by which an occurrence should have ended: the longest
/// chain of estimated work times the queue's stretch, and its slack, after the
/// job was accepted or the occurrence was due.
Instant ObjectiveOf(const Job& job, std::uint32_t occurrence);

/// Longest chain of estimated work that an occurrence still has ahead, in ms.
std::int64_t RemainingMs(const Job& job, std::uint32_t occurrence);

/// What an occurrence can still earn.
enum class Prospect { kOnTime, kLate, kTooLate };

/// Objectives after which a job counts as too late, as a multiple of the first.
inline constexpr std::int64_t kLateFactor = 3;

/// Judges an occurrence at `wall` (Unix ms).
Prospect ProspectOf(const Job& job, std::uint32_t occurrence, Instant wall);

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_JOB_OBJECTIVE_H_
