#include "packages/daemon/worker_registrar.h"

#include <utility>

namespace carobrill::daemon {
namespace {

// Minimum time between two proposals for a worker. An agent announces itself to
// two entries several times a second, and this leaves both enough time to apply
// a proposed record.
constexpr std::int64_t kProposeIntervalMs = 2'000;

bool IsRegistered(const scheduling::Worker& worker,
                  const rpc::AnnounceRequest& announcement) {
  const auto& inventory = announcement.worker();
  return worker.state != scheduling::WorkerState::kLost &&
         worker.incarnation == announcement.peers().sender_incarnation() &&
         worker.rack.value == inventory.rack() &&
         worker.accelerators == inventory.accelerators() &&
         worker.cores_milli == inventory.cores_milli() &&
         worker.memory_mb == inventory.memory_mb();
}

}  // namespace

void WorkerRegistrar::OnAnnounce(const rpc::AnnounceRequest& announcement,
                                 Instant now) {
  const WorkerId id(announcement.worker().worker());
  if (id.empty() || !this->session.CanPropose()) {
    return;
  }
  const auto& workers = this->session.State().GetCluster().Workers();
  const auto found = workers.find(id);
  const bool leaving = announcement.state() == rpc::ENDPOINT_STATE_LEAVING;
  if (found == workers.end() || !IsRegistered(found->second, announcement)) {
    const bool newer =
        found == workers.end() ||
        found->second.incarnation <= announcement.peers().sender_incarnation();
    if (!leaving && newer && this->AllowProposal(id, now)) {
      this->Register(announcement, now);
    }
    return;
  }
  const bool ready = found->second.state == scheduling::WorkerState::kReady;
  if (leaving && ready && this->AllowProposal(id, now)) {
    this->Drain(found->second, now);
  }
}

bool WorkerRegistrar::AllowProposal(const WorkerId& worker, Instant now) {
  const auto found = this->next_proposal_at.find(worker);
  if (found != this->next_proposal_at.end() && now < found->second) {
    return false;
  }
  this->next_proposal_at[worker] = now.After(kProposeIntervalMs);
  return true;
}

void WorkerRegistrar::Register(const rpc::AnnounceRequest& announcement,
                               Instant now) {
  records::Record record;
  auto* body = record.mutable_worker_registered();
  body->set_worker(announcement.worker().worker());
  body->set_incarnation(announcement.peers().sender_incarnation());
  body->set_rack(announcement.worker().rack());
  body->set_failure_domain(announcement.failure_domain());
  body->set_region(announcement.region());
  body->mutable_capacity()->set_accelerators(
      announcement.worker().accelerators());
  body->mutable_capacity()->set_cores_milli(
      announcement.worker().cores_milli());
  body->mutable_capacity()->set_memory_mb(announcement.worker().memory_mb());
  this->proposer.Propose(std::move(record), announcement.peers().sender(),
                         now.After(kProposeIntervalMs),
                         [](const ledger::ProposalResult&) {});
}

void WorkerRegistrar::Drain(const scheduling::Worker& worker, Instant now) {
  records::Record record;
  auto* body = record.mutable_worker_state_changed();
  body->set_worker(worker.id.value);
  body->set_incarnation(worker.incarnation);
  body->set_state(records::WORKER_STATE_DRAINING);
  body->set_reason("the agent is leaving");
  this->proposer.Propose(std::move(record), "agent",
                         now.After(kProposeIntervalMs),
                         [](const ledger::ProposalResult&) {});
}

}  // namespace carobrill::daemon
