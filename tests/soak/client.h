#ifndef TESTS_SOAK_CLIENT_H_
#define TESTS_SOAK_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "tests/soak/http_connection.h"
#include "tests/soak/job_book.h"
#include "tests/soak/site.h"

namespace carobrill::soak {

/// A client in its own thread that submits, queries and cancels its jobs over
/// open connections to all gateways.
class Client {
 public:
  Client(Site& site, JobBook& book, std::uint64_t seed, std::int64_t pause_ms);
  ~Client();

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Ends the calls without waiting.
  void RequestStop();

  /// Ends the calls, and waits until the thread has ended.
  void Stop();

  /// Asks a gateway for the state of a job; returns the state or the status.
  std::string Query(std::size_t gateway, const JobEntry& job);

 private:
  void Run();
  /// Sleeps until the time has passed or the client stops.
  void Pause(std::int64_t ms);
  void Submit();
  /// Sends the POST until an answer is definite or the attempts are used up.
  void Post(const JobEntry& job);
  void Cancel(const JobEntry& job);
  standin::Response Call(std::size_t gateway,
                         const std::string& method,
                         const JobEntry& job,
                         const std::string& body);
  std::size_t AnyGateway();
  bool Chance(double share);

  Site& site;
  JobBook& book;
  std::mt19937_64 random;
  const std::int64_t pause_ms;
  std::vector<std::unique_ptr<HttpConnection>> connections;
  std::vector<JobEntry> jobs;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace carobrill::soak

#endif  // TESTS_SOAK_CLIENT_H_
