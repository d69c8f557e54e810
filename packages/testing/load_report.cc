#include "packages/testing/load_report.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <functional>

namespace carobrill::testing {
namespace {

namespace bh = boost::histogram;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Distribution = decltype(bh::make_histogram(Axis()));

// 0.1 ms to 100 s in 468 bins, each 3% wide.
constexpr double kMinLatencyMs = 0.1;
constexpr double kMaxLatencyMs = 100'000;
constexpr unsigned kBins = 468;

}  // namespace

struct LoadReport::ClassReport {
  std::uint64_t requests = 0;
  std::uint64_t samples = 0;
  double max_ms = 0;
  /// Number of requests for each value of LoadOutcome::ran.
  std::map<std::string, std::uint64_t> count_by_ran;
  std::map<std::string, std::uint64_t> by_error;
  Distribution latencies = bh::make_histogram(
      Axis(kBins, kMinLatencyMs, kMaxLatencyMs, "latency_ms"));

  double QuantileMs(double quantile) const {
    const auto rank = static_cast<double>(this->samples) * quantile;
    double cumulative = 0;
    const auto& axis = this->latencies.axis();
    for (int bin = -1; bin <= axis.size(); ++bin) {
      cumulative += this->latencies.at(bin);
      if (cumulative >= rank && cumulative > 0) {
        const double upper =
            bin == axis.size() ? kMaxLatencyMs : axis.bin(bin).upper();
        return std::min(upper, this->max_ms);
      }
    }
    return this->max_ms;
  }
};

LoadReport::LoadReport() = default;
LoadReport::~LoadReport() = default;

void LoadReport::Add(const LoadOutcome& outcome) {
  auto& report = this->classes[std::string(outcome.class_name)];
  if (report == nullptr) {
    report = std::make_unique<ClassReport>();
  }
  ++report->requests;
  ++report->count_by_ran[outcome.ran];
  if (!outcome.error.empty()) {
    ++report->by_error[outcome.error];
    return;
  }
  if (outcome.ran == "yes") {
    ++report->samples;
    report->latencies(outcome.latency_ms);
    report->max_ms = std::max(report->max_ms, outcome.latency_ms);
  }
}

double LoadReport::QuantileMs(std::string_view class_name,
                              double quantile) const {
  const auto found = this->classes.find(class_name);
  return found == this->classes.end() || found->second->samples == 0
             ? 0
             : found->second->QuantileMs(quantile);
}

nlohmann::ordered_json LoadReport::ToJson() const {
  nlohmann::ordered_json json = nlohmann::ordered_json::object();
  for (const auto& [name, report] : this->classes) {
    json[name] = {{"requests", report->requests},
                  {"ran", report->count_by_ran},
                  {"errors", report->by_error},
                  {"p50_ms", this->QuantileMs(name, 0.5)},
                  {"p95_ms", this->QuantileMs(name, 0.95)},
                  {"p99_ms", this->QuantileMs(name, 0.99)},
                  {"max_ms", report->max_ms}};
  }
  return json;
}

}  // namespace carobrill::testing
