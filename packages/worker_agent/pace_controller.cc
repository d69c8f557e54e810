#include "packages/worker_agent/pace_controller.h"

#include <algorithm>
#include <utility>

namespace carobrill::worker_agent {
namespace {

constexpr std::int64_t kPercent = 100;

}  // namespace

void PaceController::Reset() {
  this->percent = kFullPace;
  this->told.clear();
}

std::vector<PaceChange> PaceController::Update(
    const std::vector<ListedRun>& running,
    const RunTable& runs,
    Instant now) {
  std::int64_t worst_percent = 0;
  std::vector<RunKey> fillers;
  for (const ListedRun& run : running) {
    const RunKey key{run.task, run.run};
    const RunTraits traits = runs.TraitsOf(key);
    if (traits.filler) {
      fillers.push_back(key);
    } else if (traits.latency_target_ms > 0) {
      worst_percent = std::max(worst_percent,
                               run.usage * kPercent / traits.latency_target_ms);
    }
  }
  if (now >= this->next_change && !fillers.empty()) {
    this->Adjust(worst_percent, now);
  }
  std::map<RunKey, std::uint32_t> known;
  std::vector<PaceChange> due;
  for (const RunKey& key : fillers) {
    const auto seen = this->told.find(key);
    const std::uint32_t was =
        seen == this->told.end() ? kFullPace : seen->second;
    known.emplace(key, this->percent);
    if (was != this->percent) {
      due.push_back({key.first, key.second, this->percent});
    }
  }
  this->told = std::move(known);
  return due;
}

void PaceController::OnFailure(const RunKey& run) {
  const auto seen = this->told.find(run);
  if (seen != this->told.end()) {
    // No valid rate has this value, so the order is sent again.
    seen->second = kFullPace + 1;
  }
}

void PaceController::Adjust(std::int64_t worst_percent, Instant now) {
  const std::uint32_t before = this->percent;
  if (worst_percent > kPercent) {
    this->percent = this->percent * this->settings.slow_down_percent /
                    static_cast<std::uint32_t>(kPercent);
  } else if (worst_percent > this->settings.high_percent) {
    this->percent -= std::min(this->percent, this->settings.speed_up_percent);
  } else if (worst_percent < this->settings.low_percent) {
    this->percent =
        std::min(kFullPace, this->percent + this->settings.speed_up_percent);
  }
  if (this->percent != before) {
    this->next_change = now.After(this->settings.interval_ms);
  }
}

}  // namespace carobrill::worker_agent
