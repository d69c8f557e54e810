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

/// A service endpoint (design 6.3) with slots. `POST /control` sets faults,
/// `GET /stats` tells how often each payload ran.
class FakeEndpoint {
 public:
  explicit FakeEndpoint(std::int64_t slots);

  /// Handles one request; safe from any thread.
  void Handle(const http::HttpRequest& request,
              const http::HttpResponder& respond);

 private:
  using Json = nlohmann::json;

  /// An attempt that waits for a slot or runs.
  struct Attempt {
    std::string attempt;
    std::string payload;
    std::int64_t run_ms = 0;
    http::HttpResponder respond;
  };

  void HandleOnTask(const http::HttpRequest& request,
                    const http::HttpResponder& respond);
  void RunNext();
  void Finish(const Attempt& attempt);
  void Send(const Attempt& attempt, const Attempt& content);
  Json Stats() const;

  std::int64_t slots;
  Json control;
  std::deque<Attempt> waiting;
  std::int64_t running = 0;
  std::int64_t peak = 0;
  std::int64_t peak_waiting = 0;
  std::map<std::string, std::int64_t> runs;
  /// Waits for a second answer to be swapped with.
  std::optional<Attempt> crossed;
  Task task{"endpoint"};
};

}  // namespace carobrill::testing

#endif  // PACKAGES_TESTING_FAKE_ENDPOINT_H_
