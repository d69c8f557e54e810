#include "packages/requests/work_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace carobrill::requests {

Instant Work::Deadline() const {
  Instant latest{};
  for (const Caller& caller : this->callers) {
    latest = std::max(latest, caller.deadline);
  }
  return latest;
}

Work& WorkTable::Add(Work work) {
  const WorkId id = this->next_id++;
  work.id = id;
  for (const Caller& caller : work.callers) {
    this->calls.emplace(caller.call, id);
  }
  if (work.Keyed()) {
    assert(!this->keys.contains(work.key));
    this->keys.emplace(work.key, id);
  }
  return this->works.emplace(id, std::move(work)).first->second;
}

Work* WorkTable::Find(WorkId id) {
  const auto found = this->works.find(id);
  return found == this->works.end() ? nullptr : &found->second;
}

Work* WorkTable::FindByCall(CallId call) {
  const auto found = this->calls.find(call);
  return found == this->calls.end() ? nullptr : this->Find(found->second);
}

Work* WorkTable::FindByKey(const ClaimKey& key) {
  const auto found = this->keys.find(key);
  return found == this->keys.end() ? nullptr : this->Find(found->second);
}

void WorkTable::AddCaller(Work& work, const Caller& caller) {
  this->calls.emplace(caller.call, work.id);
  work.callers.push_back(caller);
}

void WorkTable::RemoveCaller(CallId call) {
  Work* work = this->FindByCall(call);
  if (work != nullptr) {
    std::erase_if(work->callers,
                  [call](const Caller& caller) { return caller.call == call; });
  }
  this->calls.erase(call);
}

void WorkTable::Remove(WorkId id) {
  const auto found = this->works.find(id);
  if (found == this->works.end()) {
    return;
  }
  for (const Caller& caller : found->second.callers) {
    this->calls.erase(caller.call);
  }
  if (found->second.Keyed()) {
    this->keys.erase(found->second.key);
  }
  this->works.erase(found);
}

std::vector<WorkId> WorkTable::Keyed() const {
  std::vector<WorkId> ids;
  for (const auto& [key, id] : this->keys) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<WorkId> WorkTable::KeyedIn(WorkPhase phase) const {
  std::vector<WorkId> ids;
  for (const auto& [key, id] : this->keys) {
    if (this->works.at(id).phase == phase) {
      ids.push_back(id);
    }
  }
  return ids;
}

}  // namespace carobrill::requests
