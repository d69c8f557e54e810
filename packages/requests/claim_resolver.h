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

/// A claim whose outcome has been found out.
struct ResolvedClaim {
  ClaimKey key;
  Offset offset = 0;
  Settlement settlement;
};

/// Finds out what became of claims that were, or may have been, sent and from
/// which no reply came: asks the agent that the claim names until it promises
/// to refuse the claim, or says how it ended, or is gone.
class ClaimResolver {
 public:
  explicit ClaimResolver(const DispatcherSettings& settings);

  /// Starts to resolve `claim`; without effect when that is under way.
  void Start(const ClaimKey& key, const Claim& claim, Instant now);

  /// Gives up `key`, for example because its claim has been settled.
  void Stop(const ClaimKey& key);

  bool IsResolving(const ClaimKey& key) const {
    return this->resolutions.contains(key);
  }

  /// What is due: calls to agents, and claims whose agent is gone.
  struct DueActions {
    std::vector<SendFence> fences;
    std::vector<ResolvedClaim> resolved;
  };
  DueActions Poll(const Router& router, Instant now);

  /// Takes in a reply; returns the outcome when it is known now.
  std::optional<ResolvedClaim> OnReply(std::uint64_t fence,
                                       const rpc::FenceClaimReply& reply,
                                       Instant now);

  /// The call of `fence` failed; it is made again later.
  void OnFailed(std::uint64_t fence, Instant now);

  Instant NextDueAt() const;

  bool empty() const { return this->resolutions.empty(); }

 private:
  struct Resolution {
    Offset offset = 0;
    InstanceId agent;
    Incarnation agent_incarnation = 0;
    Instant next_at;
    /// Id of the call under way, or 0.
    std::uint64_t fence = 0;
    /// When the agent is taken for gone unless it is heard again.
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
