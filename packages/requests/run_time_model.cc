#include "packages/requests/run_time_model.h"

#include <algorithm>

namespace carobrill::requests {
namespace {

// Callers choose the names of kinds, so their number is limited.
constexpr std::size_t kMaxKinds = 2'048;

// A few samples are preferred to the declared run time, which is usually wrong.
constexpr std::uint32_t kSamplesToPredict = 3;

constexpr std::uint32_t kMedian = 50;

}  // namespace

void RunTimeModel::Observe(const ServiceId& service,
                           const std::string& kind,
                           std::int64_t run_ms) {
  const KindKey key{service, kind};
  if (!this->kinds.contains(key) && this->kinds.size() >= kMaxKinds) {
    this->RemoveLeastRecentlyUsed();
  }
  Entry& entry = this->kinds[key];
  entry.samples.Add(run_ms);
  entry.last_used = ++this->use_count;
}

std::optional<std::int64_t> RunTimeModel::Quantile(
    const ServiceId& service,
    const std::string& kind,
    std::uint32_t percent,
    std::uint32_t min_samples) const {
  const auto found = this->kinds.find(KindKey{service, kind});
  if (found == this->kinds.end() ||
      found->second.samples.Count() < std::max(1U, min_samples)) {
    return std::nullopt;
  }
  return found->second.samples.Quantile(percent);
}

std::int64_t RunTimeModel::Predict(const ServiceId& service,
                                   const std::string& kind,
                                   std::int64_t declared_ms) const {
  return this->Quantile(service, kind, kMedian, kSamplesToPredict)
      .value_or(declared_ms);
}

void RunTimeModel::RemoveLeastRecentlyUsed() {
  const auto oldest = std::min_element(
      this->kinds.begin(), this->kinds.end(), [](const auto& a, const auto& b) {
        return a.second.last_used < b.second.last_used;
      });
  this->kinds.erase(oldest);
}

}  // namespace carobrill::requests
