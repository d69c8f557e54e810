#include "packages/requests/router.h"

#include <algorithm>
#include <utility>

namespace carobrill::requests {
namespace {

// An endpoint without a free slot or connection is skipped for about the run
// time of a short request.
constexpr std::int64_t kFullBackoffMs = 20;

// A leaving endpoint is marked in its next announcement; a missing lease or an
// outdated incarnation is corrected after one or two announcements.
constexpr std::int64_t kUnavailableBackoffMs = 1'000;
constexpr std::int64_t kNoLeaseBackoffMs = 300;

// A load report older than this is unreliable about the load of other entries.
// An entry with nothing in flight at the endpoint may then probe it with one
// request, so that a stale "full" does not leave slots idle until the next
// announcement.
constexpr std::int64_t kReportMaxAgeMs = 50;

std::int64_t BackoffMsFor(rpc::Refusal refusal) {
  switch (refusal) {
    case rpc::REFUSAL_NO_SLOT:
    case rpc::REFUSAL_NO_CONNECTION:
      return kFullBackoffMs;
    case rpc::REFUSAL_NO_LEASE:
      return kNoLeaseBackoffMs;
    case rpc::REFUSAL_LEAVING:
    case rpc::REFUSAL_WRONG_INCARNATION:
      return kUnavailableBackoffMs;
    default:
      return 0;
  }
}

std::uint32_t SubtractOrZero(std::uint32_t value, std::uint32_t part) {
  return value > part ? value - part : 0;
}

}  // namespace

Router::Router(std::uint64_t seed) : random(seed) {}

void Router::Update(const std::vector<ServingEndpoint>& reported, Instant now) {
  for (auto& [id, load] : this->endpoints) {
    load.listed = false;
  }
  this->by_service.clear();
  this->by_agent.clear();
  for (const ServingEndpoint& info : reported) {
    EndpointLoad& load = this->endpoints[info.endpoint];
    const bool replaced = load.info.agent_incarnation != info.agent_incarnation;
    if (replaced || info.reported_at > load.load_reported_at) {
      load.own_in_report = load.in_flight;
      load.own_long_in_report = load.long_in_flight;
      load.load_reported_at = info.reported_at;
      load.info = info;
    } else {
      // A reply has reported a more recent load than this announcement.
      const ServingEndpoint previous = std::exchange(load.info, info);
      load.info.slots_used = previous.slots_used;
      load.info.long_used = previous.long_used;
      load.info.connections_used = previous.connections_used;
    }
    if (replaced) {
      load.backoff_until = now;
    }
    load.listed = true;
    this->by_service[info.service].push_back(info.endpoint);
    this->by_agent[info.agent] = info.endpoint;
  }
  std::erase_if(this->endpoints, [](const auto& entry) {
    return !entry.second.listed && entry.second.in_flight == 0;
  });
}

std::optional<ServingEndpoint> Router::Pick(const ServiceId& service,
                                            bool is_long,
                                            std::uint32_t reserved_short_slots,
                                            const EndpointId& avoid,
                                            bool must_avoid,
                                            Instant now) {
  const auto found = this->by_service.find(service);
  if (found == this->by_service.end()) {
    return std::nullopt;
  }
  std::vector<const EndpointLoad*> candidates;
  const EndpointLoad* avoided = nullptr;
  for (const EndpointId& id : found->second) {
    const EndpointLoad& load = this->endpoints.at(id);
    if (!HasCapacity(load, is_long, reserved_short_slots, now)) {
      continue;
    }
    if (id == avoid) {
      avoided = &load;
    } else {
      candidates.push_back(&load);
    }
  }
  if (candidates.empty()) {
    if (avoided == nullptr || must_avoid) {
      return std::nullopt;
    }
    return avoided->info;
  }
  std::uniform_int_distribution<std::size_t> random_index(
      0, candidates.size() - 1);
  const EndpointLoad* first = candidates[random_index(this->random)];
  const EndpointLoad* second = candidates[random_index(this->random)];
  return IsLessLoaded(*second, *first) ? second->info : first->info;
}

void Router::Reserve(const EndpointId& endpoint, bool is_long) {
  EndpointLoad& load = this->endpoints[endpoint];
  ++load.in_flight;
  load.long_in_flight += is_long ? 1 : 0;
}

void Router::Release(const EndpointId& endpoint, bool is_long) {
  const auto found = this->endpoints.find(endpoint);
  if (found == this->endpoints.end()) {
    return;
  }
  EndpointLoad& load = found->second;
  load.in_flight = SubtractOrZero(load.in_flight, 1);
  // The reported load included this request, so it is reduced as well.
  if (load.own_in_report > load.in_flight) {
    load.own_in_report = load.in_flight;
    load.info.slots_used = SubtractOrZero(load.info.slots_used, 1);
    load.info.connections_used = SubtractOrZero(load.info.connections_used, 1);
  }
  if (is_long) {
    load.long_in_flight = SubtractOrZero(load.long_in_flight, 1);
    if (load.own_long_in_report > load.long_in_flight) {
      load.own_long_in_report = load.long_in_flight;
      load.info.long_used = SubtractOrZero(load.info.long_used, 1);
    }
  }
  if (!load.listed && load.in_flight == 0) {
    this->endpoints.erase(found);
  }
}

void Router::MarkLong(const EndpointId& endpoint) {
  const auto found = this->endpoints.find(endpoint);
  if (found != this->endpoints.end()) {
    ++found->second.long_in_flight;
  }
}

void Router::OnLoad(const EndpointId& endpoint,
                    const rpc::ServiceLoad& load,
                    Instant now) {
  const auto found = this->endpoints.find(endpoint);
  if (found == this->endpoints.end() || load.slots() == 0 ||
      load.endpoint() != endpoint.value) {
    return;
  }
  EndpointLoad& updated = found->second;
  updated.info.slots_used = load.slots_used();
  updated.info.long_used = load.long_used();
  updated.info.connections_used = load.connections_used();
  updated.own_in_report = updated.in_flight;
  updated.own_long_in_report = updated.long_in_flight;
  updated.load_reported_at = now;
}

void Router::OnRefusal(const EndpointId& endpoint,
                       rpc::Refusal refusal,
                       Instant now) {
  const auto found = this->endpoints.find(endpoint);
  if (found != this->endpoints.end()) {
    found->second.backoff_until = now.After(BackoffMsFor(refusal));
  }
}

bool Router::HasRoutableEndpoint(const ServiceId& service) const {
  const auto found = this->by_service.find(service);
  return found != this->by_service.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [this](const EndpointId& id) {
                       return this->endpoints.at(id).info.routable;
                     });
}

bool Router::IsRoutable(const ServingEndpoint& target) const {
  const auto found = this->endpoints.find(target.endpoint);
  return found != this->endpoints.end() && found->second.listed &&
         found->second.info.routable &&
         found->second.info.agent == target.agent &&
         found->second.info.agent_incarnation == target.agent_incarnation;
}

const ServingEndpoint* Router::FindAgent(const InstanceId& agent) const {
  const auto found = this->by_agent.find(agent);
  return found == this->by_agent.end()
             ? nullptr
             : &this->endpoints.at(found->second).info;
}

Instant Router::NextRetryAt(Instant now) const {
  Instant next = Instant::Never();
  for (const auto& [id, load] : this->endpoints) {
    if (load.backoff_until > now) {
      next = std::min(next, load.backoff_until);
    }
    const Instant stale = load.load_reported_at.After(kReportMaxAgeMs);
    if (load.listed && load.in_flight == 0 && stale > now) {
      next = std::min(next, stale);
    }
  }
  return next;
}

std::uint32_t Router::SlotsUsedByOthers(const EndpointLoad& load) {
  return SubtractOrZero(load.info.slots_used, load.own_in_report);
}

std::uint32_t Router::LongSlotsUsedByOthers(const EndpointLoad& load) {
  return SubtractOrZero(load.info.long_used, load.own_long_in_report);
}

bool Router::HasCapacity(const EndpointLoad& load,
                         bool is_long,
                         std::uint32_t reserved_short_slots,
                         Instant now) {
  const ServingEndpoint& info = load.info;
  if (!info.routable || load.backoff_until > now || info.slots == 0) {
    return false;
  }
  if (load.in_flight == 0 &&
      load.load_reported_at.After(kReportMaxAgeMs) <= now) {
    return true;
  }
  const std::uint32_t others = SlotsUsedByOthers(load);
  const std::uint32_t other_connections =
      SubtractOrZero(info.connections_used, load.own_in_report);
  if (load.in_flight + others >= info.slots ||
      (info.connections > 0 &&
       load.in_flight + other_connections >= info.connections)) {
    return false;
  }
  const std::uint32_t long_slots = std::max<std::uint32_t>(
      1, SubtractOrZero(info.slots, reserved_short_slots));
  return !is_long ||
         load.long_in_flight + LongSlotsUsedByOthers(load) < long_slots;
}

// Compares load per slot without division.
bool Router::IsLessLoaded(const EndpointLoad& a, const EndpointLoad& b) {
  const std::uint64_t load_a = a.in_flight + SlotsUsedByOthers(a);
  const std::uint64_t load_b = b.in_flight + SlotsUsedByOthers(b);
  return load_a * b.info.slots < load_b * a.info.slots;
}

}  // namespace carobrill::requests
