#include <doctest/doctest.h>

#include <map>
#include <set>

#include "packages/testing/load_plan.h"
#include "packages/testing/load_report.h"

namespace carobrill::testing {
namespace {

LoadSettings ManyRequests() {
  LoadSettings settings;
  settings.urls = {"http://127.0.0.1:1", "http://127.0.0.1:2"};
  settings.count = 20'000;
  settings.rate_per_second = 1'000;
  settings.class_weights = {1, 3, 0};
  settings.non_idempotent_percent = 25;
  settings.long_percent = 10;
  return settings;
}

TEST_CASE("a plan has the rate and the shares that were asked for") {
  // Guards against measurements under a load that differs from the settings.
  const auto plan = PlanLoad(ManyRequests());
  REQUIRE(plan.size() == 20'000);
  std::map<std::size_t, int> classes;
  std::set<std::string> names;
  int non_idempotent = 0;
  int long_requests = 0;
  for (const auto& request : plan) {
    ++classes[request.class_index];
    names.insert(request.name);
    non_idempotent += request.idempotent ? 0 : 1;
    long_requests += request.is_long ? 1 : 0;
  }
  CHECK(names.size() == plan.size());
  // 20 s with a standard deviation of 0.14 s; shares within 5 deviations.
  CHECK(plan.back().due_us == doctest::Approx(20e6).epsilon(0.035));
  CHECK(classes[0] == doctest::Approx(5'000).epsilon(0.06));
  CHECK(classes[2] == 0);
  CHECK(non_idempotent == doctest::Approx(5'000).epsilon(0.06));
  CHECK(long_requests == doctest::Approx(2'000).epsilon(0.11));
}

TEST_CASE("a seed names one plan") {
  // Guards against runs that cannot be reproduced.
  auto settings = ManyRequests();
  const auto first = PlanLoad(settings);
  const auto again = PlanLoad(settings);
  settings.seed = 8;
  const auto other = PlanLoad(settings);
  CHECK(first[100].due_us == again[100].due_us);
  CHECK(first[100].due_us != other[100].due_us);
}

TEST_CASE("loads are bounded and stay on loopback") {
  // Guards against sending load to other machines.
  auto settings = ManyRequests();
  CHECK(CheckLoad(settings).empty());
  settings.urls.emplace_back("http://10.0.0.1:80");
  CHECK_FALSE(CheckLoad(settings).empty());
  settings = ManyRequests();
  settings.count = 2'000'000;
  CHECK_FALSE(CheckLoad(settings).empty());
  settings = ManyRequests();
  settings.rate_per_second = 1e6;
  CHECK_FALSE(CheckLoad(settings).empty());
}

TEST_CASE("quantiles are exact to the width of a bin") {
  // Guards against underreported latencies.
  LoadReport report;
  for (int i = 1; i <= 1'000; ++i) {
    report.Add({"urgent", "yes", "", static_cast<double>(i)});
  }
  report.Add({"urgent", "no", "queue_full", 1});
  report.Add({"urgent", "unanswered", "timeout", 1});
  CHECK(report.QuantileMs("urgent", 0.5) >= 500);
  CHECK(report.QuantileMs("urgent", 0.5) <= 500 * 1.03);
  CHECK(report.QuantileMs("urgent", 0.99) >= 990);
  CHECK(report.QuantileMs("urgent", 1) == 1'000);
  CHECK(report.QuantileMs("batch", 0.5) == 0);
  const auto json = report.ToJson();
  CHECK(json["urgent"]["requests"] == 1'002);
  CHECK(json["urgent"]["ran"]["yes"] == 1'000);
  CHECK(json["urgent"]["ran"]["no"] == 1);
  CHECK(json["urgent"]["errors"]["timeout"] == 1);
}

}  // namespace
}  // namespace carobrill::testing
