#ifndef PACKAGES_WORKLOAD_RECORD_CODEC_H_
#define PACKAGES_WORKLOAD_RECORD_CODEC_H_

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

/// Encodes the progress of a job, without its submission, for storage.
std::string EncodeProgress(const Job& job);

/// Decodes progress into `job`, which must hold the matching submission. Fails
/// with RecordError and leaves `job` unchanged.
Result<void> DecodeProgress(const std::string& bytes, Job& job);

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_RECORD_CODEC_H_
