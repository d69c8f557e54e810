#include "tests/membership/network.h"

#include <algorithm>

namespace carobrill::membership {
namespace {

constexpr std::int64_t kStepMs = 50;
constexpr std::int64_t kDigestMs = 300;

}  // namespace

Network::Network(std::size_t entry_count,
                 std::size_t agent_count,
                 std::size_t endpoint_count,
                 std::uint64_t seed)
    : entries(entry_count), agents(agent_count), random(seed) {
  for (std::size_t i = 0; i < entry_count; ++i) {
    this->addresses.push_back(AddressOf(i));
    this->entries[i].id = "entry-" + std::to_string(i);
    this->StartEntry(i);
  }
  for (std::size_t i = 0; i < agent_count; ++i) {
    this->agents[i].id = "agent-" + std::to_string(i);
    this->agents[i].has_endpoint = i < endpoint_count;
    this->StartAgent(this->agents[i]);
  }
}

void Network::Run(std::int64_t ms) {
  const Instant until = this->now.After(ms);
  while (this->now < until) {
    this->now = this->now.After(kStepMs);
    for (Agent& agent : this->agents) {
      if (agent.running) {
        this->Announce(agent);
      }
    }
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      if (!this->entries[i].running) {
        continue;
      }
      this->entries[i].directory->OnTimer(this->now);
      const auto phase = static_cast<std::int64_t>(i) * kStepMs;
      if ((this->now.ms + phase) % kDigestMs == 0) {
        this->ExchangeDigests(i);
      }
    }
  }
}

void Network::RestartAgent(std::size_t agent) {
  this->agents[agent].incarnation += 1'000'000;
  this->agents[agent].running = true;
  this->StartAgent(this->agents[agent]);
}

void Network::RestartEntry(std::size_t entry) {
  this->entries[entry].incarnation += 1'000'000;
  this->entries[entry].running = true;
  this->StartEntry(entry);
}

void Network::SetConnected(const std::string& a,
                           const std::string& b,
                           bool connected) {
  const auto pair = std::minmax(a, b);
  if (connected) {
    this->disconnected_pairs.erase(pair);
  } else {
    this->disconnected_pairs.insert(pair);
  }
}

std::string Network::FindViewError() const {
  for (const Entry& entry : this->entries) {
    if (entry.running) {
      const std::string error = this->FindViewErrorOf(entry);
      if (!error.empty()) {
        return entry.id + ": " + error;
      }
    }
  }
  return "";
}

std::string Network::FindViewErrorOf(const Entry& entry) const {
  for (const Agent& agent : this->agents) {
    const InstanceId id(agent.id);
    const Liveness liveness = entry.directory->AgentLiveness(id, this->now);
    if (agent.running && liveness != Liveness::kLive) {
      return agent.id + " runs and is " + std::string(NameOf(liveness));
    }
    if (agent.running &&
        entry.directory->AgentIncarnation(id) != agent.incarnation) {
      return agent.id + " has another incarnation";
    }
    if (!agent.running && liveness == Liveness::kLive) {
      return agent.id + " was stopped and is live";
    }
  }
  std::set<std::string> expected;
  for (const Agent& agent : this->agents) {
    if (agent.running && agent.has_endpoint &&
        agent.state == rpc::ENDPOINT_STATE_SERVING) {
      expected.insert("at " + agent.id);
    }
  }
  std::set<std::string> serving;
  for (const ServingEndpoint& endpoint :
       entry.directory->Serving(ServiceId("s"), this->now)) {
    serving.insert(endpoint.endpoint.value);
  }
  return serving == expected ? "" : "serves other endpoints than expected";
}

rpc::AnnounceRequest Network::Announcement(const Agent& agent) const {
  rpc::AnnounceRequest announcement;
  announcement.mutable_peers()->set_sender(agent.id);
  announcement.mutable_peers()->set_sender_incarnation(1'700'000'000'000'000 +
                                                       agent.incarnation);
  announcement.mutable_peers()->set_sender_incarnation(agent.incarnation);
  announcement.set_address("10.0.1.17:7001");
  announcement.set_failure_domain("north-1");
  announcement.set_region("north");
  announcement.set_state(agent.state);
  announcement.set_rules_version(4'900);
  if (agent.has_endpoint) {
    rpc::ServiceLoad& service = *announcement.mutable_service();
    service.set_endpoint("at " + agent.id);
    service.set_service("s");
    service.set_partner("p");
    service.set_slots(8);
    service.set_slots_used(agent.slots_used);
    service.set_connections(60);
    service.set_connections_used(agent.slots_used);
  } else {
    rpc::WorkerInventory& worker = *announcement.mutable_worker();
    worker.set_worker("worker-" + agent.id);
    worker.set_rack("rack-17");
    worker.set_cores_milli(130'000);
    worker.set_memory_mb(262'144);
    worker.set_accelerators(8);
  }
  return announcement;
}

std::size_t Network::EntryAt(const std::string& address) const {
  return static_cast<std::size_t>(
      std::find(this->addresses.begin(), this->addresses.end(), address) -
      this->addresses.begin());
}

void Network::StartAgent(Agent& agent) {
  AnnouncementSettings settings;
  settings.self = InstanceId(agent.id);
  settings.entries = this->addresses;
  agent.schedule = std::make_unique<AnnouncementSchedule>(settings, this->now);
}

void Network::StartEntry(std::size_t index) {
  Entry& entry = this->entries[index];
  DirectorySettings settings;
  settings.self = InstanceId(entry.id);
  settings.self_incarnation = entry.incarnation;
  settings.address = AddressOf(index);
  entry.directory = std::make_unique<Directory>(settings);
}

bool Network::IsLost(const std::string& from, const std::string& to) {
  return this->disconnected_pairs.contains(std::minmax(from, to)) ||
         std::uniform_int_distribution<int>(1, 100)(this->random) <=
             this->loss_percent;
}

void Network::Announce(Agent& agent) {
  for (const std::string& address : agent.schedule->Due(this->now)) {
    Entry& entry = this->entries[this->EntryAt(address)];
    if (this->vary_load && agent.has_endpoint) {
      agent.slots_used =
          std::uniform_int_distribution<std::uint32_t>(0, 8)(this->random);
    }
    rpc::AnnounceRequest announcement = this->Announcement(agent);
    announcement.set_announce_interval_ms(
        static_cast<std::uint32_t>(agent.schedule->IntervalMs(address)));
    if (!entry.running || this->IsLost(agent.id, entry.id)) {
      agent.schedule->OnFailure(address, this->now);
      continue;
    }
    const AnnounceOutcome outcome =
        entry.directory->OnAnnounce(announcement, this->now);
    if (outcome.reception != MessageStatus::kAccepted ||
        this->IsLost(entry.id, agent.id)) {
      agent.schedule->OnFailure(address, this->now);
      continue;
    }
    agent.must_leave = outcome.reply.must_leave();
    agent.schedule->OnReply(address, outcome.reply.announce_interval_ms(),
                            this->now);
  }
}

void Network::ExchangeDigests(std::size_t from) {
  Entry& sender = this->entries[from];
  for (std::size_t to = 0; to < this->entries.size(); ++to) {
    if (to == from ||
        !sender.directory->InitiatesDigestsTo(AddressOf(to), this->now)) {
      continue;
    }
    Entry& receiver = this->entries[to];
    const OutgoingDigest digest =
        sender.directory->BuildDigest(AddressOf(to), this->now);
    if (!receiver.running || this->IsLost(sender.id, receiver.id)) {
      continue;
    }
    const DigestOutcome outcome =
        receiver.directory->OnDigest(digest.request, this->now);
    if (!this->IsLost(receiver.id, sender.id)) {
      sender.directory->OnDigestReply(AddressOf(to), outcome.reply, this->now);
    }
  }
}

}  // namespace carobrill::membership
