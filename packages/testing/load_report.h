#ifndef PACKAGES_TESTING_LOAD_REPORT_H_
#define PACKAGES_TESTING_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace carobrill::testing {

/// What became of one request.
struct LoadOutcome {
  std::string_view class_name;
  /// "yes", "no" or "unknown" as answered, "unanswered" for no whole answer.
  std::string ran;
  /// Name of the error; empty for success.
  std::string error;
  /// From the planned time of sending, so that a generator that falls behind
  /// does not hide waiting.
  double latency_ms = 0;
};

/// Outcomes and latencies of a load, by class.
class LoadReport {
 public:
  LoadReport();
  ~LoadReport();

  LoadReport(const LoadReport&) = delete;
  LoadReport& operator=(const LoadReport&) = delete;

  /// Adds one outcome. Latencies count only for `ran` = "yes" without an error.
  void Add(const LoadOutcome& outcome);

  /// Upper end of the bin in which the quantile of a class lies, in
  /// milliseconds; bins are 3% wide. 0 without samples.
  double QuantileMs(std::string_view class_name, double quantile) const;

  /// The report, with latencies in milliseconds.
  nlohmann::ordered_json ToJson() const;

 private:
  struct ClassReport;

  std::map<std::string, std::unique_ptr<ClassReport>, std::less<>> classes;
};

}  // namespace carobrill::testing

#endif  // PACKAGES_TESTING_LOAD_REPORT_H_
