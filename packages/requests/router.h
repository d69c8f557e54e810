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

/// Chooses endpoints for requests: the less loaded of two random ones among
/// those with room. Load is what this entry has in flight plus what others
/// have, as last reported.
class Router {
 public:
  explicit Router(std::uint64_t seed);

  /// Replaces what is known about endpoints.
  void Update(const std::vector<ServingEndpoint>& endpoints, Instant now);

  /// An endpoint of `service` with room for short or long work, or nothing.
  /// `short_slots` are kept free of long work. `avoid` is chosen only when no
  /// other has room, and never when `must_avoid` is set.
  std::optional<ServingEndpoint> Pick(const ServiceId& service,
                                      bool is_long,
                                      std::uint32_t short_slots,
                                      const EndpointId& avoid,
                                      bool must_avoid,
                                      Instant now);

  /// Takes a slot of `endpoint` in this entry's books.
  void Reserve(const EndpointId& endpoint, bool is_long);

  /// Gives a slot back.
  void Release(const EndpointId& endpoint, bool is_long);

  /// Work that was taken for short turns out to be long.
  void MarkLong(const EndpointId& endpoint);

  /// Takes in the load that a reply carried.
  void OnLoad(const EndpointId& endpoint,
              const rpc::ServiceLoad& load,
              Instant now);

  /// Passes the endpoint over for a while that depends on the refusal.
  void OnRefusal(const EndpointId& endpoint, rpc::Refusal refusal, Instant now);

  /// True when the service has an endpoint that may receive work, full or not.
  bool HasRoutableEndpoint(const ServiceId& service) const;

  /// True when `target` is still served by the same agent and may receive work.
  bool IsRoutable(const ServingEndpoint& target) const;

  /// What is known about the agent's endpoint, or null.
  const ServingEndpoint* FindAgent(const InstanceId& agent) const;

  /// When an endpoint that is passed over may be tried again.
  Instant NextRetryAt(Instant now) const;

 private:
  struct EndpointLoad {
    ServingEndpoint info;
    bool listed = false;
    std::uint32_t in_flight = 0;
    std::uint32_t long_in_flight = 0;
    /// Part of the reported load that this entry had caused.
    std::uint32_t own_in_report = 0;
    std::uint32_t own_long_in_report = 0;
    Instant load_reported_at;
    Instant backoff_until;
  };

  static std::uint32_t SlotsUsedByOthers(const EndpointLoad& load);
  static std::uint32_t LongSlotsUsedByOthers(const EndpointLoad& load);
  static bool HasCapacity(const EndpointLoad& load,
                          bool is_long,
                          std::uint32_t short_slots,
                          Instant now);
  static bool IsLessLoaded(const EndpointLoad& a, const EndpointLoad& b);

  std::map<EndpointId, EndpointLoad> endpoints;
  std::map<ServiceId, std::vector<EndpointId>> by_service;
  std::map<InstanceId, EndpointId> by_agent;
  std::mt19937_64 random;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_ROUTER_H_
