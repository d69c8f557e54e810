#ifndef PACKAGES_WORKLOAD_RECORD_CODEC_H_
#define PACKAGES_WORKLOAD_RECORD_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "packages/core/result.h"
#include "packages/workload/job.h"

namespace carobrill::workload {

/// A stored record that cannot be decoded; `key` is the id of its job.
struct RecordError {
  std::string key;
};

/// Encodes an accepted job for storage.
std::string EncodeSubmission(const Submission& submission);

/// Decodes an accepted job. Fails with RecordError.
Result<Submission> DecodeSubmission(const JobId& id, const std::string& bytes);

/// Size of a progress record, in bytes, from which checkpoints are left out.
/// The platform's log takes records of 262,144 bytes, including their keys.
inline constexpr std::size_t kMaxProgressBytes = 250'000;

/// Number of tasks of one job that may have run and not completed at a time, so
/// that its progress record stays below kMaxProgressBytes without checkpoints.
inline constexpr std::uint32_t kMaxTasksAtWork = 6'000;

/// Encodes the progress of a job, without its submission, for storage. A record
/// that would be too long has no checkpoints of running tasks, which their
/// workers list again, or else none at all.
std::string EncodeProgress(const Job& job);

/// Decodes progress into `job`, which must hold the matching submission. Fails
/// with RecordError and leaves `job` unchanged.
Result<void> DecodeProgress(const std::string& bytes, Job& job);

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_RECORD_CODEC_H_
