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

/// A request that waits for a slot.
struct QueueItem {
  RequestId request_id = 0;
  ServiceId service;
  AccountId account;
  RequestClass request_class = RequestClass::kNormal;
  bool is_long = false;
  Instant enqueued_at;
  std::int64_t predicted_ms = 0;
  /// Position in the queue of its account; 0 to append it.
  std::uint64_t sequence = 0;
};

/// Requests that wait for a slot. Each service has one lane for short and one
/// for long requests. A lane orders requests by class with aging, accounts of a
/// class by weighted fair queueing, and requests of an account first in, first
/// out.
class RequestQueue {
 public:
  /// Sets the weights of accounts; an account without a weight has weight 1.
  void SetWeights(const std::map<AccountId, std::uint32_t>& account_weights);

  /// Adds `item` and returns its sequence number.
  std::uint64_t Push(const QueueItem& item);

  /// Removes a request, for example because its callers are gone.
  void Remove(RequestId request_id);

  bool Contains(RequestId request_id) const {
    return this->entries.contains(request_id);
  }

  /// The next request of a lane, if any.
  std::optional<QueueItem> NextInLane(const ServiceId& service,
                                      bool is_long) const;

  /// The next request of a service across both lanes, if any. A long request
  /// goes first only if it has waited much longer.
  std::optional<QueueItem> NextForService(const ServiceId& service) const;

  /// Removes `item`, the result of NextInLane or NextForService, and accounts
  /// for its service.
  void Pop(const QueueItem& item, Instant now);

  /// The newest request of the lowest non-empty class below `request_class`, if
  /// any.
  std::optional<RequestId> NewestBelow(RequestClass request_class) const;

  /// Estimated wait of `item` if it were pushed now, from the measured service
  /// rate; nothing if the rate is not known.
  std::optional<std::int64_t> EstimateWaitMs(const QueueItem& item,
                                             Instant now) const;

  /// Services with queued requests.
  std::vector<ServiceId> Services() const;

  std::size_t Size() const { return this->entries.size(); }

 private:
  static constexpr std::size_t kClasses = 3;

  struct AccountQueue {
    std::map<std::uint64_t, RequestId> request_ids;
    /// Service received, divided by the account's weight.
    std::int64_t virtual_time = 0;
  };

  struct ClassQueue {
    std::map<AccountId, AccountQueue> accounts;
    std::size_t size = 0;
    /// Virtual time of the account served last; the starting point of accounts
    /// that become active.
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
  std::optional<QueueItem> OldestIn(const ClassQueue& class_queue) const;
  std::optional<QueueItem> NextInClass(const ClassQueue& class_queue) const;
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
