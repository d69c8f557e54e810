#ifndef PACKAGES_TESTING_FAKE_WORKER_H_
#define PACKAGES_TESTING_FAKE_WORKER_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/core/task.h"
#include "packages/http/http_types.h"

namespace carobrill::testing {

/// Name and capacity of a fake worker.
struct FakeWorkerCapacity {
  std::string worker = "worker";
  double cores = 8;
  std::int64_t memory_mb = 16'384;
  std::int64_t accelerators = 8;
};

/// A fake worker (docs/design.md, section 6.2) that starts every task without
/// checking its capacity. `POST /control` injects faults; `GET /stats` reports
/// the tasks that ran.
class FakeWorker {
 public:
  explicit FakeWorker(FakeWorkerCapacity size);

  /// Handles one request; thread-safe.
  void Handle(const http::HttpRequest& request,
              const http::HttpResponder& respond);

 private:
  using Json = nlohmann::json;

  struct RunningTask {
    std::string state = "running";
    std::string checkpoint;
    double cores = 0;
    std::int64_t memory_mb = 0;
    std::set<std::int64_t> accelerators;
    double remaining_ms = 0;
    double completed_ms = 0;
    double share = 1;
    Instant lease_until;
    Instant started_at;
    Instant ended_at;
    Instant sampled_at;
  };

  void HandleAfterDelay(const http::HttpRequest& request,
                        const http::HttpResponder& respond);
  http::HttpResponse Respond(const http::HttpRequest& request);
  http::HttpResponse Start(const Json& body);
  http::HttpResponse HandleTaskCall(const std::string& path, const Json& body);
  http::HttpResponse Control(const Json& body);
  Json List();
  Json Stats() const;
  void Tick();
  void UpdatePeaks();
  void EndTask(RunningTask& task, const std::string& state);

  FakeWorkerCapacity size;
  Json control;
  std::map<std::string, RunningTask> tasks;
  /// Number of starts of each task; kept after the task itself is dropped.
  std::map<std::string, std::int64_t> starts;
  std::map<std::string, std::int64_t> ends;
  std::int64_t peak_accelerators = 0;
  double peak_cores = 0;
  std::int64_t peak_memory_mb = 0;
  /// Maximum number of tasks that ran on one accelerator at the same time.
  std::int64_t peak_sharing = 0;
  std::vector<std::pair<http::HttpRequest, http::HttpResponder>> held_requests;
  Instant last_tick;
  Task task{"worker"};
};

}  // namespace carobrill::testing

#endif  // PACKAGES_TESTING_FAKE_WORKER_H_
