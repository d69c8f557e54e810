#include "packages/core/metrics.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <thread>

namespace carobrill {
namespace {

TEST_CASE("counters, gauges and histograms are rendered as Prometheus text") {
  // Guards against output that a Prometheus server rejects or misparses.
  MetricsRegistry metrics;
  metrics.GetCounter("carobrill_a_total", "Help.", {{"k", "v\"\\\n"}})
      .Increment(3);
  metrics.GetGauge("carobrill_b", "Line\nbreak.").Set(-1.5);
  auto& histogram =
      metrics.GetHistogram("carobrill_c_seconds", "Help.", {0.1, 1});
  histogram.Observe(0.1);
  histogram.Observe(0.5);
  histogram.Observe(7);
  CHECK(metrics.Render() ==
        "# HELP carobrill_a_total Help.\n"
        "# TYPE carobrill_a_total counter\n"
        "carobrill_a_total{k=\"v\\\"\\\\\\n\"} 3\n"
        "# HELP carobrill_b Line\\nbreak.\n"
        "# TYPE carobrill_b gauge\n"
        "carobrill_b -1.5\n"
        "# HELP carobrill_c_seconds Help.\n"
        "# TYPE carobrill_c_seconds histogram\n"
        "carobrill_c_seconds_bucket{le=\"0.1\"} 1\n"
        "carobrill_c_seconds_bucket{le=\"1\"} 2\n"
        "carobrill_c_seconds_bucket{le=\"+Inf\"} 3\n"
        "carobrill_c_seconds_sum 7.6\n"
        "carobrill_c_seconds_count 3\n");
}

TEST_CASE(
    "a value is counted in the first bucket whose bound is not below it") {
  // Guards against buckets that exclude their upper bound, as the bins of
  // Boost.Histogram do.
  CHECK(rc::check([] {
    const std::vector<double> bounds = LatencyBounds();
    const auto index = *rc::gen::inRange<std::size_t>(0, bounds.size());
    const auto shift = *rc::gen::element(-1e-9, 0.0, 1e-9);
    Histogram histogram(bounds);
    histogram.Observe(bounds[index] + shift);
    const auto expected = shift > 0 ? index + 1 : index;
    const auto counts = histogram.Counts();
    RC_ASSERT(counts.size() == bounds.size() + 1);
    RC_ASSERT(counts[expected] == 1);
  }));
}

TEST_CASE("concurrent updates from several threads are all counted") {
  // Guards against counters and buckets that are not atomic.
  MetricsRegistry metrics;
  constexpr int kThreads = 4;
  constexpr int kRounds = 20'000;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      auto& counter = metrics.GetCounter("carobrill_n_total", "");
      auto& gauge = metrics.GetGauge("carobrill_g", "");
      auto& histogram = metrics.GetHistogram("carobrill_h_seconds", "", {1});
      for (int round = 0; round < kRounds; ++round) {
        counter.Increment();
        gauge.Add(1);
        histogram.Observe(0.5);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  constexpr std::uint64_t kAll = kThreads * kRounds;
  CHECK(metrics.GetCounter("carobrill_n_total", "").Value() == kAll);
  CHECK(metrics.GetGauge("carobrill_g", "").Value() == kAll);
  CHECK(metrics.GetHistogram("carobrill_h_seconds", "", {1}).Counts()[0] ==
        kAll);
}

TEST_CASE("a metric name needs the prefix and the suffix of its kind") {
  // Guards against metrics whose unit is not clear from the name.
  using enum MetricKind;
  CHECK(IsValidMetricName(kCounter, "carobrill_requests_total"));
  CHECK(IsValidMetricName(kGauge, "carobrill_queue_requests"));
  CHECK(IsValidMetricName(kHistogram, "carobrill_wait_seconds"));
  CHECK_FALSE(IsValidMetricName(kCounter, "carobrill_requests"));
  CHECK_FALSE(IsValidMetricName(kGauge, "carobrill_requests_total"));
  CHECK_FALSE(IsValidMetricName(kHistogram, "carobrill_wait"));
  CHECK_FALSE(IsValidMetricName(kGauge, "requests"));
  CHECK_FALSE(IsValidMetricName(kGauge, "carobrill_Requests"));
  CHECK_FALSE(IsValidMetricName(kGauge, "carobrill_"));
}

}  // namespace
}  // namespace carobrill
