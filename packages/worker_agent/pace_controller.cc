#include "packages/worker_agent/pace_controller.h"

#include <algorithm>
#include <utility>

namespace carobrill::worker_agent {
namespace {

constexpr std::int64_t kPercent = 100;

}  // namespace

void PaceController::Reset() {
  this->percent = kFullPercent;
  this->sent_percent.clear();
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
  if (now >= this->next_change_at && !fillers.empty()) {
    this->Adjust(worst_percent, now);
  }
  std::map<RunKey, std::uint32_t> known;
  std::vector<PaceChange> due;
  for (const RunKey& key : fillers) {
    const auto seen = this->sent_percent.find(key);
    const std::uint32_t previous =
        seen == this->sent_percent.end() ? kFullPercent : seen->second;
    known.emplace(key, this->percent);
    if (previous != this->percent) {
      due.push_back({key.first, key.second, this->percent});
    }
  }
  this->sent_percent = std::move(known);
  return due;
}

void PaceController::OnFailure(const RunKey& run) {
  const auto seen = this->sent_percent.find(run);
  if (seen != this->sent_percent.end()) {
    // No valid rate has this value, so the order is sent again.
    seen->second = kFullPercent + 1;
  }
}

void PaceController::Adjust(std::int64_t worst_percent, Instant now) {
  const std::uint32_t before = this->percent;
  if (worst_percent > kPercent) {
    this->percent = this->percent * this->settings.slow_down_percent /
                    static_cast<std::uint32_t>(kPercent);
  } else if (worst_percent > this->settings.high_percent) {
    this->percent -= std::min(this->percent, this->settings.step_percent);
  } else if (worst_percent < this->settings.low_percent) {
    this->percent =
        std::min(kFullPercent, this->percent + this->settings.step_percent);
  }
  if (this->percent != before) {
    this->next_change_at = now.After(this->settings.interval_ms);
  }
}

}  // namespace carobrill::worker_agent
