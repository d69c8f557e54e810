#include "packages/worker_agent/silence_monitor.h"

#include <doctest/doctest.h>
#include <glib.h>

namespace carobrill::worker_agent {
namespace {

constexpr std::int64_t kMaxSilenceMs = 20;

void SleepLongerThanAllowed() {
  g_usleep(1'000 * 2 * static_cast<gulong>(kMaxSilenceMs));
}

TEST_CASE("a pause of the agent does not make its worker unresponsive") {
  // Guards against runs that are given up because the agent was paused.
  SilenceMonitor monitor(kMaxSilenceMs);
  monitor.OnAnswer({});
  SleepLongerThanAllowed();
  CHECK(!monitor.OnFailure({}));
  CHECK(!monitor.Unresponsive());
  CHECK(!monitor.OnAnswer({}));
}

TEST_CASE("a worker that does not answer repeated requests is unresponsive") {
  SilenceMonitor monitor(kMaxSilenceMs);
  CHECK(!monitor.OnFailure({}));
  CHECK(!monitor.OnFailure({}));
  monitor.OnAnswer({});
  CHECK(!monitor.OnFailure({}));
  CHECK(!monitor.OnFailure({}));
  SleepLongerThanAllowed();
  CHECK(monitor.OnFailure({}));
  CHECK(!monitor.OnFailure({}));
  CHECK(monitor.Unresponsive());
  CHECK(monitor.OnAnswer({}));
  CHECK(!monitor.Unresponsive());
}

}  // namespace
}  // namespace carobrill::worker_agent
