#ifndef PACKAGES_REQUESTS_CLAIM_RESOLVER_H_
#define PACKAGES_REQUESTS_CLAIM_RESOLVER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/time.h"
#include "packages/requests/action.h"
#include "packages/requests/claim_table.h"
#include "packages/requests/dispatcher_settings.h"
#include "packages/requests/pending_settlements.h"
#include "packages/requests/request_types.h"
#include "packages/requests/router.h"
#include "packages/rpc/control.pb.h"

namespace carobrill::requests {

/// A claim whose outcome has been determined.
struct ResolvedClaim {
  ClaimKey key;
  Offset offset = 0;
  Settlement settlement;
};

/// Determines the outcome of claims that were, or may have been, sent and got
/// no usable reply. Asks the agent named by the claim until the agent
/// guarantees that it will refuse the claim, reports how it ended, or is gone.
class ClaimResolver {
 public:
  explicit ClaimResolver(const DispatcherSettings& settings);

  /// Starts resolving `claim`; no effect if it is already being resolved.
  void Start(const ClaimKey& key, const Claim& claim, Instant now);

  /// Stops resolving `key`, for example because its claim has been settled.
  void Stop(const ClaimKey& key);

  bool IsResolving(const ClaimKey& key) const {
    return this->resolutions.contains(key);
  }

  /// Calls to make to agents, and claims resolved because their agent is gone.
  struct DueActions {
    std::vector<SendFence> fences;
    std::vector<ResolvedClaim> resolved;
  };
  DueActions Poll(const Router& router, Instant now);

  /// Handles a reply; returns the resolved claim if its outcome is now known.
  std::optional<ResolvedClaim> OnReply(std::uint64_t fence,
                                       const rpc::FenceClaimReply& reply,
                                       Instant now);

  /// The call `fence` failed; it is retried later.
  void OnFailed(std::uint64_t fence, Instant now);

  Instant NextDueAt() const;

  bool empty() const { return this->resolutions.empty(); }

 private:
  struct Resolution {
    Offset offset = 0;
    InstanceId agent;
    Incarnation agent_incarnation = 0;
    Instant next_at;
    /// Id of the call in flight, or 0.
    std::uint64_t fence = 0;
    /// When the agent is presumed dead unless it reappears.
    Instant presumed_dead_at = Instant::Never();
    std::uint32_t truncated_answers = 0;
  };

  bool IsFromClaimAgent(const rpc::FenceClaimReply& reply,
                        const Resolution& resolution) const;
  std::optional<Settlement> SettlementFrom(const rpc::FenceClaimReply& reply,
                                           Resolution& resolution) const;
  SendFence MakeFence(Resolution& resolution,
                      const ServingEndpoint& endpoint,
                      Instant now);

  DispatcherSettings settings;
  std::map<ClaimKey, Resolution> resolutions;
  std::map<std::uint64_t, ClaimKey> fences;
  std::uint64_t next_fence = 1;
};

}  // namespace carobrill::requests

#endif  // PACKAGES_REQUESTS_CLAIM_RESOLVER_H_
