#include "packages/requests/claim_resolver.h"

#include <algorithm>
#include <string>

#include "packages/core/digest.h"

namespace carobrill::requests {
namespace {

// Limits the calls in flight after an entry with many open claims has failed.
constexpr std::size_t kMaxFencesInFlight = 64;

// An answer truncated this many times is not expected to arrive whole.
constexpr std::uint32_t kMaxTruncatedAnswers = 3;

}  // namespace

ClaimResolver::ClaimResolver(const DispatcherSettings& settings)
    : settings(settings) {}

void ClaimResolver::Start(const ClaimKey& key,
                          const Claim& claim,
                          Instant now) {
  const auto found = this->resolutions.find(key);
  if (found != this->resolutions.end()) {
    if (found->second.offset == claim.offset) {
      return;
    }
    this->Stop(key);
  }
  Resolution resolution;
  resolution.offset = claim.offset;
  resolution.agent = claim.agent;
  resolution.agent_incarnation = claim.agent_incarnation;
  resolution.next_at = now;
  this->resolutions.emplace(key, resolution);
}

void ClaimResolver::Stop(const ClaimKey& key) {
  const auto found = this->resolutions.find(key);
  if (found != this->resolutions.end()) {
    this->fences.erase(found->second.fence);
    this->resolutions.erase(found);
  }
}

ClaimResolver::DueActions ClaimResolver::Poll(const Router& router,
                                              Instant now) {
  DueActions due;
  for (auto& [key, resolution] : this->resolutions) {
    if (resolution.fence != 0 || resolution.next_at > now) {
      continue;
    }
    const ServingEndpoint* endpoint = router.FindAgent(resolution.agent);
    if (endpoint == nullptr) {
      // An unreachable agent may only be partitioned, so it is presumed dead
      // after a timeout.
      resolution.presumed_dead_at =
          std::min(resolution.presumed_dead_at,
                   now.After(this->settings.agent_dead_after_ms));
      resolution.next_at =
          std::min(resolution.presumed_dead_at,
                   now.After(this->settings.fence_interval_ms));
    } else {
      resolution.presumed_dead_at = Instant::Never();
    }
    const bool replaced =
        endpoint != nullptr &&
        endpoint->agent_incarnation > resolution.agent_incarnation;
    if (replaced || resolution.presumed_dead_at <= now) {
      due.resolved.push_back({key, resolution.offset, Settlement{}});
      continue;
    }
    if (endpoint != nullptr && this->fences.size() < kMaxFencesInFlight) {
      due.fences.push_back(this->MakeFence(resolution, *endpoint, now));
      this->fences.emplace(resolution.fence, key);
    } else if (endpoint != nullptr) {
      resolution.next_at = now.After(this->settings.fence_interval_ms);
    }
  }
  return due;
}

std::optional<ResolvedClaim> ClaimResolver::OnReply(
    std::uint64_t fence,
    const rpc::FenceClaimReply& reply,
    Instant now) {
  const auto found = this->fences.find(fence);
  if (found == this->fences.end()) {
    return std::nullopt;
  }
  const ClaimKey key = found->second;
  Resolution& resolution = this->resolutions.at(key);
  this->OnFailed(fence, now);
  if (!this->IsFromClaimAgent(reply, resolution)) {
    return std::nullopt;
  }
  const auto settlement = this->SettlementFrom(reply, resolution);
  if (!settlement) {
    return std::nullopt;
  }
  return ResolvedClaim{key, resolution.offset, *settlement};
}

void ClaimResolver::OnFailed(std::uint64_t fence, Instant now) {
  const auto found = this->fences.find(fence);
  if (found == this->fences.end()) {
    return;
  }
  Resolution& resolution = this->resolutions.at(found->second);
  resolution.fence = 0;
  resolution.next_at = now.After(this->settings.fence_interval_ms);
  this->fences.erase(found);
}

Instant ClaimResolver::NextDueAt() const {
  Instant next = Instant::Never();
  for (const auto& [key, resolution] : this->resolutions) {
    if (resolution.fence == 0) {
      next = std::min(next, resolution.next_at);
    }
  }
  return next;
}

bool ClaimResolver::IsFromClaimAgent(const rpc::FenceClaimReply& reply,
                                     const Resolution& resolution) const {
  const rpc::Peers& peers = reply.peers();
  return peers.sender() == resolution.agent.value &&
         peers.sender_incarnation() == resolution.agent_incarnation &&
         peers.receiver() == this->settings.self.value &&
         peers.receiver_incarnation() == this->settings.self_incarnation &&
         reply.claim_offset() == resolution.offset;
}

std::optional<Settlement> ClaimResolver::SettlementFrom(
    const rpc::FenceClaimReply& reply,
    Resolution& resolution) const {
  if (reply.running() || reply.ran() == rpc::RAN_UNSPECIFIED) {
    return std::nullopt;
  }
  if (reply.ran() == rpc::RAN_NO) {
    return Settlement{records::CLAIM_OUTCOME_NOT_RUN};
  }
  if (reply.ran() != rpc::RAN_YES) {
    return Settlement{records::CLAIM_OUTCOME_UNKNOWN};
  }
  const bool complete = reply.answer().size() == reply.answer_length() &&
                        reply.answer_digest() == DigestOf(reply.answer());
  if (complete) {
    return Settlement{records::CLAIM_OUTCOME_COMPLETED, reply.answer()};
  }
  if (++resolution.truncated_answers < kMaxTruncatedAnswers) {
    return std::nullopt;
  }
  return Settlement{records::CLAIM_OUTCOME_COMPLETED, "", true};
}

SendFence ClaimResolver::MakeFence(Resolution& resolution,
                                   const ServingEndpoint& endpoint,
                                   Instant now) {
  resolution.fence = this->next_fence++;
  SendFence fence;
  fence.fence = resolution.fence;
  fence.agent = resolution.agent;
  fence.address = endpoint.address;
  fence.deadline = now.After(this->settings.fence_timeout_ms);
  rpc::Peers& peers = *fence.request.mutable_peers();
  peers.set_sender(this->settings.self.value);
  peers.set_sender_incarnation(this->settings.self_incarnation);
  peers.set_receiver(resolution.agent.value);
  peers.set_receiver_incarnation(resolution.agent_incarnation);
  fence.request.set_claim_offset(resolution.offset);
  return fence;
}

}  // namespace carobrill::requests
