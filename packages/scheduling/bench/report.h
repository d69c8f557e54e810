#ifndef PACKAGES_SCHEDULING_BENCH_REPORT_H_
#define PACKAGES_SCHEDULING_BENCH_REPORT_H_

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "packages/scheduling/bench/simulation.h"

namespace carobrill::scheduling::bench {

/// Results by policy name, one per seed.
using Results = std::map<std::string, std::vector<RunResult>>;

/// Median, minimum and maximum of one metric over all seeds.
struct Spread {
  double median = 0;
  double least = 0;
  double greatest = 0;
};

inline Spread SpreadOf(const std::vector<RunResult>& runs,
                       const std::string& metric) {
  std::vector<double> values;
  for (const RunResult& run : runs) {
    const auto found = run.values.find(metric);
    values.push_back(found == run.values.end() ? 0 : found->second);
  }
  return {Quantile(values, 0.5),
          *std::min_element(values.begin(), values.end()),
          *std::max_element(values.begin(), values.end())};
}

/// Prints one row per metric and one column per policy.
inline void PrintTable(const std::string& title, const Results& results) {
  std::printf("\n%s (median [least, greatest] over %zu seeds)\n%-28s",
              title.c_str(), results.begin()->second.size(), "");
  for (const auto& [policy, runs] : results) {
    std::printf(" %28s", policy.c_str());
  }
  std::printf("\n");
  for (const auto& [metric, value] : results.begin()->second.front().values) {
    std::printf("%-28s", metric.c_str());
    for (const auto& [policy, runs] : results) {
      const Spread spread = SpreadOf(runs, metric);
      char text[64];
      std::snprintf(text, sizeof(text), "%.4g [%.4g, %.4g]", spread.median,
                    spread.least, spread.greatest);
      std::printf(" %28s", text);
    }
    std::printf("\n");
  }
}

/// Converts the figures of PrintTable and the values of each seed to JSON.
inline nlohmann::json ToJson(const Results& results) {
  nlohmann::json json;
  for (const auto& [policy, runs] : results) {
    for (const auto& [metric, value] : runs.front().values) {
      const Spread spread = SpreadOf(runs, metric);
      auto& entry = json[policy][metric];
      entry["median"] = spread.median;
      entry["least"] = spread.least;
      entry["greatest"] = spread.greatest;
      for (const RunResult& run : runs) {
        const auto found = run.values.find(metric);
        entry["seeds"].push_back(found == run.values.end() ? 0.0
                                                           : found->second);
      }
    }
  }
  return json;
}

}  // namespace carobrill::scheduling::bench

#endif  // PACKAGES_SCHEDULING_BENCH_REPORT_H_
