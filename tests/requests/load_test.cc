#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "packages/requests/router.h"
#include "tests/requests/simulation.h"

namespace carobrill::requests {
namespace {

/// A Poisson stream of requests of one kind during part of the measured 20 s.
struct Stream {
  std::string kind;
  int per_second = 0;
  std::int64_t deadline_ms = 30'000;
  std::int64_t from_ms = 0;
  std::int64_t until_ms = 20'000;
};

struct LoadResult {
  std::vector<double> latency_ms;
  std::size_t submitted = 0;
  double extra_percent = 0;

  double P99() {
    std::sort(this->latency_ms.begin(), this->latency_ms.end());
    return this->latency_ms[(this->latency_ms.size() - 1) * 99 / 100];
  }
  double AnsweredPercent() const {
    return 100.0 * static_cast<double>(this->latency_ms.size()) /
           static_cast<double>(this->submitted);
  }
};

/// Runs the streams against endpoints of 8 slots and returns the result of the
/// first stream.
LoadResult RunLoad(SimulationOptions options,
                   std::size_t endpoints,
                   const std::vector<Stream>& streams,
                   std::uint64_t seed) {
  options.slots = 8;
  options.max_delay_ms = 1;
  options.dispatcher.queue_limit = 20'000;
  Simulation simulation(1, endpoints, seed, options);
  simulation.Advance(10);
  std::mt19937_64 random(seed);
  for (std::int64_t ms = 0; ms < 20'000; ++ms) {
    for (const Stream& stream : streams) {
      const double mean = stream.per_second / 1'000.0;
      int count = std::poisson_distribution<int>(mean)(random);
      while (ms >= stream.from_ms && ms < stream.until_ms && count-- > 0) {
        simulation.Submit(0, "", stream.deadline_ms, false, stream.kind);
      }
    }
    simulation.Advance(1);
  }
  simulation.Advance(20'000);
  LoadResult result;
  for (const Call& call : simulation.Calls()) {
    if (call.kind == streams[0].kind) {
      ++result.submitted;
      if (call.answers.at(0).ran == Ran::kYes) {
        result.latency_ms.push_back(
            static_cast<double>(call.end.ms - call.start.ms));
      }
    }
  }
  const auto calls = static_cast<double>(simulation.Calls().size());
  result.extra_percent =
      100 * (static_cast<double>(simulation.Executions()) - calls) / calls;
  return result;
}

/// Prints mean and standard deviation over ten seeds and returns the mean.
double Measure(const std::string& name,
               const std::function<double(std::uint64_t seed)>& run) {
  constexpr int kSeeds = 10;
  std::vector<double> values;
  double mean = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    values.push_back(run(seed));
    mean += values.back() / kSeeds;
  }
  double variance = 0;
  for (const double value : values) {
    variance += (value - mean) * (value - mean) / (kSeeds - 1);
  }
  std::cout << name << ": " << mean << " +- " << std::sqrt(variance) << "\n";
  return mean;
}

// Guards against short requests waiting behind long ones. The long requests
// alone demand 125% of the slots of 4 endpoints.
TEST_CASE("load: short work beside long work") {
  const auto p99 = [](std::int64_t max_short_run_ms, std::uint32_t slots) {
    return [max_short_run_ms, slots](std::uint64_t seed) {
      SimulationOptions options;
      options.dispatcher.max_short_run_ms = max_short_run_ms;
      options.dispatcher.reserved_short_slots = slots;
      options.run_ms = [](const std::string& kind, std::mt19937_64&) {
        return kind == "short" ? 20 : 2'000;
      };
      return RunLoad(options, 4, {{"short", 150}, {"long", 20}}, seed).P99();
    };
  };
  const double one_queue = Measure("short p99 ms, one queue", p99(100'000, 0));
  Measure("short p99 ms, two queues, no slot kept", p99(500, 0));
  Measure("short p99 ms, two queues, 1 slot kept", p99(500, 1));
  const double two_queues =
      Measure("short p99 ms, two queues, 2 kept", p99(500, 2));
  CHECK(two_queues * 50 < one_queue);
}

// Guards against a queue full of requests whose deadlines pass before they are
// served. For 5 s the peak demands more than 300% of the capacity.
TEST_CASE("load: service at a demand peak") {
  const auto answered = [](bool shed) {
    return [shed](std::uint64_t seed) {
      SimulationOptions options;
      options.dispatcher.shed_by_deadline = shed;
      options.run_ms = [](const std::string&, std::mt19937_64&) { return 100; };
      return RunLoad(
                 options, 4,
                 {{"peak", 800, 1'000, 5'000, 10'000}, {"steady", 200, 1'000}},
                 seed)
          .AnsweredPercent();
    };
  };
  const double without = Measure("in time %, no shedding", answered(false));
  const double with = Measure("in time %, shedding", answered(true));
  CHECK(with > 2 * without);
}

// Guards against hedges that do not reduce latency or that add more than 5%
// load.
TEST_CASE("load: stragglers with and without hedging") {
  double extra = 0;
  const auto p99 = [&extra](bool hedge) {
    return [&extra, hedge](std::uint64_t seed) {
      SimulationOptions options;
      options.dispatcher.hedge = hedge;
      options.run_ms = [](const std::string&, std::mt19937_64& random) {
        return std::uniform_int_distribution<int>(1, 100)(random) <= 2 ? 1'000
                                                                       : 20;
      };
      LoadResult result = RunLoad(options, 10, {{"a", 400}}, seed);
      extra = std::max(extra, result.extra_percent);
      return result.P99();
    };
  };
  const double without = Measure("p99 ms, no hedging", p99(false));
  const double with = Measure("p99 ms, hedging", p99(true));
  std::cout << "most hedges: " << extra << "%\n";
  CHECK(with * 10 < without);
  CHECK(extra <= 5.1);
}

// Guards against routing that ignores the load caused by other entries, as
// announced or as reported in a later reply.
TEST_CASE("the router prefers the less loaded of two endpoints") {
  Router router(1);
  std::vector<ServingEndpoint> endpoints(2);
  for (std::size_t i = 0; i < 2; ++i) {
    endpoints[i].endpoint = EndpointId(std::to_string(i));
    endpoints[i].service = ServiceId("s");
    endpoints[i].routable = true;
    endpoints[i].slots = 8;
    endpoints[i].reported_at = Instant{100};
  }
  endpoints[1].slots_used = 6;
  router.Update(endpoints, Instant{100});
  const auto share_of_first = [&router] {
    int first = 0;
    for (int i = 0; i < 400; ++i) {
      const auto picked = router.Pick(ServiceId("s"), false, 2, EndpointId(),
                                      false, Instant{110});
      first += picked->endpoint.value == "0" ? 1 : 0;
    }
    return first;
  };
  CHECK(share_of_first() > 250);
  rpc::ServiceLoad load;
  load.set_endpoint("0");
  load.set_slots(8);
  load.set_slots_used(7);
  router.OnLoad(EndpointId("0"), load, Instant{105});
  CHECK(share_of_first() < 150);
}

}  // namespace
}  // namespace carobrill::requests
