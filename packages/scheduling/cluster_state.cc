#include <algorithm>
#include <concepts>

#include "packages/core/hash.h"
#include "packages/scheduling/cluster.h"
#include "packages/scheduling/state_archive.h"

// Snapshot and hash of the cluster. Writing, reading and hashing share one
// field list per struct.

namespace carobrill::scheduling {

namespace {

/// Version of the snapshot format; increment it whenever a field list below
/// changes.
constexpr std::uint64_t kFormatVersion = 1;

}  // namespace

template <typename T, typename Struct>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Struct>;

template <typename Archive, MaybeConst<GuaranteedCells> T>
void VisitFields(Archive& archive, T& value) {
  VisitEach(archive, value.count, value.accelerators, value.whole_rack);
}

template <typename Archive, MaybeConst<AccountPolicy> T>
void VisitFields(Archive& archive, T& value) {
  VisitEach(archive, value.guarantee, value.quota, value.share);
}

template <typename Archive, MaybeConst<DeclaredHardware> T>
void VisitFields(Archive& archive, T& value) {
  VisitEach(archive, value.racks, value.workers_per_rack, value.accelerators);
}

template <typename Archive, MaybeConst<Policy> T>
void VisitFields(Archive& archive, T& value) {
  VisitEach(archive, value.accounts, value.drained_workers, value.hardware);
}

template <typename Archive, MaybeConst<Worker> T>
void VisitFields(Archive& archive, T& value) {
  VisitEach(archive, value.id, value.incarnation, value.rack, value.domain,
            value.region, value.accelerators, value.cores_milli,
            value.memory_mb, value.state, value.since, value.reason,
            value.failed_jobs, value.quarantines, value.quarantined_until,
            value.probation_passed);
}

template <typename Archive, MaybeConst<GangMember> T>
void VisitFields(Archive& archive, T& value) {
  VisitEach(archive, value.worker, value.incarnation, value.first_accelerator,
            value.accelerators);
}

template <typename Archive, MaybeConst<Job> T>
void VisitFields(Archive& archive, T& value) {
  VisitEach(archive, value.id, value.idempotency_key, value.spec,
            value.spec_digest, value.state, value.since, value.submitted_at,
            value.submitted_offset, value.order_ms, value.attempt,
            value.members, value.borrowed, value.pending_victims,
            value.may_have_started, value.cancel_requested, value.reason,
            value.failures, value.failed_workers, value.checkpoint,
            value.total_run_ms, value.started_at);
}

template <typename Archive, MaybeConst<LearnedEstimate> T>
void VisitFields(Archive& archive, T& value) {
  VisitEach(archive, value.run_permille, value.samples, value.cores_milli,
            value.memory_mb, value.last_updated);
}

template <typename Archive, MaybeConst<BindingEntry> T>
void VisitFields(Archive& archive, T& value) {
  VisitEach(archive, value.worker, value.accelerator, value.account,
            value.level, value.in_guarantee);
}

/// Visits the replicated state of a cluster.
struct ClusterState {
  template <typename Archive, typename Self, typename Entries>
  static void VisitAll(Archive& archive, Self& cluster, Entries& bindings) {
    VisitEach(archive, cluster.log_time, cluster.policy, cluster.workers,
              cluster.jobs, cluster.learned, cluster.retry_budget_milli,
              bindings);
  }
};

}  // namespace carobrill::scheduling

namespace carobrill::records {

// In this namespace so that argument-dependent lookup finds it.
inline void VisitFields(scheduling::StateWriter& writer, const JobSpec& spec) {
  writer.String(spec.SerializeAsString());
}

inline void VisitFields(scheduling::StateReader& reader, JobSpec& spec) {
  if (!spec.ParseFromString(reader.String())) {
    reader.Fail();
  }
}

}  // namespace carobrill::records

namespace carobrill::scheduling {

std::vector<BindingEntry> Cluster::Bindings() const {
  std::map<AccountIndex, AccountId> names;
  for (const auto& [id, index] : this->account_indexes) {
    names[index] = id;
  }
  std::vector<BindingEntry> entries;
  for (const auto& [id, worker] : this->workers) {
    const WorkerIndex index = this->worker_indexes.at(id);
    for (std::uint32_t at = 0; at < worker.accelerators; ++at) {
      const SlotBinding& bound = this->allocator.GetSlot(index, at).binding;
      if (bound.account != kNoAccount) {
        entries.push_back(
            {id, at, names.at(bound.account), bound.level, bound.in_guarantee});
      }
    }
  }
  return entries;
}

std::string Cluster::Serialize() const {
  StateWriter writer;
  writer.Varint(kFormatVersion);
  const std::vector<BindingEntry> bindings = this->Bindings();
  ClusterState::VisitAll(writer, *this, bindings);
  return writer.TakeBytes();
}

void Cluster::Save(records::Snapshot& snapshot) const {
  snapshot.set_scheduling(this->Serialize());
}

std::uint64_t Cluster::Hash() const {
  return HashOf(this->Serialize());
}

bool Cluster::Load(const records::Snapshot& snapshot) {
  StateReader reader(snapshot.scheduling());
  if (reader.Varint() != kFormatVersion) {
    return false;
  }
  Cluster loaded(this->charts, this->settings);
  std::vector<BindingEntry> bindings;
  ClusterState::VisitAll(reader, loaded, bindings);
  if (!reader.Complete() || !loaded.Valid() || !loaded.Rebuild(bindings)) {
    return false;
  }
  *this = std::move(loaded);
  return true;
}

bool Cluster::Valid() const {
  for (const auto& [id, worker] : this->workers) {
    if (worker.id != id || !std::has_single_bit(worker.accelerators) ||
        worker.accelerators > kMaxAccelerators ||
        NameOf(worker.state) == "invalid") {
      return false;
    }
  }
  for (const auto& [id, job] : this->jobs) {
    if (job.id != id || NameOf(job.state) == "invalid" ||
        job.members.empty() == HoldsCells(job.state)) {
      return false;
    }
    for (const auto& member : job.members) {
      const auto worker = this->workers.find(member.worker);
      if (worker == this->workers.end() ||
          !std::has_single_bit(member.accelerators) ||
          member.accelerators > worker->second.accelerators ||
          member.first_accelerator >= worker->second.accelerators ||
          member.first_accelerator % member.accelerators != 0) {
        return false;
      }
    }
    for (const JobId& victim : job.pending_victims) {
      const auto found = this->jobs.find(victim);
      if (found == this->jobs.end() ||
          found->second.state != JobState::kStopping) {
        return false;
      }
    }
  }
  return true;
}

bool Cluster::Rebuild(const std::vector<BindingEntry>& bindings) {
  this->SetStandardRack();
  for (const auto& [id, account] : this->policy.accounts) {
    this->AddAccount(id);
  }
  for (auto& [id, worker] : this->workers) {
    this->AddToAllocator(worker);
    if (worker.state == WorkerState::kLost) {
      this->lost_workers.insert({worker.since, id});
    }
  }
  for (const auto& [key, entry] : this->learned) {
    this->learned_order.insert({entry.last_updated, key});
  }
  for (auto& [id, job] : this->jobs) {
    if (!job.idempotency_key.empty()) {
      this->idempotency_keys[{AccountId(job.spec.account()),
                              job.idempotency_key}] = id;
    }
    if (IsEnded(job.state)) {
      this->ended.insert({job.since, id});
      continue;
    }
    this->jobs_by_state[job.state].insert({job.since, id});
    if (job.state == JobState::kQueued) {
      this->EnqueueAt(job, job.order_ms);
      continue;
    }
    const JobHandle handle =
        this->allocator.AddAllocation(this->MakeAllocation(job));
    this->handles[id] = handle;
    this->jobs_by_handle.resize(
        std::max<std::size_t>(this->jobs_by_handle.size(), handle + 1));
    this->jobs_by_handle[handle] = id;
    this->AddUsage(job, 1);
    for (const auto& member : job.members) {
      this->workers.at(member.worker).jobs.insert(id);
    }
    for (const JobId& victim : job.pending_victims) {
      this->claimants[victim].insert(id);
    }
  }
  // Restore stopping jobs before the jobs that wait for them: a cell covered by
  // both is held by the waiting job.
  for (const bool claiming : {false, true}) {
    for (const auto& [id, job] : this->jobs) {
      if (HoldsCells(job.state) && job.pending_victims.empty() != claiming) {
        for (const Cell& cell : this->CellsOf(job)) {
          this->allocator.RestoreOccupant(cell, this->handles.at(id));
        }
      }
    }
  }
  std::vector<LevelCounts> open = this->Guarantees();
  std::set<std::pair<std::string, std::uint32_t>> counted;
  for (const auto& entry : bindings) {
    const auto worker = this->workers.find(entry.worker);
    if (worker == this->workers.end() || entry.level > kLevels ||
        entry.accelerator >= worker->second.accelerators) {
      return false;
    }
    const SlotBinding bound{this->AddAccount(entry.account), entry.level,
                            entry.in_guarantee};
    open.resize(this->account_indexes.size());
    this->allocator.RestoreBinding(this->worker_indexes.at(entry.worker),
                                   entry.accelerator, bound);
    const bool rack = entry.level == kLevels;
    const std::uint32_t size = rack ? 1U : 1U << entry.level;
    const std::string place = rack ? "rack " + worker->second.rack.value
                                   : "worker " + entry.worker.value;
    const std::uint32_t first = rack ? 0 : entry.accelerator / size * size;
    if (entry.in_guarantee && counted.insert({place, first}).second) {
      if (open[bound.account][entry.level]-- == 0) {
        return false;
      }
    }
  }
  this->allocator.RestoreGuarantees(open);
  this->allocator.FinishRestore();
  return true;
}

}  // namespace carobrill::scheduling
