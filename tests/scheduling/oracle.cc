#include "tests/scheduling/oracle.h"

#include <algorithm>
#include <functional>

namespace carobrill::scheduling {

namespace {

using AcceleratorRef = std::pair<std::string, std::uint32_t>;

std::vector<AcceleratorRef> AcceleratorsOf(const GangMember& member) {
  std::vector<AcceleratorRef> accelerators;
  for (std::uint32_t i = 0; i < member.accelerators; ++i) {
    accelerators.emplace_back(member.worker.value,
                              member.first_accelerator + i);
  }
  return accelerators;
}

}  // namespace

void Oracle::Observe(const records::Record& record,
                     records::Verdict verdict,
                     const Cluster& cluster) {
  if (verdict != records::Verdict::kAccepted) {
    return;
  }
  // Job names are reused: after the retention of a job, another one may be
  // submitted under its name.
  if (record.has_job_submitted()) {
    this->commits.erase(record.job_submitted().job());
  }
  if (record.has_gang_placed()) {
    const auto& body = record.gang_placed();
    Gang gang;
    gang.spec = cluster.FindJob(JobId(body.job()))->spec;
    for (const auto& member : body.members()) {
      gang.members.push_back({WorkerId(member.worker()), member.incarnation(),
                              member.first_accelerator(),
                              member.accelerators()});
    }
    const auto& declared = gang.spec.member_size();
    gang.cores_milli = declared.cores_milli();
    gang.memory_mb = declared.memory_mb();
    const auto known =
        this->learned.find({gang.spec.account(), gang.spec.kind()});
    if (known != this->learned.end()) {
      gang.cores_milli = known->second.cores_milli();
      gang.memory_mb = known->second.memory_mb();
    }
    this->gangs[body.job()] = gang;
  } else if (record.has_gang_start_committed()) {
    const std::string& id = record.gang_start_committed().job();
    Gang& gang = this->gangs.at(id);
    gang.committed = true;
    if (++this->commits[id] > 1 && !gang.spec.idempotent()) {
      this->violation = id + " was committed again without a checkpoint";
    }
  } else if (record.has_gang_ended()) {
    const auto& body = record.gang_ended();
    this->gangs.erase(body.job());
    if (body.outcome() == records::GANG_OUTCOME_CHECKPOINTED &&
        !body.checkpoint().empty()) {
      this->commits[body.job()] = 0;
    }
  }
  if (record.has_size_corrected()) {
    const auto& body = record.size_corrected();
    this->learned[{body.account(), body.kind()}] = body.size();
  }
  // An uncommitted gang is removed when its job leaves the placed state. A
  // committed gang is removed only by GangEnded, regardless of the cluster's
  // state.
  std::erase_if(this->gangs, [&](const auto& entry) {
    const Job* job = cluster.FindJob(JobId(entry.first));
    return !entry.second.committed &&
           (job == nullptr || job->state != JobState::kPlaced);
  });
}

void Oracle::ObservePolicyChange() {
  for (auto& [id, gang] : this->gangs) {
    gang.from_earlier_policy = true;
  }
}

bool Oracle::HasGangsFromEarlierPolicy() const {
  return std::any_of(
      this->gangs.begin(), this->gangs.end(),
      [](const auto& entry) { return entry.second.from_earlier_policy; });
}

std::string Oracle::CheckOccupancy(const Cluster& cluster) const {
  std::set<AcceleratorRef> running;
  std::set<AcceleratorRef> placed;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> used;
  for (const auto& [id, gang] : this->gangs) {
    for (const GangMember& member : gang.members) {
      for (const AcceleratorRef& accelerator : AcceleratorsOf(member)) {
        if (!(gang.committed ? running : placed).insert(accelerator).second) {
          return id + " shares accelerator " + accelerator.first + "/" +
                 std::to_string(accelerator.second);
        }
      }
      if (gang.committed) {
        auto& [cores, memory] = used[member.worker.value];
        cores += gang.cores_milli;
        memory += gang.memory_mb;
      }
    }
  }
  for (const auto& [id, sums] : used) {
    const auto worker = cluster.Workers().find(WorkerId(id));
    if (worker == cluster.Workers().end() ||
        sums.first > worker->second.cores_milli ||
        sums.second > worker->second.memory_mb) {
      return "cores or memory of " + id + " are overcommitted";
    }
  }
  return "";
}

std::string Oracle::CheckGangs(const Cluster& cluster) const {
  std::set<AcceleratorRef> guarantee_reserved;
  for (const auto& [id, gang] : this->gangs) {
    const Job* job = cluster.FindJob(JobId(id));
    if (job == nullptr || !HoldsCells(job->state) ||
        job->members.size() != job->spec.members() ||
        gang.members.size() != job->spec.members()) {
      return id + " holds only some of its cells";
    }
    std::set<WorkerId> workers;
    std::set<RackId> racks;
    std::set<AcceleratorRef> own;
    for (const GangMember& member : gang.members) {
      const Worker& worker = cluster.Workers().at(member.worker);
      workers.insert(worker.id);
      racks.insert(worker.rack);
      for (const AcceleratorRef& accelerator : AcceleratorsOf(member)) {
        guarantee_reserved.insert(accelerator);
        if (!own.insert(accelerator).second) {
          return id + " has two members on one accelerator";
        }
      }
    }
    const auto adjacency = job->spec.adjacency();
    if ((adjacency == records::ADJACENCY_WORKER && workers.size() > 1) ||
        (adjacency == records::ADJACENCY_RACK && racks.size() > 1)) {
      return id + " violates its adjacency constraint";
    }
  }
  for (const auto& [id, job] : cluster.Jobs()) {
    if (HoldsCells(job.state) != this->gangs.contains(id.value)) {
      return id.value + " holds cells in only one of the models";
    }
  }
  for (const auto& [id, worker] : cluster.Workers()) {
    const WorkerIndex index = *cluster.IndexOf(id);
    for (std::uint32_t at = 0; at < worker.accelerators; ++at) {
      const Slot& slot = cluster.GetAllocator().GetSlot(index, at);
      const bool occupied =
          slot.holder != kNoJob || slot.stopping_holder != kNoJob;
      if (occupied != guarantee_reserved.contains({id.value, at})) {
        return "accelerator " + id.value + "/" + std::to_string(at) +
               " is occupied in only one of the models";
      }
    }
  }
  return "";
}

std::string Oracle::CheckCommits() const {
  return this->violation;
}

bool Oracle::CanReclaim(const Cluster& cluster) const {
  struct Wanted {
    std::string account;
    std::uint32_t accelerators;
    bool rack;
  };
  std::vector<Wanted> wanted;
  for (const auto& [id, account] : cluster.CurrentPolicy().accounts) {
    for (const auto& part : account.guarantee) {
      for (std::uint32_t i = 0; i < part.count; ++i) {
        wanted.push_back({id.value, part.accelerators, part.whole_rack});
      }
    }
  }
  // Account whose guaranteed work uses the accelerator; empty if there is none.
  std::map<AcceleratorRef, std::string> owner;
  std::map<std::string, std::vector<AcceleratorRef>> racks;
  std::map<std::string, std::set<std::string>> rack_workers;
  std::set<std::string> broken_racks;
  for (const auto& [id, worker] : cluster.Workers()) {
    const bool ready =
        worker.state == WorkerState::kReady && !cluster.IsDraining(worker);
    rack_workers[worker.rack.value].insert(id.value);
    for (std::uint32_t at = 0; at < worker.accelerators; ++at) {
      if (ready) {
        owner[{id.value, at}] = "";
        racks[worker.rack.value].push_back({id.value, at});
      }
    }
    if (!ready) {
      broken_racks.insert(worker.rack.value);
    }
  }
  std::size_t standard = 0;
  for (const auto& [rack, members] : rack_workers) {
    standard = std::max(standard, members.size());
  }
  for (const auto& [id, gang] : this->gangs) {
    const Job* job = cluster.FindJob(JobId(id));
    if (job == nullptr || job->borrowed || job->state == JobState::kStopping) {
      continue;
    }
    for (const GangMember& member : gang.members) {
      for (const AcceleratorRef& accelerator : AcceleratorsOf(member)) {
        if (owner.contains(accelerator)) {
          owner[accelerator] = gang.spec.account();
        }
      }
    }
  }
  std::set<AcceleratorRef> assigned;
  const std::function<bool(std::size_t)> assign = [&](std::size_t next) {
    if (next == wanted.size()) {
      return true;
    }
    const Wanted& cell = wanted[next];
    const auto attempt = [&](const std::vector<AcceleratorRef>& accelerators) {
      const bool usable = std::all_of(
          accelerators.begin(), accelerators.end(),
          [&](const AcceleratorRef& accelerator) {
            const auto found = owner.find(accelerator);
            return found != owner.end() && !assigned.contains(accelerator) &&
                   (found->second.empty() || found->second == cell.account);
          });
      if (!usable) {
        return false;
      }
      assigned.insert(accelerators.begin(), accelerators.end());
      if (assign(next + 1)) {
        return true;
      }
      for (const AcceleratorRef& accelerator : accelerators) {
        assigned.erase(accelerator);
      }
      return false;
    };
    if (cell.rack) {
      return std::any_of(racks.begin(), racks.end(), [&](const auto& rack) {
        return !broken_racks.contains(rack.first) &&
               rack_workers[rack.first].size() == standard &&
               attempt(rack.second);
      });
    }
    for (const auto& [id, worker] : cluster.Workers()) {
      for (std::uint32_t first = 0; first < worker.accelerators;
           first += cell.accelerators) {
        std::vector<AcceleratorRef> accelerators;
        for (std::uint32_t i = 0; i < cell.accelerators; ++i) {
          accelerators.emplace_back(id.value, first + i);
        }
        if (attempt(accelerators)) {
          return true;
        }
      }
    }
    return false;
  };
  return assign(0);
}

}  // namespace carobrill::scheduling
