#include <doctest/doctest.h>

#include <sstream>

#include "packages/cli/explain_command.h"

namespace carobrill::cli {
namespace {

TEST_CASE("a timeline has the job's lines in order and the line that decided") {
  std::istringstream input(
      "  1.2 edge-2 {\"time_ms\":30,\"message\":\"job_ended\",\"instance\":"
      "\"edge-2\",\"job\":\"j1\",\"detail\":\"failed\"}\n"
      "not a line of ours j1\n"
      "{\"time_ms\":10,\"message\":\"call_answered\",\"instance\":\"edge-1\","
      "\"job\":\"j1\",\"outcome\":\"accepted\"}\n"
      "{\"time_ms\":20,\"message\":\"run_ended\",\"instance\":\"edge-2\","
      "\"job\":\"j2\"}\n");
  CHECK(JobTimeline("j1", input) ==
        "+0 ms  edge-1  call_answered  outcome=accepted\n"
        "+20 ms  edge-2  job_ended  detail=failed\n"
        "decided by: +20 ms  edge-2  job_ended  detail=failed\n");
}

TEST_CASE("a job that no line mentions has no timeline") {
  std::istringstream input("{\"job\":\"other\"}\n");
  CHECK(JobTimeline("j1", input).empty());
}

}  // namespace
}  // namespace carobrill::cli
