#ifndef PACKAGES_WORKLOAD_RECORD_CODEC_H_
#define PACKAGES_WORKLOAD_RECORD_CODEC_H_

#include <string>

#include "packages/core/result.h"
#include "packages/workload/job.h"

namespace carobrill::workload {

/// A stored record that cannot be read.
struct RecordError {
  std::string key;
};

/// The stored form of an accepted job.
std::string EncodeSubmission(const Submission& submission);

/// Reads an accepted job. Fails with RecordError.
Result<Submission> DecodeSubmission(const JobId& id, const std::string& bytes);

/// The stored form of a job's progress, without its submission.
std::string EncodeProgress(const Job& job);

/// Reads progress into `job`, which holds the submission that it belongs to.
/// Fails with RecordError and leaves `job` as it was.
Result<void> DecodeProgress(const std::string& bytes, Job& job);

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_RECORD_CODEC_H_
