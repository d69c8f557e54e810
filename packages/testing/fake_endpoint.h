#ifndef PACKAGES_TESTING_FAKE_ENDPOINT_H_
#define PACKAGES_TESTING_FAKE_ENDPOINT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "packages/core/task.h"
#include "packages/http/http_types.h"

namespace carobrill::testing {

/// A fake service endpoint (docs/design.md, section 6.3) with a fixed number of
/// slots. `POST /control` injects faults; `GET /stats` reports how often each
/// payload ran.
class FakeEndpoint {
 public:
  explicit FakeEndpoint(std::int64_t slots);

  /// Handles one request; thread-safe.
  void Handle(const http::HttpRequest& request,
              const http::HttpResponder& respond);

 private:
  using Json = nlohmann::json;

  /// An attempt that is running or waiting for a slot.
  struct Attempt {
    std::string attempt;
    std::string payload;
    std::int64_t run_ms = 0;
    http::HttpResponder respond;
  };

  void HandleInTask(const http::HttpRequest& request,
                    const http::HttpResponder& respond);
  void RunNext();
  void Finish(const Attempt& attempt);
  void Send(const Attempt& attempt, const Attempt& answer_source);
  Json Stats() const;

  std::int64_t slots;
  Json control;
  std::deque<Attempt> waiting;
  std::int64_t running = 0;
  std::int64_t peak_running = 0;
  std::int64_t peak_waiting = 0;
  std::map<std::string, std::int64_t> runs;
  /// Finished attempt whose answer is swapped with that of the next one.
  std::optional<Attempt> swap_candidate;
  Task task{"endpoint"};
};

}  // namespace carobrill::testing

#endif  // PACKAGES_TESTING_FAKE_ENDPOINT_H_
