#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "packages/worker_agent/run_table.h"
#include "tests/worker_agent/agent_fixture.h"

// Plays thousands of runs on one worker, and checks that its agent starts them
// and has time left to renew the leases.

namespace carobrill::worker_agent {
namespace {

/// An agent has 0.15 of a core, and reads the lists every second.
constexpr std::int64_t kListCpuMs = 1'000 * 15 / 100;

constexpr std::uint32_t kRuns = 4'000;
constexpr const char* kWideJob = "0000000000000001";
constexpr const char* kOtherJob = "0000000000000002";

std::int64_t ThreadCpuMs() {
  timespec time = {};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::int64_t{time.tv_sec} * 1'000 + time.tv_nsec / 1'000'000;
}

DesiredRun MakeDesired(const char* job, std::uint32_t index) {
  DesiredRun run;
  run.task = {JobId(job), 0, 0, index};
  run.run = 1;
  run.demand = {20, 50, 0};
  return run;
}

std::vector<DesiredRun> MakeDesired() {
  std::vector<DesiredRun> runs;
  for (std::uint32_t i = 0; i < kRuns; ++i) {
    runs.push_back(MakeDesired(kWideJob, i));
  }
  runs.push_back(MakeDesired(kOtherJob, 0));
  runs.push_back(MakeDesired(kOtherJob, 1));
  return runs;
}

TEST_CASE("a list of thousands of runs is handled before the next one") {
  // Guards against leases that expire while the agent compares its lists.
  RunTable table({});
  table.SetCapacity({128'000, 256'000, 8});
  table.SetDesired(MakeDesired(), Instant{0});
  LeaseReply lists;
  for (std::uint32_t i = 0; i < kRuns; ++i) {
    lists.running.push_back({{JobId(kWideJob), 0, 0, i}, 1, 10, "", 0});
  }
  const std::int64_t began_ms = ThreadCpuMs();
  table.OnLists(lists, Instant{10}, Instant{20});
  const DueOrders due = table.TakeDue(Instant{20});
  CHECK(ThreadCpuMs() - began_ms < kListCpuMs);
  CHECK(due.starts.size() == 2);
  CHECK(due.stops.empty());
}

TEST_CASE("starts are sent a few at a time, and each job gets its share") {
  // Guards against starts that time out before they are sent, and against a job
  // that waits until a wide one has started.
  RunTableSettings settings;
  RunTable table(settings);
  table.SetCapacity({128'000, 256'000, 8});
  table.SetDesired(MakeDesired(), Instant{0});
  std::vector<DesiredRun> in_flight;
  std::set<workload::TaskKey> started;
  for (std::int64_t now = 0; now < 1'000; ++now) {
    const DueOrders due = table.TakeDue(Instant{now});
    in_flight.insert(in_flight.end(), due.starts.begin(), due.starts.end());
    CHECK(in_flight.size() <= settings.max_starts_in_flight);
    if (now == 0) {
      CHECK(due.starts_left);
      CHECK(std::ranges::count_if(due.starts, [](const DesiredRun& run) {
              return run.task.job == JobId(kOtherJob);
            }) == 2);
    }
    if (in_flight.empty()) {
      CHECK(!due.starts_left);
      break;
    }
    for (const DesiredRun& run : in_flight) {
      CHECK(started.insert(run.task).second);
      table.OnStart({run.task, run.run}, OrderResult::kDone, Instant{now});
    }
    in_flight.clear();
  }
  CHECK(started.size() == kRuns + 2);
}

/// A worker that answers a call per ms, in order. A call that is answered after
/// its deadline counts as unanswered.
struct SlowWorker : FakePort {
  void Start(const StartOrder& order,
             Instant deadline,
             std::function<void(StartReply)> done) {
    this->calls.push_back([this, order, deadline, done = std::move(done)] {
      if (BootClock{}.Now() >= deadline) {
        ++this->unanswered;
        done({OrderResult::kNoAnswer, 0});
        return;
      }
      this->running.push_back({order.task, order.run, 10, {}, 0});
      done({OrderResult::kDone, 1});
    });
  }
  void RenewLeases(const LeaseRequest&,
                   Instant deadline,
                   std::function<void(LeaseReply)> done) {
    this->calls.push_back([this, deadline, done = std::move(done)] {
      LeaseReply reply;
      reply.worker_clock_ms = 1;
      reply.running = this->running;
      if (BootClock{}.Now() >= deadline) {
        ++this->unanswered;
        reply.result = OrderResult::kNoAnswer;
      }
      done(reply);
    });
  }

  void Answer(std::size_t most) {
    for (std::size_t i = 0; i < most && !this->calls.empty(); ++i) {
      const auto call = std::move(this->calls.front());
      this->calls.pop_front();
      call();
    }
  }

  std::deque<std::function<void()>> calls;
  std::vector<ListedRun> running;
  int unanswered = 0;
};

TEST_CASE("an agent starts thousands of runs on a worker that answers slowly") {
  // Guards against starts that time out, are sent again and again, and keep the
  // renewal of the leases waiting.
  constexpr std::uint32_t kStarts = 2'000;
  AgentFixture<SlowWorker> fixture;
  fixture.Heartbeat(1, workload::WorkerAvailability::kReady, 128'000);
  rpc::ExchangeRequest request;
  request.mutable_worker()->set_id("w");
  request.mutable_worker()->set_born_unix_ms(1);
  request.set_authority_until_agent_ms(BootClock{}.Now().ms + kLeaseMs);
  for (std::uint32_t i = 0; i < kStarts; ++i) {
    auto* order = request.add_orders();
    order->mutable_task()->set_job(kWideJob);
    order->mutable_task()->set_index(i);
    order->set_run(1);
    order->set_cpu_millis(20);
  }
  fixture.task.Run([&] { fixture.port.Answer(1); });
  fixture.Exchange(request);
  std::size_t running = 0;
  const Instant began = BootClock{}.Now();
  Instant answered_at = began;
  while (running < kStarts && BootClock{}.Now() < began.After(10'000)) {
    g_usleep(5'000);
    fixture.task.Run([&] {
      const Instant now = BootClock{}.Now();
      fixture.port.Answer(static_cast<std::size_t>(now.ms - answered_at.ms));
      answered_at = now;
      running = fixture.port.running.size();
    });
  }
  CHECK(running == kStarts);
  CHECK(fixture.port.unanswered == 0);
}

/// A worker that answers a start when the test says so, and executes none.
struct HoldingWorker : FakePort {
  void Start(const StartOrder& order,
             Instant,
             std::function<void(StartReply)> done) {
    this->received_at[order.task.index].push_back(BootClock{}.Now());
    this->calls[order.task.index] = std::move(done);
  }

  std::map<std::uint32_t, std::vector<Instant>> received_at;
  std::map<std::uint32_t, std::function<void(StartReply)>> calls;
};

TEST_CASE("a start is repeated once its own delay has passed") {
  // Guards against a repetition that waits until the newest unanswered start is
  // repeated.
  WorkerAgentSettings settings;
  settings.runs.retry_delay_ms = 1'000;
  AgentFixture<HoldingWorker> fixture(settings);
  fixture.Heartbeat(1, workload::WorkerAvailability::kReady);
  rpc::ExchangeRequest request;
  request.mutable_worker()->set_id("w");
  request.mutable_worker()->set_born_unix_ms(1);
  request.set_authority_until_agent_ms(BootClock{}.Now().ms + kLeaseMs);
  for (std::uint32_t i = 0; i < 3; ++i) {
    auto* order = request.add_orders();
    order->mutable_task()->set_job(kWideJob);
    order->mutable_task()->set_index(i);
    order->set_run(1);
  }
  fixture.Exchange(request);
  Instant last_answer;
  for (const auto& answer :
       {std::pair(0U, 100), std::pair(1U, 700), std::pair(2U, 0)}) {
    fixture.task.Run([&] {
      last_answer = BootClock{}.Now();
      fixture.port.calls.at(answer.first)({OrderResult::kNoAnswer, 0});
    });
    g_usleep(static_cast<gulong>(answer.second) * 1'000);
  }
  const Instant last_repetition =
      last_answer.After(settings.runs.retry_delay_ms);
  while (BootClock{}.Now() < last_repetition.After(200)) {
    g_usleep(10'000);
  }
  fixture.task.Run([&] {
    const auto& received = fixture.port.received_at.at(1);
    REQUIRE(received.size() == 2);
    CHECK(received[1] < last_repetition);
  });
}

}  // namespace
}  // namespace carobrill::worker_agent
