#ifndef PACKAGES_PLATFORM_WORKER_CLIENT_H_
#define PACKAGES_PLATFORM_WORKER_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "packages/core/name_table.h"
#include "packages/core/time.h"
#include "packages/http/http_client.h"
#include "packages/platform/platform_reply.h"

namespace carobrill::platform {

/// Identity and capacity reported by a worker.
struct WorkerDescription {
  std::string worker;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
};

/// Description of a task to start.
struct WorkerTaskSpec {
  std::string task;
  std::int64_t lease_ms = 0;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  std::vector<std::uint32_t> accelerators;
  std::int64_t run_ms = 0;
  std::string payload;
  /// Checkpoint from which an earlier run resumes; omitted if empty.
  std::string checkpoint;
};

/// State of a task on the worker.
enum class WorkerTaskState {
  kRunning,
  kSucceeded,
  kFailed,
  kStopped,
  kLeaseExpired,
};

constexpr auto NamesOf(WorkerTaskState) {
  return MakeNameTable<WorkerTaskState>({
      {WorkerTaskState::kRunning, "running"},
      {WorkerTaskState::kSucceeded, "succeeded"},
      {WorkerTaskState::kFailed, "failed"},
      {WorkerTaskState::kStopped, "stopped"},
      {WorkerTaskState::kLeaseExpired, "lapsed"},
  });
}

/// Task entry in the list returned by the worker.
struct WorkerTask {
  std::string task;
  WorkerTaskState state = WorkerTaskState::kRunning;
  std::string checkpoint;
  bool has_usage = false;
  std::uint32_t cores_milli = 0;
  std::uint32_t memory_mb = 0;
  std::int64_t usage_age_ms = 0;
};

/// Client of one worker. A start call is never retried; every call ends at its
/// deadline.
class WorkerClient {
 public:
  /// `url` is the worker's base URL; `http` must outlive the client.
  WorkerClient(http::HttpClient& http, std::string url);

  void Describe(Instant deadline, PlatformCallback<WorkerDescription> callback);
  void Start(const WorkerTaskSpec& spec,
             Instant deadline,
             PlatformCallback<Done> callback);
  void RenewLease(const std::string& task,
                  std::int64_t lease_ms,
                  Instant deadline,
                  PlatformCallback<Done> callback);
  void Stop(const std::string& task,
            Instant deadline,
            PlatformCallback<Done> callback);
  void Checkpoint(const std::string& task,
                  Instant deadline,
                  PlatformCallback<Done> callback);

  /// Limits the task to a share of its cores, given in thousandths.
  void Throttle(const std::string& task,
                std::uint32_t share_permille,
                Instant deadline,
                PlatformCallback<Done> callback);
  void List(Instant deadline,
            PlatformCallback<std::vector<WorkerTask>> callback);

 private:
  void Send(http::HttpClientRequest call, PlatformCallback<Done> callback);
  void PostToTask(const std::string& task,
                  const std::string& action,
                  std::string body,
                  Instant deadline,
                  PlatformCallback<Done> callback);

  http::HttpClient& http;
  std::string url;
};

}  // namespace carobrill::platform

#endif  // PACKAGES_PLATFORM_WORKER_CLIENT_H_
