#include <doctest/doctest.h>

#include <sstream>

#include "packages/daemon/http_api.h"
#include "packages/http/http_server.h"
#include "tests/cli/capture.h"
#include "tests/daemon/fake_backend.h"

namespace carobrill::daemon {
namespace {

using cli::CliExit;
using cli::RunCli;

/// An entry with the real HTTP API and a fake backend.
struct TestEntry {
  FakeBackend backend;
  MetricsRegistry metrics;
  HttpApi<FakeBackend> api{backend, metrics, ApiLimits{}, "e1"};
  Task task{"entry"};
  http::HttpServer server{task, [this](const auto& request, auto respond) {
                            this->api.Handle(request, std::move(respond));
                          }};
  std::string url = "http://127.0.0.1:" +
                    std::to_string(server.Listen("127.0.0.1", 0).value());

  TestEntry() {
    this->backend.job = {JobId("j1"),
                         AccountId("acme"),
                         PriorityClass::kBatch,
                         "train",
                         "queued",
                         1,
                         4,
                         8,
                         true,
                         true,
                         {WorkerId("w1")},
                         "it waits for a rack",
                         3,
                         "preempted",
                         1'000,
                         2'000,
                         3'000};
    this->backend.version = {7, "A. Mensah", 1'000, "+account acme"};
    this->backend.account = {
        AccountId("acme"), "1@rack", 48, 3, 24, 8, 5, 6, true,
        "rack k1 is lost"};
    this->backend.worker = {WorkerId("w1"),
                            RackId("k1"),
                            FailureDomainId("d1"),
                            RegionId("r1"),
                            "draining",
                            "fan",
                            8,
                            4,
                            30'000,
                            1'024,
                            9};
    this->backend.endpoint = {EndpointId("p1"),
                              ServiceId("checks"),
                              "north",
                              FailureDomainId("d1"),
                              RegionId("r1"),
                              "serving",
                              8,
                              2,
                              60,
                              3,
                              1'500};
    this->backend.instance = {InstanceId("e1"),
                              "entry",
                              9,
                              "127.0.0.1:1",
                              FailureDomainId("d1"),
                              RegionId("r1"),
                              "serving",
                              true,
                              77,
                              "lineage",
                              7,
                              100};
    this->backend.change = {77,   1'000,     "op", "e1", "job_submitted",
                            "j1", "accepted"};
  }
};

TEST_CASE("the API provides every column of the client's lists") {
  // Guards against field names that differ between the API and the client. The
  // client shows such a field as "-".
  TestEntry entry;
  for (const std::string command :
       {"queue", "jobs", "rules history", "accounts", "workers", "endpoints",
        "instances", "audit"}) {
    std::vector<std::string> words = {"-e", entry.url};
    std::istringstream stream(command);
    for (std::string word; stream >> word;) {
      words.push_back(word);
    }
    const auto outcome = RunCli(words);
    CHECK(outcome.exit == CliExit::kOk);
    std::istringstream lines(outcome.out);
    std::string header;
    std::string row;
    std::getline(lines, header);
    REQUIRE_MESSAGE(std::getline(lines, row), outcome.out);
    CHECK_MESSAGE(row.find("  -") == std::string::npos, outcome.out);
    CHECK_MESSAGE(!row.starts_with("- "), outcome.out);
  }
}

TEST_CASE("the API accepts the commands of the client") {
  // Guards against bodies and paths that differ between the client and the API.
  TestEntry entry;
  const auto run = [&](std::vector<std::string> words) {
    words.insert(words.begin(), {"-e", entry.url});
    return RunCli(std::move(words));
  };
  CHECK(run({"status", "j1"})
            .out.starts_with(
                "job j1 of acme is queued at place 3: it waits for a rack\n"));
  CHECK(run({"cancel", "j1"}).exit == CliExit::kNotRun);
  CHECK(run({"drain", "w1", "--reason", "fan"}).out ==
        "worker w1 is draining\n");
  CHECK(run({"undrain", "w1"}).out == "worker w1 is ready\n");
  CHECK(run({"rules", "show"}).exit == CliExit::kOk);
  const auto submitted = run({"submit",
                              "--account",
                              "acme",
                              "--class",
                              "batch",
                              "--kind",
                              "train",
                              "--members",
                              "4",
                              "--accelerators",
                              "8",
                              "--cores",
                              "2.5",
                              "--memory-mb",
                              "1024",
                              "--adjacent",
                              "rack",
                              "--expected-run-ms",
                              "60000",
                              "--idempotent",
                              "--preemption",
                              "stop",
                              "--deadline-ms",
                              "100000",
                              "--payload",
                              "p"});
  CHECK_MESSAGE(submitted.exit == CliExit::kOk, submitted.err);
  const auto& job = entry.backend.jobs.at(0);
  CHECK(job.members == 4);
  CHECK(job.cores_milli == 2'500);
  CHECK(job.adjacency == Adjacency::kRack);
  CHECK(job.preemption == Preemption::kStop);
  CHECK(job.idempotency_key.size() == 32);
  CHECK(job.deadline < Instant::Never());
  const auto refused = run(
      {"submit", "--account", "acme", "--class", "batch", "--kind", "train"});
  CHECK(refused.exit == CliExit::kNotRun);
  CHECK(refused.err.find("'accelerators'") != std::string::npos);
}

}  // namespace
}  // namespace carobrill::daemon
