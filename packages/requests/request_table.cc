#include "packages/requests/request_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace carobrill::requests {

Instant PendingRequest::Deadline() const {
  Instant latest{};
  for (const Caller& caller : this->callers) {
    latest = std::max(latest, caller.deadline);
  }
  return latest;
}

PendingRequest& RequestTable::Add(PendingRequest pending) {
  const RequestId id = this->next_id++;
  pending.id = id;
  for (const Caller& caller : pending.callers) {
    this->calls.emplace(caller.call, id);
  }
  if (pending.IsKeyed()) {
    assert(!this->keys.contains(pending.key));
    this->keys.emplace(pending.key, id);
  }
  return this->requests.emplace(id, std::move(pending)).first->second;
}

PendingRequest* RequestTable::Find(RequestId id) {
  const auto found = this->requests.find(id);
  return found == this->requests.end() ? nullptr : &found->second;
}

PendingRequest* RequestTable::FindByCall(CallId call) {
  const auto found = this->calls.find(call);
  return found == this->calls.end() ? nullptr : this->Find(found->second);
}

PendingRequest* RequestTable::FindByKey(const ClaimKey& key) {
  const auto found = this->keys.find(key);
  return found == this->keys.end() ? nullptr : this->Find(found->second);
}

void RequestTable::AddCaller(PendingRequest& pending, const Caller& caller) {
  this->calls.emplace(caller.call, pending.id);
  pending.callers.push_back(caller);
}

void RequestTable::RemoveCaller(CallId call) {
  PendingRequest* pending = this->FindByCall(call);
  if (pending != nullptr) {
    std::erase_if(pending->callers,
                  [call](const Caller& caller) { return caller.call == call; });
  }
  this->calls.erase(call);
}

void RequestTable::Remove(RequestId id) {
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) {
    return;
  }
  for (const Caller& caller : found->second.callers) {
    this->calls.erase(caller.call);
  }
  if (found->second.IsKeyed()) {
    this->keys.erase(found->second.key);
  }
  this->requests.erase(found);
}

std::vector<RequestId> RequestTable::ListKeyed() const {
  std::vector<RequestId> ids;
  for (const auto& [key, id] : this->keys) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<RequestId> RequestTable::ListKeyedIn(RequestPhase phase) const {
  std::vector<RequestId> ids;
  for (const auto& [key, id] : this->keys) {
    if (this->requests.at(id).phase == phase) {
      ids.push_back(id);
    }
  }
  return ids;
}

}  // namespace carobrill::requests
