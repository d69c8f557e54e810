#include "packages/workload/worker_speeds.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

#include "packages/core/hash.h"
#include "packages/workload/robust_mean.h"

namespace carobrill::workload {
namespace {

/// A run has its full weight once this share of its work was seen, or this much
/// work. A run that is much longer than others has no more weight than they,
/// since it may just have more work.
constexpr double kFullWeightPercent = 40;
constexpr double kFullWeightMs = 4'000;

/// Weight of a run of a gang. The work of other tasks of a step scatters by up
/// to 30 %, that of the members of a gang does not.
constexpr double kGangWeight = 3;

/// Number of later runs after which a run has lost half of its weight. Enough
/// to average the scatter of the work of tasks, few enough to follow a worker
/// that turns slow.
constexpr double kHalfLifeRuns = 2.5;

/// Factor that is applied to the weight of older runs when a run shows a change
/// of the worker's speed.
constexpr double kDecayAtChange = 0.1;

/// Weight of the assumption that a worker is a typical one. Not used within the
/// estimation, where it would shrink the differences with each refinement.
constexpr double kPriorWeight = 0.1;

/// Workers with less weight do not count for the typical speed.
constexpr double kMinTypicalWeight = 0.3;

/// Record limits. Beyond these numbers the workers and services used last are
/// stored.
constexpr int kMaxStoredWorkers = 1'024;
constexpr std::size_t kMaxStoredServices = 16;
constexpr double kPerMille = 1'000;
constexpr std::uint32_t kMinStoredSpeed = 30;
constexpr std::uint32_t kMaxStoredSpeed = 30'000;
constexpr std::uint32_t kMaxStoredRuns = 127;

/// Weight of a restored speed per run, and at most; small, because the worker
/// may have changed since the record was written.
constexpr double kRestoredWeightPerRun = 0.25;
constexpr double kMaxRestoredWeight = 1.5;

/// Identifies observations of an earlier planner; no run has this hash.
constexpr std::uint64_t kRestoredRun = 0;

}  // namespace

WorkerHash WorkerHash::Of(const WorkerIncarnation& worker) {
  StableHash place;
  place.Add(worker.agent.value);
  place.Add(worker.id.value);
  StableHash life;
  life.Add(worker.born_ms);
  constexpr int kHalf = 32;
  return {place.Value(),
          static_cast<std::uint32_t>(life.Value() ^ (life.Value() >> kHalf))};
}

void WorkerSpeeds::Decay(WorkerState& worker, double factor) {
  for (RunSpeed& entry : worker.latest) {
    entry.weight = static_cast<float>(entry.weight * factor);
  }
}

/// Returns the entry of the run, or else the one with the smallest weight.
WorkerSpeeds::RunSpeed& WorkerSpeeds::EntryOf(WorkerState& worker,
                                              std::uint64_t run) {
  RunSpeed* lightest = &worker.latest.front();
  for (RunSpeed& entry : worker.latest) {
    if (entry.weight > 0 && entry.run == run) {
      return entry;
    }
    if (entry.weight < lightest->weight) {
      lightest = &entry;
    }
  }
  *lightest = RunSpeed();
  lightest->run = run;
  ++worker.runs;
  return *lightest;
}

void WorkerSpeeds::Summarise(WorkerState& worker) {
  std::array<WeightedValue, std::tuple_size_v<decltype(worker.latest)>> values;
  std::size_t count = 0;
  double weight = 0;
  for (const RunSpeed& entry : worker.latest) {
    if (entry.weight > 0) {
      values[count++] = {entry.log_speed, entry.weight};
      weight += entry.weight;
    }
  }
  worker.weight = static_cast<float>(weight);
  worker.log_speed =
      count == 0 ? 0.0F
                 : static_cast<float>(RobustMean({values.data(), count}));
}

void WorkerSpeeds::Observe(const Sample& sample) {
  WorkerState& worker = this->workers.Use(sample.worker.place);
  if (worker.life != sample.worker.life || worker.runs == 0) {
    worker = WorkerState();
    worker.life = sample.worker.life;
  }
  worker.service = sample.service;
  RunSpeed* entry = &EntryOf(worker, sample.run);
  if (sample.changed) {
    // What the run has shown before the change is the vote of an older run.
    entry->run = kRestoredRun;
    Decay(worker, kDecayAtChange);
    entry = &EntryOf(worker, sample.run);
    --worker.runs;
  }
  const double added =
      std::max(sample.added.percent / kFullWeightPercent,
               static_cast<double>(sample.added.work_ms) / kFullWeightMs);
  const double full_weight = sample.gang ? kGangWeight : 1;
  const double weight =
      std::min(full_weight, entry->weight + full_weight * added);
  Decay(worker, std::exp2((entry->weight - weight) / kHalfLifeRuns));
  entry->step = sample.step;
  entry->log_rate = static_cast<float>(sample.log_rate);
  entry->log_speed = static_cast<float>(sample.log_speed);
  entry->weight = static_cast<float>(weight);
  Summarise(worker);

  std::uint32_t& samples = this->samples_of_service.Use(sample.service);
  // Finding the typical speed takes time proportional to the workers.
  if (++samples >= this->workers.Size()) {
    samples = 0;
    this->Normalise(sample.service);
  }
}

/// Makes the median speed of the service's workers 1.
void WorkerSpeeds::Normalise(std::uint64_t service) {
  std::vector<float> known;
  for (const auto& [place, worker] : this->workers) {
    if (worker.service == service && worker.weight >= kMinTypicalWeight) {
      known.push_back(worker.log_speed);
    }
  }
  if (known.empty()) {
    return;
  }
  const auto middle =
      known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
  std::nth_element(known.begin(), middle, known.end());
  const float typical = *middle;
  for (auto& [place, worker] : this->workers) {
    if (worker.service == service) {
      for (RunSpeed& entry : worker.latest) {
        entry.log_speed -= typical;
      }
      worker.log_speed -= typical;
    }
  }
}

const WorkerSpeeds::WorkerState* WorkerSpeeds::Find(
    const WorkerHash& worker) const {
  const WorkerState* found = this->workers.Find(worker.place);
  return found != nullptr && found->life == worker.life ? found : nullptr;
}

double WorkerSpeeds::LogSpeedOf(const WorkerHash& worker) const {
  const WorkerState* found = this->Find(worker);
  return found == nullptr ? 0.0 : found->log_speed;
}

double WorkerSpeeds::CautiousLogSpeedOf(const WorkerHash& worker) const {
  const WorkerState* found = this->Find(worker);
  return found == nullptr ? 0.0
                          : found->log_speed * found->weight /
                                (found->weight + kPriorWeight);
}

double WorkerSpeeds::WeightOf(const WorkerHash& worker) const {
  const WorkerState* found = this->Find(worker);
  return found == nullptr ? 0.0 : found->weight;
}

std::uint32_t WorkerSpeeds::RunsOf(const WorkerHash& worker) const {
  const WorkerState* found = this->Find(worker);
  return found == nullptr ? 0 : found->runs;
}

void WorkerSpeeds::Encode(records::RunTimesRecord& record) const {
  std::map<std::uint64_t, records::WorkerSpeedsRecord*> services;
  int stored = 0;
  for (const auto& [place, worker] : this->workers) {
    auto known = services.find(worker.service);
    if (known == services.end()) {
      if (services.size() >= kMaxStoredServices) {
        continue;
      }
      known = services.emplace(worker.service, record.add_services()).first;
      known->second->set_service(worker.service);
    }
    if (++stored > kMaxStoredWorkers) {
      return;
    }
    records::WorkerSpeedsRecord* service = known->second;
    service->add_places(place);
    service->add_lives(worker.life);
    service->add_speeds_permille(
        std::clamp(static_cast<std::uint32_t>(
                       std::lround(std::exp(worker.log_speed) * kPerMille)),
                   kMinStoredSpeed, kMaxStoredSpeed));
    service->add_runs(std::min(worker.runs, kMaxStoredRuns));
  }
}

bool WorkerSpeeds::Decode(const records::RunTimesRecord& record) {
  WorkerSpeeds decoded;
  for (const records::WorkerSpeedsRecord& service : record.services()) {
    const int count = service.places_size();
    if (service.lives_size() != count ||
        service.speeds_permille_size() != count ||
        service.runs_size() != count) {
      return false;
    }
    for (int i = count - 1; i >= 0; --i) {
      const std::uint32_t speed = service.speeds_permille(i);
      const std::uint32_t runs = service.runs(i);
      if (speed < kMinStoredSpeed || speed > kMaxStoredSpeed || runs == 0 ||
          runs > kMaxStoredRuns) {
        return false;
      }
      WorkerState& worker = decoded.workers.Use(service.places(i));
      worker = WorkerState();
      worker.service = service.service();
      worker.life = service.lives(i);
      worker.runs = runs;
      const double weight =
          std::min(kMaxRestoredWeight, kRestoredWeightPerRun * runs);
      worker.latest.front() = {kRestoredRun, StepHash(), 0.0F,
                               static_cast<float>(std::log(speed / kPerMille)),
                               static_cast<float>(weight)};
      Summarise(worker);
    }
  }
  *this = std::move(decoded);
  return true;
}

}  // namespace carobrill::workload
