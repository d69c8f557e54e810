#ifndef PACKAGES_TESTING_LOAD_REPORT_H_
#define PACKAGES_TESTING_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace carobrill::testing {

/// Outcome of one request.
struct LoadOutcome {
  std::string_view class_name;
  /// "yes", "no" or "unknown" as reported by the entry; "unanswered" if no
  /// complete response arrived.
  std::string ran;
  /// Name of the error; empty for success.
  std::string error;
  /// Measured from the planned send time, so that a load generator that falls
  /// behind does not hide queueing delay.
  double latency_ms = 0;
};

/// Outcomes and latencies of a load, per request class.
class LoadReport {
 public:
  LoadReport();
  ~LoadReport();

  LoadReport(const LoadReport&) = delete;
  LoadReport& operator=(const LoadReport&) = delete;

  /// Adds one outcome. Its latency counts only if `ran` is "yes" and `error` is
  /// empty.
  void Add(const LoadOutcome& outcome);

  /// Upper bound of the histogram bin that holds the quantile of a class, in
  /// milliseconds; bins are 3% wide. Returns 0 without samples.
  double QuantileMs(std::string_view class_name, double quantile) const;

  /// Returns the report as JSON, with latencies in milliseconds.
  nlohmann::ordered_json ToJson() const;

 private:
  struct ClassReport;

  std::map<std::string, std::unique_ptr<ClassReport>, std::less<>> classes;
};

}  // namespace carobrill::testing

#endif  // PACKAGES_TESTING_LOAD_REPORT_H_
