#include "packages/requests/request_queue.h"

#include <algorithm>
#include <cassert>

namespace carobrill::requests {
namespace {

// Penalty of each class, added to the enqueue time. Gives strict priority in
// short peaks, but a normal request goes before urgent ones that arrive 2 s
// later.
constexpr std::array<std::int64_t, 3> kClassPenaltyMs = {0, 2'000, 8'000};

// Long requests go before short ones only after waiting this much longer; the
// bound keeps a steady stream of short requests from starving them.
constexpr std::int64_t kLongPenaltyMs = 10'000;

// Fixed-point scale of virtual time, large enough to be divided by a weight.
constexpr std::int64_t kVirtualTimeScale = 1'000;

std::size_t IndexOf(RequestClass request_class) {
  return static_cast<std::size_t>(request_class);
}

}  // namespace

void RequestQueue::SetWeights(
    const std::map<AccountId, std::uint32_t>& account_weights) {
  this->weights = account_weights;
}

std::uint64_t RequestQueue::Push(const QueueItem& item) {
  assert(!this->Contains(item.request_id));
  const std::uint64_t sequence =
      item.sequence == 0 ? this->next_sequence++ : item.sequence;
  Lane& lane = this->LaneOf(item.service, item.is_long);
  ClassQueue& class_queue = lane.classes[IndexOf(item.request_class)];
  AccountQueue& account = class_queue.accounts[item.account];
  if (account.request_ids.empty()) {
    account.virtual_time =
        std::max(account.virtual_time, class_queue.virtual_time);
  }
  account.request_ids.emplace(sequence, item.request_id);
  ++class_queue.size;
  ++lane.size;
  this->by_class[IndexOf(item.request_class)].emplace(sequence,
                                                      item.request_id);
  this->entries.emplace(item.request_id, Entry{item, sequence});
  return sequence;
}

void RequestQueue::Remove(RequestId request_id) {
  const auto found = this->entries.find(request_id);
  if (found == this->entries.end()) {
    return;
  }
  const ServiceId service = found->second.item.service;
  Lane& lane = this->LaneOf(service, found->second.item.is_long);
  this->Erase(request_id);
  if (lane.size == 0) {
    lane.rate.OnEmpty();
  }
  this->RemoveIfNeverServed(service);
}

// Callers choose service names, so the state of services that were never served
// is removed to bound memory.
void RequestQueue::RemoveIfNeverServed(const ServiceId& service) {
  const auto found = this->services.find(service);
  const ServiceLanes& lanes = found->second;
  if (lanes.short_lane.size + lanes.long_lane.size == 0 &&
      !lanes.short_lane.rate.HasEstimate() &&
      !lanes.long_lane.rate.HasEstimate()) {
    this->services.erase(found);
  }
}

std::optional<QueueItem> RequestQueue::NextInLane(const ServiceId& service,
                                                  bool is_long) const {
  const Lane* lane = this->FindLane(service, is_long);
  if (lane == nullptr || lane->size == 0) {
    return std::nullopt;
  }
  const ClassQueue* best = nullptr;
  std::int64_t best_rank = 0;
  for (const ClassQueue& class_queue : lane->classes) {
    const auto oldest = this->OldestIn(class_queue);
    if (oldest && (best == nullptr || this->RankOf(*oldest) < best_rank)) {
      best = &class_queue;
      best_rank = this->RankOf(*oldest);
    }
  }
  return this->NextInClass(*best);
}

std::optional<QueueItem> RequestQueue::NextForService(
    const ServiceId& service) const {
  const auto short_item = this->NextInLane(service, false);
  const auto long_item = this->NextInLane(service, true);
  if (!short_item || !long_item) {
    return short_item ? short_item : long_item;
  }
  return this->RankOf(*long_item) < this->RankOf(*short_item) ? long_item
                                                              : short_item;
}

void RequestQueue::Pop(const QueueItem& item, Instant now) {
  Lane& lane = this->LaneOf(item.service, item.is_long);
  ClassQueue& class_queue = lane.classes[IndexOf(item.request_class)];
  AccountQueue& account = class_queue.accounts[item.account];
  class_queue.virtual_time =
      std::max(class_queue.virtual_time, account.virtual_time);
  // Long requests occupy a slot for longer and are charged accordingly.
  account.virtual_time += std::max<std::int64_t>(1, item.predicted_ms) *
                          kVirtualTimeScale / this->WeightOf(item.account);
  this->Erase(item.request_id);
  lane.rate.OnDeparture(now, lane.size > 0);
}

std::optional<RequestId> RequestQueue::NewestBelow(
    RequestClass request_class) const {
  for (std::size_t i = kClasses - 1; i > IndexOf(request_class); --i) {
    if (!this->by_class[i].empty()) {
      return this->by_class[i].rbegin()->second;
    }
  }
  return std::nullopt;
}

std::optional<std::int64_t> RequestQueue::EstimateWaitMs(const QueueItem& item,
                                                         Instant now) const {
  const Lane* lane = this->FindLane(item.service, item.is_long);
  if (lane == nullptr || lane->size == 0) {
    return 0;
  }
  return lane->rate.EstimateMs(this->CountAhead(*lane, item) + 1, now);
}

std::vector<ServiceId> RequestQueue::Services() const {
  std::vector<ServiceId> names;
  for (const auto& [service, lanes] : this->services) {
    if (lanes.short_lane.size + lanes.long_lane.size > 0) {
      names.push_back(service);
    }
  }
  return names;
}

std::int64_t RequestQueue::WeightOf(const AccountId& account) const {
  const auto found = this->weights.find(account);
  return found == this->weights.end()
             ? 1
             : std::max<std::int64_t>(1, found->second);
}

const RequestQueue::Lane* RequestQueue::FindLane(const ServiceId& service,
                                                 bool is_long) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return nullptr;
  }
  return is_long ? &found->second.long_lane : &found->second.short_lane;
}

RequestQueue::Lane& RequestQueue::LaneOf(const ServiceId& service,
                                         bool is_long) {
  ServiceLanes& lanes = this->services[service];
  return is_long ? lanes.long_lane : lanes.short_lane;
}

std::int64_t RequestQueue::RankOf(const QueueItem& item) const {
  return item.enqueued_at.ms + kClassPenaltyMs[IndexOf(item.request_class)] +
         (item.is_long ? kLongPenaltyMs : 0);
}

std::optional<QueueItem> RequestQueue::OldestIn(
    const ClassQueue& class_queue) const {
  std::optional<QueueItem> oldest;
  for (const auto& [account, account_queue] : class_queue.accounts) {
    if (account_queue.request_ids.empty()) {
      continue;
    }
    const QueueItem& item =
        this->entries.at(account_queue.request_ids.begin()->second).item;
    if (!oldest || item.enqueued_at < oldest->enqueued_at) {
      oldest = item;
    }
  }
  return oldest;
}

std::optional<QueueItem> RequestQueue::NextInClass(
    const ClassQueue& class_queue) const {
  const AccountQueue* best = nullptr;
  for (const auto& [account, account_queue] : class_queue.accounts) {
    if (!account_queue.request_ids.empty() &&
        (best == nullptr || account_queue.virtual_time < best->virtual_time)) {
      best = &account_queue;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return this->entries.at(best->request_ids.begin()->second).item;
}

// Under weighted fair queueing an item waits for its account's queued items
// divided by the account's share of its class, but for no more than all items
// of the class, and for all items of higher classes.
std::size_t RequestQueue::CountAhead(const Lane& lane,
                                     const QueueItem& item) const {
  const std::size_t index = IndexOf(item.request_class);
  std::size_t higher = 0;
  for (std::size_t i = 0; i < index; ++i) {
    higher += lane.classes[i].size;
  }
  const ClassQueue& class_queue = lane.classes[index];
  std::int64_t own = 0;
  std::int64_t total_weight = 0;
  for (const auto& [account, account_queue] : class_queue.accounts) {
    if (account == item.account) {
      own = static_cast<std::int64_t>(account_queue.request_ids.size());
    } else if (!account_queue.request_ids.empty()) {
      total_weight += this->WeightOf(account);
    }
  }
  const std::int64_t weight = this->WeightOf(item.account);
  const std::int64_t by_share = (own + 1) * (total_weight + weight) / weight;
  return higher +
         std::min(class_queue.size, static_cast<std::size_t>(by_share));
}

void RequestQueue::Erase(RequestId request_id) {
  const auto found = this->entries.find(request_id);
  const Entry& entry = found->second;
  const std::size_t index = IndexOf(entry.item.request_class);
  Lane& lane = this->LaneOf(entry.item.service, entry.item.is_long);
  ClassQueue& class_queue = lane.classes[index];
  AccountQueue& account = class_queue.accounts[entry.item.account];
  account.request_ids.erase(entry.sequence);
  --class_queue.size;
  --lane.size;
  if (class_queue.size == 0) {
    // Past service does not count against accounts once the queue is empty.
    class_queue.accounts.clear();
    class_queue.virtual_time = 0;
  }
  this->by_class[index].erase(entry.sequence);
  this->entries.erase(found);
}

}  // namespace carobrill::requests
