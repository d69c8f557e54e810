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

/// What a fake worker has.
struct FakeWorkerSize {
  std::string worker = "worker";
  double cores = 8;
  std::int64_t memory_mb = 16'384;
  std::int64_t accelerators = 8;
};

/// A worker (design 6.2) that starts whatever it is given. `POST /control` sets
/// faults, `GET /stats` tells what ran.
class FakeWorker {
 public:
  explicit FakeWorker(FakeWorkerSize size);

  /// Handles one request; safe from any thread.
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
    double left_ms = 0;
    double done_ms = 0;
    double share = 1;
    Instant lease_until;
    Instant started_at;
    Instant ended_at;
    Instant sampled_at;
  };

  void HandleNow(const http::HttpRequest& request,
                 const http::HttpResponder& respond);
  http::HttpResponse Answer(const http::HttpRequest& request);
  http::HttpResponse Start(const Json& body);
  http::HttpResponse ToTask(const std::string& path, const Json& body);
  http::HttpResponse Control(const Json& body);
  Json List();
  Json Stats() const;
  void Tick();
  void NotePeak();
  void End(RunningTask& task, const std::string& state);

  FakeWorkerSize size;
  Json control;
  std::map<std::string, RunningTask> tasks;
  /// How often each task was started, kept after the task is forgotten.
  std::map<std::string, std::int64_t> starts;
  std::map<std::string, std::int64_t> ends;
  std::int64_t peak_accelerators = 0;
  double peak_cores = 0;
  std::int64_t peak_memory_mb = 0;
  /// Most tasks at a time on one accelerator.
  std::int64_t peak_sharing = 0;
  std::vector<std::pair<http::HttpRequest, http::HttpResponder>> held;
  Instant ticked_at;
  Task task{"worker"};
};

}  // namespace carobrill::testing

#endif  // PACKAGES_TESTING_FAKE_WORKER_H_
