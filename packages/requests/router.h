#ifndef PACKAGES_REQUESTS_ROUTER_H_
#define PACKAGES_REQUESTS_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/serving_endpoint.h"
#include "packages/core/time.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::requests {

/// Chooses endpoints for requests: the less loaded of two random endpoints with
/// free capacity. The load is what this entry has in flight plus what other
/// entries have according to the last report.
class Router {
 public:
  explicit Router(std::uint64_t seed);

  /// Replaces the known endpoints. A load that a reply reported later than the
  /// announcement is kept.
  void Update(const std::vector<ServingEndpoint>& endpoints, Instant now);

  /// Returns an endpoint of `service` with capacity for a short or long
  /// request, if any. `reserved_short_slots` slots are reserved for short
  /// requests. `avoid` is chosen only if no other endpoint has capacity, and
  /// never if `must_avoid` is set.
  std::optional<ServingEndpoint> Pick(const ServiceId& service,
                                      bool is_long,
                                      std::uint32_t reserved_short_slots,
                                      const EndpointId& avoid,
                                      bool must_avoid,
                                      Instant now);

  /// Reserves a slot of `endpoint`.
  void Reserve(const EndpointId& endpoint, bool is_long);

  /// Releases a reserved slot.
  void Release(const EndpointId& endpoint, bool is_long);

  /// Counts a reserved slot as long, once its request runs longer than
  /// expected.
  void MarkLong(const EndpointId& endpoint);

  /// Handles the load reported in a reply.
  void OnLoad(const EndpointId& endpoint,
              const rpc::ServiceLoad& load,
              Instant now);

  /// Skips the endpoint for a time that depends on the refusal.
  void OnRefusal(const EndpointId& endpoint, rpc::Refusal refusal, Instant now);

  /// True if the service has an endpoint that may receive requests, full or
  /// not.
  bool HasRoutableEndpoint(const ServiceId& service) const;

  /// True if `target` is still served by the same agent and may receive
  /// requests.
  bool IsRoutable(const ServingEndpoint& target) const;

  /// Returns the endpoint of `agent`, or null if the agent is unknown.
  const ServingEndpoint* FindAgent(const InstanceId& agent) const;

  /// When a skipped endpoint can be tried again, or a load report becomes
  /// stale.
  Instant NextRetryAt(Instant now) const;

 private:
  struct EndpointLoad {
    ServingEndpoint info;
    bool listed = false;
    std::uint32_t in_flight = 0;
    std::uint32_t long_in_flight = 0;
    /// Part of the reported load that was caused by this entry.
    std::uint32_t own_in_report = 0;
    std::uint32_t own_long_in_report = 0;
    Instant load_reported_at;
    Instant backoff_until;
  };

  static std::uint32_t SlotsUsedByOthers(const EndpointLoad& load);
  static std::uint32_t LongSlotsUsedByOthers(const EndpointLoad& load);
  static bool HasCapacity(const EndpointLoad& load,
                          bool is_long,
                          std::uint32_t reserved_short_slots,
                          Instant now);
  static bool IsLessLoaded(const EndpointLoad& a, const EndpointLoad& b);

  std::map<EndpointId, EndpointLoad> endpoints;
  std::map<ServiceId, std::vector<EndpointId>> by_service;
  std::map<InstanceId, EndpointId> by_agent;
  std::mt19937_64 random;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_ROUTER_H_
