#ifndef PACKAGES_TESTING_FAKE_LOG_H_
#define PACKAGES_TESTING_FAKE_LOG_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "packages/core/task.h"
#include "packages/http/http_server.h"
#include "packages/testing/log_store.h"

namespace carobrill::testing {

/// A fake log service over HTTP. `POST /control` injects faults:
///   {"outage": bool, "delay_ms": N, "lose_answers": N or bool,
///    "expire_before": {"stream": offset}, "new_lineage": "empty" or "keep"}
/// `GET /stats` returns {"appends", "bytes", "lineage"}.
class FakeLog {
 public:
  /// `task` must outlive this object.
  explicit FakeLog(Task& task);

  ~FakeLog();

  FakeLog(const FakeLog&) = delete;
  FakeLog& operator=(const FakeLog&) = delete;

  /// Listens on an IP address; port 0 picks a free one. Returns the port.
  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

 private:
  struct WaitingRead {
    ReadQuery query;
    Instant until;
    http::HttpResponder respond;
  };

  void Handle(const http::HttpRequest& request, http::HttpResponder respond);
  void HandleStream(const http::HttpRequest& request,
                    const http::HttpResponder& respond);
  void Append(const std::string& stream,
              const http::HttpRequest& request,
              const http::HttpResponder& respond);
  bool ConsumeLostAnswer();
  void RespondOrWait(WaitingRead read);
  void RespondToWaitingReads();
  http::HttpResponse Control(const std::string& body);
  void ApplyFaults(const nlohmann::json& json);
  http::HttpResponse Stats() const;
  void RunAfter(std::int64_t delay_ms, Task::Message message);

  Task& task;
  LogStore store;
  std::vector<WaitingRead> waiting_reads;
  std::vector<http::HttpResponder> unanswered;
  bool outage = false;
  std::int64_t delay_ms = 0;
  std::uint64_t answers_to_lose = 0;
  std::shared_ptr<int> alive = std::make_shared<int>(0);
  std::optional<http::HttpServer> server;
};

}  // namespace carobrill::testing

#endif  // PACKAGES_TESTING_FAKE_LOG_H_
