#ifndef PACKAGES_REQUESTS_REQUEST_QUEUE_H_
#define PACKAGES_REQUESTS_REQUEST_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/time.h"
#include "packages/requests/request_table.h"
#include "packages/requests/request_types.h"
#include "packages/requests/service_rate.h"

namespace carobrill::requests {

/// A piece of work that waits for a slot.
struct QueueItem {
  RequestId request_id = 0;
  ServiceId service;
  AccountId account;
  RequestClass request_class = RequestClass::kNormal;
  bool is_long = false;
  Instant enqueued_at;
  std::int64_t predicted_ms = 0;
  /// Its place among work of its account; 0 for the last.
  std::uint64_t sequence = 0;
};

/// Work that waits for a slot. Each service has one lane for short and one for
/// long work. In a lane the order is by class with aging; within a class
/// accounts take turns by weight; within an account it is first in, first out.
class RequestQueue {
 public:
  /// Weights of accounts; an account without one weighs 1.
  void SetWeights(const std::map<AccountId, std::uint32_t>& account_weights);

  /// Adds `item` and returns its sequence.
  std::uint64_t Push(const QueueItem& item);

  /// Removes `work`, for example because its callers are gone.
  void Remove(RequestId request_id);

  bool Contains(RequestId request_id) const {
    return this->entries.contains(request_id);
  }

  /// The work of a lane that is next, if any.
  std::optional<QueueItem> NextInLane(const ServiceId& service,
                                      bool is_long) const;

  /// Which of two lanes' next pieces of work goes first; null when both are
  /// empty. Long work goes first only when it has waited much longer.
  std::optional<QueueItem> NextForService(const ServiceId& service) const;

  /// Removes the work that Next returned; it leaves to be served.
  void Pop(const QueueItem& item, Instant now);

  /// The newest work of the lowest class below `request_class`, if any.
  std::optional<RequestId> NewestBelow(RequestClass request_class) const;

  /// How long `item`, if pushed now, would wait at the measured service rate;
  /// nothing when the rate is not known.
  std::optional<std::int64_t> EstimateWaitMs(const QueueItem& item,
                                             Instant now) const;

  /// Services that have work waiting.
  std::vector<ServiceId> Services() const;

  std::size_t Size() const { return this->entries.size(); }

 private:
  static constexpr std::size_t kClasses = 3;

  struct AccountQueue {
    std::map<std::uint64_t, RequestId> request_ids;
    /// Service received, divided by the weight.
    std::int64_t virtual_time = 0;
  };

  struct ClassQueue {
    std::map<AccountId, AccountQueue> accounts;
    std::size_t size = 0;
    /// `used` of the account served last; one that returns starts here.
    std::int64_t virtual_time = 0;
  };

  struct Lane {
    std::array<ClassQueue, kClasses> classes;
    ServiceRate rate;
    std::size_t size = 0;
  };

  struct ServiceLanes {
    Lane short_lane;
    Lane long_lane;
  };

  struct Entry {
    QueueItem item;
    std::uint64_t sequence = 0;
  };

  std::int64_t WeightOf(const AccountId& account) const;
  const Lane* FindLane(const ServiceId& service, bool is_long) const;
  Lane& LaneOf(const ServiceId& service, bool is_long);
  std::int64_t RankOf(const QueueItem& item) const;
  std::optional<QueueItem> OldestIn(const ClassQueue& lane) const;
  std::optional<QueueItem> NextInClass(const ClassQueue& lane) const;
  std::size_t CountAhead(const Lane& lane, const QueueItem& item) const;
  void Erase(RequestId request_id);
  void RemoveIfNeverServed(const ServiceId& service);

  std::map<AccountId, std::uint32_t> weights;
  std::unordered_map<RequestId, Entry> entries;
  std::map<ServiceId, ServiceLanes> services;
  std::array<std::map<std::uint64_t, RequestId>, kClasses> by_class;
  std::uint64_t next_sequence = 1;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_REQUEST_QUEUE_H_
