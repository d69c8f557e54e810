#include "packages/gateway/advice_caller.h"

#include <doctest/doctest.h>

#include <optional>

namespace carobrill::gateway {
namespace {

workload::AdviceRequest MakeRequest(const std::string& job) {
  return {{JobId(job), 0, 0},
          {{InstanceId("agent"), WorkerId("w"), 1}},
          {100, 10, 3'000}};
}

struct Fixture {
  Fixture()
      : task("test"),
        caller(
            task,
            [this](const workload::AdviceRequest& request,
                   Instant,
                   std::function<void(AdviceReply)> callback) {
              this->requested_jobs.push_back(request.step.job);
              this->callback = std::move(callback);
            },
            [this](const workload::AdviceRequest&,
                   const std::vector<workload::AdviceGrant>& granted,
                   Instant expires_at) {
              this->granted = granted;
              this->expires_at = expires_at;
            }) {}

  Task task;
  std::vector<JobId> requested_jobs;
  std::function<void(AdviceReply)> callback;
  std::optional<std::vector<workload::AdviceGrant>> granted;
  Instant expires_at;
  AdviceCaller caller;
};

TEST_CASE("policy requests are sent one at a time") {
  // Guards against calls piling up at a service that handles them sequentially.
  Fixture fixture;
  fixture.task.Run([&] {
    fixture.caller.SendNext({MakeRequest("a"), MakeRequest("b")});
    fixture.caller.SendNext({MakeRequest("b")});
    CHECK(fixture.requested_jobs.size() == 1);
    fixture.callback({true, {{WorkerId("w"), "t"}}, 2'000});
    REQUIRE(fixture.granted.has_value());
    CHECK(fixture.granted->front().ticket == "t");
    fixture.caller.SendNext({MakeRequest("b")});
    CHECK(fixture.requested_jobs.back() == JobId("b"));
  });
}

TEST_CASE(
    "an unanswered policy request grants nothing and is not retried at once") {
  Fixture fixture;
  fixture.task.Run([&] {
    fixture.caller.SendNext({MakeRequest("a")});
    fixture.callback({});
    CHECK_FALSE(fixture.granted.has_value());
    fixture.caller.SendNext({MakeRequest("a")});
    CHECK(fixture.requested_jobs.size() == 1);
  });
}

TEST_CASE("a ticket expires no later than its validity after the decision") {
  // Guards against starting a task with a ticket that the worker considers
  // expired.
  Fixture fixture;
  fixture.task.Run([&] {
    const Instant sent = BootClock{}.Now();
    fixture.caller.SendNext({MakeRequest("a")});
    fixture.callback({true, {}, 2'000});
    CHECK(fixture.expires_at >= sent.After(2'000));
    CHECK(fixture.expires_at <= BootClock{}.Now().After(2'000));
  });
}

}  // namespace
}  // namespace carobrill::gateway
