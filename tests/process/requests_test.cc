#include <doctest/doctest.h>
#include <signal.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/process/deployment.h"

namespace carobrill::process {
namespace {

struct SentRequest {
  std::string payload;
  std::future<RequestOutcome> outcome;
};

// Sends `count` requests with distinct payloads; every second one is
// non-idempotent.
std::vector<SentRequest> SendMany(Deployment& deployment,
                                  const std::string& name,
                                  int count,
                                  std::int64_t run_ms,
                                  std::int64_t deadline_ms) {
  std::vector<SentRequest> sent;
  for (int i = 0; i < count; ++i) {
    RequestPlan plan{name + " " + std::to_string(i), "", run_ms, deadline_ms};
    if (i % 2 == 1) {
      plan.key = name + "-" + std::to_string(i);
    }
    auto outcome = deployment.Request(i % 2, plan);
    sent.push_back({plan.payload, std::move(outcome)});
  }
  return sent;
}

// Number of runs of each payload, summed over all endpoints.
std::map<std::string, std::int64_t> AllRuns(Deployment& deployment) {
  std::map<std::string, std::int64_t> runs;
  for (int i = 0; i < deployment.EndpointCount(); ++i) {
    const auto stats = deployment.EndpointStats(i);
    for (const auto& [payload, count] : stats["runs"].items()) {
      runs[payload] += count.get<std::int64_t>();
    }
  }
  return runs;
}

struct Counts {
  int completed = 0;
  int not_run = 0;
};

Counts CheckReportsAgainstRuns(Deployment& deployment,
                               std::vector<SentRequest>& sent) {
  std::vector<RequestOutcome> outcomes;
  outcomes.reserve(sent.size());
  for (auto& request : sent) {
    outcomes.push_back(request.outcome.get());
  }
  const auto runs = AllRuns(deployment);
  Counts counts;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    const auto& outcome = outcomes[i];
    const auto found = runs.find(sent[i].payload);
    const auto count = found == runs.end() ? 0 : found->second;
    CAPTURE(sent[i].payload);
    CAPTURE(outcome.status);
    CAPTURE(outcome.body.dump());
    CHECK(outcome.answered);
    CHECK_FALSE(outcome.Ran().empty());
    if (outcome.Ran() == "no") {
      ++counts.not_run;
      CHECK(count == 0);
    }
    if (outcome.status == 200) {
      ++counts.completed;
      CHECK(count >= 1);
    }
  }
  return counts;
}

TEST_CASE("holds.not_run_is_true: the log is down") {
  // Guards against a request that is sent although its claim was not written,
  // or whose claim is written later and which is sent after it was refused.
  Deployment deployment({});
  deployment.ControlLog({{"outage", true}});
  auto sent = SendMany(deployment, "outage", 20, 50, 3'000);
  const auto counts = CheckReportsAgainstRuns(deployment, sent);
  CHECK(counts.completed >= 10);
  deployment.ControlLog({{"outage", false}});
  // Refused requests must not run once the log is available again.
  std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
  const auto runs = AllRuns(deployment);
  for (int i = 1; i < 20; i += 2) {
    CHECK_FALSE(runs.contains("outage " + std::to_string(i)));
  }
}

TEST_CASE("holds.not_run_is_true: the demand exceeds all slots") {
  // Guards against shedding a request that has already been sent to an
  // endpoint.
  Deployment deployment({});
  auto sent = SendMany(deployment, "peak", 200, 200, 1'500);
  const auto counts = CheckReportsAgainstRuns(deployment, sent);
  CHECK(counts.completed > 0);
  CHECK(counts.not_run > 0);
  // Refused requests must not start later.
  const auto before = AllRuns(deployment);
  std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
  CHECK(AllRuns(deployment) == before);
}

TEST_CASE("holds.not_run_is_true: an agent and an entry drain") {
  // Guards against an agent or entry that reports "not run" because it stops
  // while the request is in flight.
  Deployment deployment({});
  auto sent = SendMany(deployment, "drain", 60, 200, 3'000);
  deployment.EndpointAgent(0).Signal(SIGTERM);
  deployment.Entry(0).Signal(SIGTERM);
  auto later = SendMany(deployment, "later", 30, 200, 3'000);
  for (auto& request : later) {
    // The stopping entry may refuse the connection; then nothing was sent.
    sent.push_back(std::move(request));
  }
  std::set<std::string> refused;
  const auto runs_of_refused = [&] {
    const auto runs = AllRuns(deployment);
    std::int64_t count = 0;
    for (const auto& payload : refused) {
      count += runs.contains(payload) ? 1 : 0;
    }
    return count;
  };
  int completed = 0;
  for (auto& request : sent) {
    const auto outcome = request.outcome.get();
    if (outcome.Ran() == "no") {
      refused.insert(request.payload);
    }
    completed += outcome.status == 200 ? 1 : 0;
  }
  CHECK(completed > 0);
  CHECK(runs_of_refused() == 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
  CHECK(runs_of_refused() == 0);
}

// Checks that every 200 response holds the answer to the caller's own payload
// and that all other responses are typed errors.
int CheckAnswersMatchPayloads(std::vector<SentRequest>& sent) {
  int completed = 0;
  for (auto& request : sent) {
    const auto outcome = request.outcome.get();
    CAPTURE(request.payload);
    CAPTURE(outcome.status);
    CAPTURE(outcome.body.dump());
    CHECK(outcome.answered);
    REQUIRE(outcome.body.is_object());
    if (outcome.status == 200) {
      ++completed;
      CHECK(outcome.body.value("answer", "") == "answer to " + request.payload);
    } else {
      CHECK(outcome.body.value("type", "").starts_with("urn:carobrill:error:"));
    }
  }
  return completed;
}

TEST_CASE("holds.own_answer: answers are late, swapped and truncated") {
  // Guards against an answer that is delivered to another caller or forwarded
  // incompletely.
  Deployment deployment({});
  deployment.ControlEndpoint(0, {{"cross", true}});
  deployment.ControlEndpoint(1, {{"late_ms", 700}});
  auto swapped = SendMany(deployment, "swapped", 60, 20, 4'000);
  CheckAnswersMatchPayloads(swapped);
  deployment.ControlEndpoint(0, {{"cross", false}, {"truncate", true}});
  deployment.ControlEndpoint(1, {{"late_ms", 0}});
  auto truncated = SendMany(deployment, "truncated", 60, 20, 4'000);
  CheckAnswersMatchPayloads(truncated);
  deployment.ControlEndpoint(0, {{"truncate", false}});
  auto whole = SendMany(deployment, "whole", 20, 20, 4'000);
  CHECK(CheckAnswersMatchPayloads(whole) > 0);
}

}  // namespace
}  // namespace carobrill::process
