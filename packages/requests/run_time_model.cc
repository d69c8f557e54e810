#include "packages/requests/run_time_model.h"

#include <algorithm>
#include <cassert>

namespace carobrill::requests {
namespace {

constexpr std::uint32_t kHalvingInterval = 256;

// Callers choose the names of kinds, so their number is limited.
constexpr std::size_t kMaxKinds = 2'048;

// A few samples are preferred to the declared run time, which is usually wrong.
constexpr std::uint32_t kSamplesToPredict = 3;

constexpr std::uint32_t kMedian = 50;

}  // namespace

constexpr std::array<std::int64_t, RunTimeSamples::kBuckets>
RunTimeSamples::MakeBucketLimits() {
  std::array<std::int64_t, kBuckets> limits{};
  std::int64_t limit = 1;
  for (std::int64_t& bucket : limits) {
    bucket = limit;
    limit = std::max(limit + 1, limit + limit / 4);
  }
  return limits;
}

const std::array<std::int64_t, RunTimeSamples::kBuckets>&
RunTimeSamples::BucketLimits() {
  static constexpr auto kLimits = MakeBucketLimits();
  return kLimits;
}

void RunTimeSamples::Add(std::int64_t run_ms) {
  const auto& limits = BucketLimits();
  const auto bucket = std::lower_bound(limits.begin(), limits.end(), run_ms);
  const auto index = std::min<std::size_t>(
      static_cast<std::size_t>(bucket - limits.begin()), kBuckets - 1);
  ++this->counts[index];
  ++this->total;
  if (this->total < 2 * kHalvingInterval) {
    return;
  }
  this->total = 0;
  for (std::uint16_t& count : this->counts) {
    count /= 2;
    this->total += count;
  }
}

std::int64_t RunTimeSamples::Quantile(std::uint32_t percent) const {
  assert(this->total > 0);
  constexpr std::uint32_t kPercent = 100;
  const std::uint32_t wanted = std::max<std::uint32_t>(
      1, (this->total * percent + kPercent - 1) / kPercent);
  std::uint32_t seen = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    seen += this->counts[i];
    if (seen >= wanted) {
      return BucketLimits()[i];
    }
  }
  return BucketLimits().back();
}

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
