#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <string>

#include "packages/scheduling/bench/cost.h"
#include "packages/scheduling/bench/report.h"
#include "packages/workload/bench/planner_cost.h"

// Usage: carobrill_bench policies|cost|planner [--charts DIR] [--seeds N]
//        [--json FILE]

namespace carobrill::scheduling::bench {
namespace {

struct Options {
  std::string command;
  std::string charts = "charts";
  std::uint64_t seeds = 10;
  std::string json;
};

template <PlanningPolicy Policy>
void RunPolicy(const Deployment& deployment,
               const Charts& charts,
               std::uint64_t seeds,
               Results& results) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Simulation<Policy> simulation(
        deployment, LoadGenerator(deployment, seed).Generate(), charts);
    results[std::string(Policy::kName)].push_back(simulation.Run());
  }
}

nlohmann::json ComparePolicies(const Charts& charts, std::uint64_t seeds) {
  nlohmann::json json;
  for (const Deployment& deployment : {DeploymentA(), DeploymentB()}) {
    Results results;
    RunPolicy<DefaultPlanner>(deployment, charts, seeds, results);
    RunPolicy<StaticBindingPlanner>(deployment, charts, seeds, results);
    RunPolicy<PlannerVariant<NoBackfill>>(deployment, charts, seeds, results);
    RunPolicy<PlannerVariant<NoGuaranteeReservation>>(deployment, charts, seeds,
                                                      results);
    RunPolicy<PlannerVariant<BorrowAlwaysFirst>>(deployment, charts, seeds,
                                                 results);
    RunPolicy<PlannerVariant<CheckpointBorrowsFirst>>(deployment, charts, seeds,
                                                      results);
    RunPolicy<FirstComeFirstFit>(deployment, charts, seeds, results);
    PrintTable("deployment " + deployment.name, results);
    json[deployment.name] = ToJson(results);
  }
  return json;
}

Options ParseOptions(int argc, char** argv) {
  Options options;
  options.command = argc > 1 ? argv[1] : "";
  for (int i = 2; i + 1 < argc; i += 2) {
    if (std::strcmp(argv[i], "--charts") == 0) {
      options.charts = argv[i + 1];
    } else if (std::strcmp(argv[i], "--seeds") == 0) {
      options.seeds = std::strtoull(argv[i + 1], nullptr, 10);
    } else if (std::strcmp(argv[i], "--json") == 0) {
      options.json = argv[i + 1];
    }
  }
  return options;
}

nlohmann::json RunCommand(const Options& options, const Charts& charts) {
  if (options.command == "planner") {
    return workload::bench::MeasurePlannerCost();
  }
  return options.command == "cost" ? MeasureCost(charts)
                                   : ComparePolicies(charts, options.seeds);
}

int Main(const Options& options) {
  const auto charts = Charts::Load(options.charts);
  if (!charts.has_value() || options.seeds == 0 ||
      (options.command != "policies" && options.command != "cost" &&
       options.command != "planner")) {
    std::fprintf(stderr,
                 "usage: carobrill_bench policies|cost|planner [--charts DIR] "
                 "[--seeds N] [--json FILE]\n");
    return 2;
  }
  const nlohmann::json json = RunCommand(options, *charts);
  if (!options.json.empty()) {
    std::ofstream(options.json) << json.dump(2) << "\n";
  }
  return 0;
}

}  // namespace
}  // namespace carobrill::scheduling::bench

int main(int argc, char** argv) {
  return carobrill::scheduling::bench::Main(
      carobrill::scheduling::bench::ParseOptions(argc, argv));
}
