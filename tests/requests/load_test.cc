#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <iostream>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "packages/core/digest.h"
#include "packages/requests/request_dispatcher.h"

namespace carobrill::requests {
namespace {

constexpr int kSeeds = 10;
constexpr std::int64_t kNetworkMs = 1;
constexpr std::int64_t kReportMs = 300;

/// A stream of requests of one kind.
struct Stream {
  std::string kind;
  double per_second = 0;
  std::function<std::int64_t(std::mt19937_64&)> run_ms;
  std::int64_t deadline_ms = 30'000;
  std::int64_t from_ms = 0;
  std::int64_t until_ms = 20'000;
};

struct Served {
  std::vector<double> latency_ms;
  int in_time = 0;
  int asked = 0;
  std::uint64_t hedges = 0;

  double Percentile(int percent) {
    std::sort(this->latency_ms.begin(), this->latency_ms.end());
    return this->latency_ms.empty()
               ? 0
               : this->latency_ms[(this->latency_ms.size() - 1) *
                                  static_cast<std::size_t>(percent) / 100];
  }
  double InTimePercent() const { return 100.0 * this->in_time / this->asked; }
};

/// One dispatcher in front of endpoints that refuse work without a free slot,
/// without faults, on a virtual clock.
class Load {
 public:
  Load(DispatcherSettings settings, std::size_t endpoints, std::uint64_t seed)
      : random(seed),
        used(endpoints),
        table(ClaimTable::Create(std::string(CAROBRILL_SOURCE_DIRECTORY) +
                                 "/charts")
                  .value()),
        dispatcher(Named(std::move(settings), seed), this->table) {}

  /// Returns what became of the requests of the first stream.
  Served Run(const std::vector<Stream>& streams) {
    this->Report();
    for (const Stream& stream : streams) {
      this->Arrive(stream, &stream == &streams[0], stream.from_ms);
    }
    while (!this->events.empty() && this->now.ms < 40'000) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
    this->served.hedges = this->dispatcher.Counters().hedges;
    return this->served;
  }

 private:
  struct Event {
    Instant at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(this->at, this->order);
    }
  };
  struct Asked {
    Instant at;
    Instant deadline;
    bool counted;
    std::function<std::int64_t(std::mt19937_64&)> run_ms;
  };

  static DispatcherSettings Named(DispatcherSettings settings,
                                  std::uint64_t seed) {
    settings.self = InstanceId("e");
    settings.self_incarnation = 1;
    settings.seed = seed;
    settings.queue_limit = 20'000;
    return settings;
  }

  void Schedule(std::int64_t delay_ms, std::function<void()> run) {
    this->events.push(
        Event{this->now.After(delay_ms), this->order++, std::move(run)});
  }

  void Arrive(const Stream& stream, bool counted, std::int64_t at_ms) {
    std::exponential_distribution<double> gap(stream.per_second / 1'000);
    const double next = static_cast<double>(at_ms) + gap(this->random);
    if (next >= static_cast<double>(stream.until_ms)) {
      return;
    }
    const auto next_ms = static_cast<std::int64_t>(next);
    this->Schedule(next_ms - this->now.ms, [this, stream, counted, next_ms] {
      this->Ask(stream, counted);
      this->Arrive(stream, counted, next_ms);
    });
  }

  void Ask(const Stream& stream, bool counted) {
    this->asked.push_back(Asked{this->now, this->now.After(stream.deadline_ms),
                                counted, stream.run_ms});
    this->served.asked += counted ? 1 : 0;
    Request request;
    request.call = this->asked.size();
    request.service = ServiceId("s");
    request.idempotent = true;
    request.kind = stream.kind;
    request.deadline = this->asked.back().deadline;
    request.payload = std::to_string(request.call);
    this->Do(this->dispatcher.OnRequest(std::move(request), this->now));
  }

  void Do(const Actions& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        this->Schedule(kNetworkMs, [this, send = *send] { this->Start(send); });
      } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
        this->Count(*answer);
      }
    }
    const Instant next = this->dispatcher.NextDeadline();
    if (next < this->armed || this->armed <= this->now) {
      this->armed = next;
      this->Schedule(std::max<std::int64_t>(1, next.ms - this->now.ms), [this] {
        if (this->dispatcher.NextDeadline() <= this->now) {
          this->Do(this->dispatcher.OnTimer(this->now));
        }
      });
    }
  }

  void Count(const AnswerCaller& answer) {
    const Asked& call = this->asked.at(answer.call - 1);
    if (call.counted && answer.answer.ran == Ran::kYes) {
      this->served.latency_ms.push_back(
          static_cast<double>(this->now.ms - call.at.ms));
      this->served.in_time += this->now <= call.deadline ? 1 : 0;
    }
  }

  void Start(const SendAttempt& send) {
    const std::size_t endpoint = std::stoul(send.agent.value);
    if (this->used[endpoint] >= 8) {
      this->Reply(send, rpc::RAN_NO, rpc::REFUSAL_NO_SLOT);
      return;
    }
    ++this->used[endpoint];
    const Asked& call = this->asked.at(std::stoul(send.request.payload()) - 1);
    this->Schedule(call.run_ms(this->random), [this, endpoint, send] {
      --this->used[endpoint];
      this->Reply(send, rpc::RAN_YES, rpc::REFUSAL_NONE);
    });
  }

  void Reply(const SendAttempt& send, rpc::Ran ran, rpc::Refusal refusal) {
    rpc::ExecuteReply reply;
    rpc::Peers& peers = *reply.mutable_peers();
    peers.set_sender(send.agent.value);
    peers.set_sender_incarnation(1);
    peers.set_receiver("e");
    peers.set_receiver_incarnation(1);
    reply.set_attempt(send.attempt.value);
    reply.set_ran(ran);
    reply.set_refusal(refusal);
    reply.set_answer_digest(DigestOf(""));
    this->Schedule(kNetworkMs, [this, send, reply] {
      this->Do(this->dispatcher.OnExecuteReply(send.attempt, reply, this->now));
    });
  }

  void Report() {
    std::vector<ServingEndpoint> endpoints;
    for (std::size_t i = 0; i < this->used.size(); ++i) {
      ServingEndpoint endpoint;
      endpoint.endpoint = EndpointId(std::to_string(i));
      endpoint.agent = InstanceId(std::to_string(i));
      endpoint.service = ServiceId("s");
      endpoint.agent_incarnation = 1;
      endpoint.routable = true;
      endpoint.slots = 8;
      endpoint.slots_used = this->used[i];
      endpoint.reported_at = this->now;
      endpoints.push_back(endpoint);
    }
    this->Do(this->dispatcher.OnEndpoints(endpoints, this->now));
    this->Schedule(kReportMs, [this] { this->Report(); });
  }

  std::mt19937_64 random;
  Instant now{0};
  Instant armed{0};
  std::uint64_t order = 0;
  std::priority_queue<Event> events;
  std::vector<std::uint32_t> used;
  std::vector<Asked> asked;
  Served served;
  ClaimTable table;
  RequestDispatcher dispatcher;
};

/// Mean and standard deviation over the seeds.
struct Spread {
  double mean = 0;
  double deviation = 0;
};

Spread Measure(const std::string& name,
               const std::function<double(std::uint64_t seed)>& run) {
  std::vector<double> values;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    values.push_back(run(seed));
  }
  Spread spread;
  for (const double value : values) {
    spread.mean += value / kSeeds;
  }
  for (const double value : values) {
    spread.deviation += std::pow(value - spread.mean, 2) / (kSeeds - 1);
  }
  spread.deviation = std::sqrt(spread.deviation);
  std::cout << name << ": " << spread.mean << " +- " << spread.deviation
            << "\n";
  return spread;
}

std::function<std::int64_t(std::mt19937_64&)> Takes(std::int64_t ms) {
  return [ms](std::mt19937_64&) { return ms; };
}

// Guards against short work that waits behind long work. Long work alone asks
// for 125% of the slots of 4 endpoints.
TEST_CASE("load: short work beside long work") {
  const std::vector<Stream> streams = {{"short", 150, Takes(20)},
                                       {"long", 20, Takes(2'000)}};
  const auto p99 = [&streams](std::int64_t short_ms, std::uint32_t slots) {
    return [&streams, short_ms, slots](std::uint64_t seed) {
      DispatcherSettings settings;
      settings.short_ms = short_ms;
      settings.short_slots = slots;
      return Load(settings, 4, seed).Run(streams).Percentile(99);
    };
  };
  const Spread one_queue = Measure("short p99 ms, one queue", p99(100'000, 0));
  Measure("short p99 ms, two queues, no slot limit", p99(500, 0));
  Measure("short p99 ms, two queues, 1 slot kept", p99(500, 1));
  const Spread limited =
      Measure("short p99 ms, two queues, 2 slots kept", p99(500, 2));
  CHECK(limited.mean * 5 < one_queue.mean);
}

// Guards against a queue full of work whose deadline passes before its turn.
// The peak asks for 250% of what the endpoints serve for 5 s.
TEST_CASE("load: service at a demand peak") {
  const auto in_time = [](bool shed) {
    return [shed](std::uint64_t seed) {
      DispatcherSettings settings;
      settings.shed_by_deadline = shed;
      const std::vector<Stream> streams = {
          {"a", 800, Takes(100), 1'000, 5'000, 10'000},
          {"a", 200, Takes(100), 1'000, 0, 20'000}};
      return Load(settings, 4, seed).Run(streams).InTimePercent();
    };
  };
  const Spread without = Measure("in time %, without shedding", in_time(false));
  const Spread with = Measure("in time %, shedding by deadline", in_time(true));
  CHECK(with.mean > without.mean);
}

// Guards against hedges that do not help, or cost more than 5%.
TEST_CASE("load: stragglers with and without hedging") {
  double extra = 0;
  const auto run = [&extra](bool hedge, int percent) {
    return [&extra, hedge, percent](std::uint64_t seed) {
      DispatcherSettings settings;
      settings.hedge = hedge;
      const auto straggle = [](std::mt19937_64& random) -> std::int64_t {
        return std::uniform_int_distribution<int>(1, 100)(random) <= 2 ? 1'000
                                                                       : 20;
      };
      Served served = Load(settings, 10, seed).Run({{"a", 400, straggle}});
      extra = std::max(
          extra, 100.0 * static_cast<double>(served.hedges) / served.asked);
      return served.Percentile(percent);
    };
  };
  const Spread without = Measure("p99 ms, no hedging", run(false, 99));
  const Spread with = Measure("p99 ms, hedging", run(true, 99));
  Measure("p50 ms, hedging", run(true, 50));
  std::cout << "most hedges " << extra << "%\n";
  CHECK(with.mean * 4 < without.mean);
  CHECK(extra <= 5.1);
}

enum class Choice { kTwo, kRandom, kRoundRobin };

/// p99 of the waiting time at 10 endpoints of 8 slots, each with a queue of its
/// own, behind 3 entries that learn the load every 300 ms and from
/// replies; 85% are in use.
double WaitBy(Choice choice, std::uint64_t seed) {
  constexpr std::size_t kEndpoints = 10;
  std::mt19937_64 random(seed);
  std::vector<Router> routers = {Router(seed), Router(seed + 100),
                                 Router(seed + 200)};
  std::vector<std::size_t> turns(routers.size());
  std::vector<std::vector<double>> free_at(kEndpoints, std::vector<double>(8));
  using Ending = std::tuple<double, std::size_t, std::size_t>;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> endings;
  std::vector<std::uint32_t> in_system(kEndpoints);
  std::exponential_distribution<double> gap(1.36);
  std::exponential_distribution<double> length(1.0 / 50);
  std::vector<double> waits;
  double now = 0;
  double report_at = 0;
  while (now < 20'000) {
    now += gap(random);
    while (!endings.empty() && std::get<0>(endings.top()) <= now) {
      const auto [at, entry, endpoint] = endings.top();
      endings.pop();
      --in_system[endpoint];
      const EndpointId id(std::to_string(endpoint));
      routers[entry].Release(id, false);
      rpc::ServiceLoad load;
      load.set_endpoint(id.value);
      load.set_slots(10'000);
      load.set_slots_used(in_system[endpoint]);
      routers[entry].OnLoad(id, load, Instant{static_cast<std::int64_t>(at)});
    }
    const Instant instant{static_cast<std::int64_t>(now)};
    if (now >= report_at) {
      report_at += 300;
      std::vector<ServingEndpoint> known;
      for (std::size_t i = 0; i < kEndpoints; ++i) {
        ServingEndpoint endpoint;
        endpoint.endpoint = EndpointId(std::to_string(i));
        endpoint.agent = InstanceId(std::to_string(i));
        endpoint.service = ServiceId("s");
        endpoint.routable = true;
        // Endpoints queue here, so that no choice is ever refused.
        endpoint.slots = 10'000;
        endpoint.slots_used = in_system[i];
        endpoint.reported_at = instant;
        known.push_back(endpoint);
      }
      for (Router& router : routers) {
        router.Update(known, instant);
      }
    }
    const std::size_t entry = random() % routers.size();
    std::size_t endpoint = random() % kEndpoints;
    if (choice == Choice::kRoundRobin) {
      endpoint = turns[entry]++ % kEndpoints;
    } else if (choice == Choice::kTwo) {
      endpoint = std::stoul(
          routers[entry]
              .Pick(ServiceId("s"), false, 2, EndpointId(), false, instant)
              ->endpoint.value);
    }
    routers[entry].Reserve(EndpointId(std::to_string(endpoint)), false);
    ++in_system[endpoint];
    auto slot =
        std::min_element(free_at[endpoint].begin(), free_at[endpoint].end());
    const double start = std::max(now, *slot);
    *slot = start + length(random);
    waits.push_back(start - now);
    endings.emplace(*slot, entry, endpoint);
  }
  std::sort(waits.begin(), waits.end());
  return waits[waits.size() * 99 / 100];
}

// Guards against a choice that ignores the load of other entries.
TEST_CASE("load: two choices against random and round robin") {
  const auto by = [](Choice choice) {
    return [choice](std::uint64_t seed) { return WaitBy(choice, seed); };
  };
  const Spread any = Measure("p99 wait ms, random", by(Choice::kRandom));
  const Spread turn =
      Measure("p99 wait ms, round robin", by(Choice::kRoundRobin));
  const Spread two = Measure("p99 wait ms, two choices", by(Choice::kTwo));
  CHECK(two.mean < any.mean);
  CHECK(two.mean < turn.mean);
}

}  // namespace
}  // namespace carobrill::requests
