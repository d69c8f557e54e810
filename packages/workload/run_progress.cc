#include "packages/workload/run_progress.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "packages/workload/job.h"

namespace carobrill::workload {
namespace {

/// Progress is reported in whole percents, so that a sample of this size is off
/// by at most a fifth. Larger ones show a change of speed too late.
constexpr std::uint32_t kSamplePercent = 5;

/// Share of the work that must have been seen to extrapolate the whole.
constexpr std::uint32_t kMinSeenPercent = 30;

/// Progress is seen about once a second, so that one unchanged observation
/// says nothing.
constexpr std::int64_t kMinStallMs = 2'000;

/// A run has stalled when the next percent takes this many times as long as
/// those before it, so that a worker that turns four times slower still counts.
constexpr std::int64_t kStallFactor = 4;

/// The same while the run's rate is unknown: the estimate may be half the run
/// time.
constexpr std::int64_t kStallFactorOfEstimate = 2 * kStallFactor;

/// Each stall doubles the limit, so that a run whose estimate is far too short
/// is seen in the end.
constexpr std::uint32_t kMaxDoublings = 10;

/// Share of the work over which a run's rate is averaged.
constexpr std::uint32_t kRatePercent = 40;

/// Rates of parts of one run differ by more than this (a factor of 1.5) only
/// when its worker changes or the run pauses.
constexpr double kRateScatter = 0.405;

}  // namespace

double WorkSeen::LogRate() const {
  return std::log(static_cast<double>(this->percent) /
                  static_cast<double>(this->work_ms));
}

void RunProgress::Restart(std::uint32_t percent, std::int64_t worked_ms) {
  this->waiting = true;
  this->base_percent = percent;
  this->base_ms = worked_ms;
  this->changed_ms = worked_ms;
}

bool RunProgress::IsStalled(const Context& context,
                            std::int64_t worked_ms) const {
  std::int64_t limit_ms = 0;
  if (this->counted.percent > 0) {
    limit_ms = kStallFactor * this->counted.work_ms / this->counted.percent;
  } else if (context.estimate_ms > 0) {
    limit_ms = kStallFactorOfEstimate * context.estimate_ms / kCompletePercent;
  } else {
    limit_ms = std::numeric_limits<std::int32_t>::max();
  }
  limit_ms = std::max(limit_ms, kMinStallMs)
             << std::min(this->stalls, kMaxDoublings);
  return worked_ms - this->changed_ms > limit_ms;
}

std::optional<RunRate> RunProgress::Observe(const Context& context,
                                            std::int64_t worked_ms,
                                            std::uint32_t percent) {
  const bool first = this->run == 0 || this->run != context.run;
  if (first) {
    *this = RunProgress();
    this->run = context.run;
    this->first_percent = percent;
    this->first_ms = worked_ms;
  }
  // After a step back one of the two observations was wrong.
  const bool back =
      !first && (percent < this->last_percent || worked_ms < this->last_ms);
  if (first || back) {
    this->stalls += back ? 1 : 0;
    this->last_percent = percent;
    this->last_ms = worked_ms;
    this->Restart(percent, worked_ms);
    return std::nullopt;
  }
  const bool changed = percent != this->last_percent;
  this->last_percent = percent;
  this->last_ms = worked_ms;
  // A member of a gang that has finished waits for the others at 100 %, and
  // when it got there between two observations is unknown.
  if (percent >= kCompletePercent) {
    return std::nullopt;
  }
  if (!changed) {
    if (this->waiting) {
      this->base_ms = worked_ms;
    } else if (this->IsStalled(context, worked_ms)) {
      ++this->stalls;
      this->Restart(percent, worked_ms);
    }
    return std::nullopt;
  }
  this->changed_ms = worked_ms;
  const std::uint32_t gained = percent - this->base_percent;
  if (this->waiting) {
    this->waiting = false;
    // The work may have begun at any time since the previous observation. After
    // a small step the count starts at the change itself; a large step is
    // counted, since short runs show only few.
    if (context.may_restore || this->stalls > 0 || gained < kSamplePercent) {
      this->base_percent = percent;
      this->base_ms = worked_ms;
      return std::nullopt;
    }
  }
  const std::int64_t work_ms = worked_ms - this->base_ms;
  if (gained < kSamplePercent || work_ms <= 0) {
    return std::nullopt;
  }
  this->base_percent = percent;
  this->base_ms = worked_ms;
  return this->Add({gained, work_ms});
}

/// A single part at another rate, such as one with a short pause, is left out.
/// A second one like it shows that the rate has changed.
std::optional<RunRate> RunProgress::Add(const WorkSeen& seen) {
  const double log_rate = seen.LogRate();
  RunRate result{log_rate, seen};
  if (this->counted.percent > 0) {
    const double difference = log_rate - this->log_rate;
    const bool differs = std::abs(difference) > kRateScatter;
    if (differs && this->doubted.percent > 0 &&
        std::abs(log_rate - this->doubted.LogRate()) <= kRateScatter) {
      result.added.percent += this->doubted.percent;
      result.added.work_ms += this->doubted.work_ms;
      result.log_rate = result.added.LogRate();
      result.changed = true;
      this->doubted = WorkSeen();
    } else if (differs) {
      this->doubted = seen;
      return std::nullopt;
    } else {
      this->doubted = WorkSeen();
      const auto kept =
          static_cast<double>(std::min(this->counted.percent, kRatePercent));
      result.log_rate =
          this->log_rate + difference * seen.percent / (kept + seen.percent);
    }
  }
  this->counted.percent += result.added.percent;
  this->counted.work_ms += result.added.work_ms;
  result.seen_percent = this->counted.percent;
  this->log_rate = result.log_rate;
  return result;
}

std::optional<std::int64_t> RunProgress::FullMs(const Context& context,
                                                std::int64_t worked_ms,
                                                bool ends_by_itself) const {
  const bool seen = this->run == context.run;
  if (seen && this->counted.percent >= kMinSeenPercent) {
    return this->counted.work_ms * kCompletePercent / this->counted.percent;
  }
  if (!ends_by_itself || worked_ms <= 0) {
    return std::nullopt;
  }
  if (!seen) {
    return context.may_restore ? std::nullopt : std::optional(worked_ms);
  }
  const std::uint32_t left = kCompletePercent - this->first_percent;
  if (left < kMinSeenPercent || worked_ms <= this->first_ms) {
    return std::nullopt;
  }
  return (worked_ms - this->first_ms) * kCompletePercent / left;
}

}  // namespace carobrill::workload
