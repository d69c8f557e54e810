#include "packages/gateway/planner_log.h"

#include <doctest/doctest.h>

#include <string>

namespace carobrill::gateway {
namespace {

TEST_CASE("the time of planning passes is shown") {
  // Guards against a planner that is silent for seconds without a trace.
  MetricsRegistry metrics;
  PlannerLog log(metrics);
  log.ObservePass(2'500, 300, 1);
  log.ObservePass(20, 300, 1);
  const std::string text = metrics.Render();
  CHECK(text.find("carobrill_planning_pass_seconds_count 2\n") !=
        std::string::npos);
  CHECK(text.find("carobrill_planning_pass_seconds_bucket{le=\"0.05\"} 1\n") !=
        std::string::npos);
}

}  // namespace
}  // namespace carobrill::gateway
