#include "packages/gateway/worker_link.h"

#include <algorithm>
#include <utility>

#include "packages/core/log.h"
#include "packages/gateway/lease_bounds.h"
#include "packages/rpc/task_key_codec.h"

namespace carobrill::gateway {
namespace {

bool SameOrders(const std::vector<workload::TaskOrder>& a,
                const std::vector<workload::TaskOrder>& b) {
  return std::ranges::equal(a, b, [](const auto& x, const auto& y) {
    return x.task == y.task && x.run == y.run && x.stop == y.stop;
  });
}

}  // namespace

workload::WorkerDescription DecodeDescription(const InstanceId& agent,
                                              const rpc::ExchangeReply& reply) {
  workload::WorkerDescription description;
  description.incarnation = {agent, WorkerId(reply.worker().id()),
                             reply.worker().born_unix_ms()};
  description.availability = static_cast<workload::WorkerAvailability>(std::min(
      reply.availability(),
      static_cast<std::uint32_t>(workload::WorkerAvailability::kDraining)));
  description.service = ServiceId(reply.service());
  description.failure_domain = FailureDomainId(reply.failure_domain());
  description.rack = RackId(reply.rack());
  description.labels.insert(reply.labels().begin(), reply.labels().end());
  description.capacity = {reply.cpu_millis(), reply.memory_mb(),
                          reply.accelerators()};
  if (!reply.crashed_worker().id().empty()) {
    description.last_crashed = {agent, WorkerId(reply.crashed_worker().id()),
                                reply.crashed_worker().born_unix_ms()};
  }
  return description;
}

WorkerLink::WorkerLink(Task& task,
                       InstanceId agent,
                       std::string address,
                       std::uint64_t epoch,
                       WorkerLinkSettings settings,
                       ExchangeFunction exchange,
                       WorkerLinkCallbacks callbacks)
    : task(task),
      agent(std::move(agent)),
      address(std::move(address)),
      epoch(epoch),
      settings(settings),
      exchange(std::move(exchange)),
      callbacks(std::move(callbacks)),
      sequence(static_cast<std::uint64_t>(BootClock{}.Now().ms)) {
  this->Send(0);
}

WorkerLink::~WorkerLink() {
  *this->alive = false;
}

void WorkerLink::SetOrders(std::vector<workload::TaskOrder> orders,
                           std::uint64_t acknowledged_end) {
  const bool same = this->orders_known && SameOrders(this->orders, orders) &&
                    acknowledged_end == this->acknowledged_end;
  this->orders_known = true;
  this->orders = std::move(orders);
  this->acknowledged_end = acknowledged_end;
  if (!same && this->connected) {
    this->Send(this->settings.wait_ms);
  }
}

void WorkerLink::SetAcknowledgedEnd(std::uint64_t acknowledged_end) {
  if (acknowledged_end == this->acknowledged_end) {
    return;
  }
  this->acknowledged_end = acknowledged_end;
  if (this->connected) {
    this->Send(this->settings.wait_ms);
  }
}

// Every lease counts from the agent's last report. The planner then knows the
// expiry of all of them before the first one is granted, also if the agent
// never reports again.
void WorkerLink::ExtendLease(Instant now) {
  this->authority_ends_at = now.After(this->settings.lease_ms);
  this->lease_expires_at =
      now.After(MaxLeaseDurationMs(this->settings.lease_ms));
}

// The permission to renew leases ends at a time on the agent's own clock, so
// that a delayed message does not extend it.
void WorkerLink::GrantLease(rpc::ExchangeRequest& request, Instant now) const {
  const Instant until = std::min(this->authority_ends_at, this->lease_limit);
  // An agent that knows no worker renews no lease, so none is granted. The runs
  // of its earlier worker then end with the last lease.
  if (!this->connected || this->worker.id().empty() || until <= now) {
    return;
  }
  request.set_authority_until_agent_ms(until.ms + this->clock_offset_ms);
}

// An agent that has just started knows no epoch, and would follow a planner
// that has been replaced.
void WorkerLink::ConfirmRole() {
  if (std::exchange(this->role_confirmed, true) || !this->connected) {
    return;
  }
  this->Send(this->settings.wait_ms);
}

void WorkerLink::AddOrders(rpc::ExchangeRequest& request) const {
  // The agent takes the orders for a named worker as the complete set.
  if (this->orders_known) {
    *request.mutable_worker() = this->worker;
  }
  request.set_acknowledged_end(this->acknowledged_end);
  if (this->start_limit != Instant::Never()) {
    // 0 would mean that there is no limit.
    request.set_starts_until_agent_ms(std::max<std::int64_t>(
        1, this->start_limit.ms + this->clock_offset_ms));
  }
  for (const workload::TaskOrder& order : this->orders) {
    auto* message = request.add_orders();
    *message->mutable_task() = rpc::ToProto(order.task);
    message->set_run(order.run);
    message->set_stop(order.stop);
    message->set_started(order.started);
    message->set_payload(order.payload);
    message->set_checkpoint(order.checkpoint);
    message->set_ticket(order.ticket);
    message->set_filler(order.filler);
    message->set_latency_target_ms(order.latency_target_ms);
    message->set_cpu_millis(order.demand.cpu_millis);
    message->set_memory_mb(order.demand.memory_mb);
    message->set_accelerators(order.demand.accelerators);
  }
}

void WorkerLink::Send(std::int64_t wait_ms) {
  const Instant now = BootClock{}.Now();
  rpc::ExchangeRequest request;
  request.set_agent(this->agent.value);
  request.set_epoch(this->epoch);
  request.set_sequence(++this->sequence);
  request.set_wait_ms(wait_ms);
  request.set_seen_report(this->seen_report);
  if (this->role_confirmed) {
    request.set_agent_incarnation(this->agent_incarnation);
    this->GrantLease(request, now);
    this->AddOrders(request);
  }
  this->exchange(this->address, request,
                 now.After(wait_ms + this->settings.answer_timeout_ms),
                 [this, alive = this->alive, sequence = this->sequence](
                     const rpc::RpcResult<rpc::ExchangeReply>& reply) {
                   if (*alive) {
                     this->OnReply(reply, sequence);
                   }
                 });
}

void WorkerLink::OnReply(const rpc::RpcResult<rpc::ExchangeReply>& reply,
                         std::uint64_t sequence) {
  const bool newest = sequence == this->sequence;
  if (reply.Ok() && reply.value.highest_epoch() > this->epoch) {
    this->callbacks.on_superseded(reply.value.highest_epoch());
    return;
  }
  // An agent that is shutting down accepts no exchanges.
  if (!reply.Ok() || !reply.value.accepted()) {
    if (newest) {
      this->OnFailure(reply);
    }
    return;
  }
  this->ApplyReport(reply.value, sequence);
  if (newest && sequence == this->sequence) {
    this->Send(this->settings.wait_ms);
  }
}

void WorkerLink::OnFailure(const rpc::RpcResult<rpc::ExchangeReply>& reply) {
  const bool first = !this->has_failed || this->connected;
  this->has_failed = true;
  this->connected = false;
  if (first) {
    Log(LogLevel::kWarning, "dependency lost",
        {{"dependency", "agent"},
         {"agent", this->agent.value},
         {"reason", std::string(NameOf(reply.failure))},
         {"detail", reply.Ok() ? "exchange rejected" : reply.detail},
         {"lease_left_ms", std::to_string(this->lease_expires_at.RemainingMs(
                               BootClock{}.Now()))}});
  }
  this->callbacks.on_unreachable(this->agent);
  this->task.PostAt(BootClock{}.Now().After(this->settings.retry_delay_ms),
                    [this, alive = this->alive, sequence = this->sequence] {
                      if (*alive && sequence == this->sequence) {
                        this->Send(0);
                      }
                    });
}

// With two planners or two agents in question, these lines tell which process
// answered which of them, and when.
void WorkerLink::LogProcess(const rpc::ExchangeReply& reply) const {
  Log(LogLevel::kInfo, "agent_process_changed",
      {{"agent", this->agent.value},
       {"address", this->address},
       {"incarnation", std::to_string(reply.agent_incarnation())},
       {"worker", reply.worker().id()},
       {"runs", std::to_string(reply.running_size())},
       {"epoch", std::to_string(this->epoch)}});
}

// Answers may overtake each other. Start times do not order the agent's
// processes, since its wall clock may have been set back in between.
bool WorkerLink::IsOutdated(const rpc::ExchangeReply& reply,
                            std::uint64_t sequence) const {
  return reply.agent_incarnation() == this->agent_incarnation
             ? reply.report() < this->seen_report
             : sequence < this->answered_sequence;
}

void WorkerLink::ApplyReport(const rpc::ExchangeReply& reply,
                             std::uint64_t sequence) {
  if (this->IsOutdated(reply, sequence)) {
    Log(LogLevel::kInfo, "ignoring outdated report",
        {{"agent", this->agent.value},
         {"incarnation", std::to_string(reply.agent_incarnation())},
         {"report", std::to_string(reply.report())},
         {"sequence", std::to_string(sequence)}});
    return;
  }
  const bool agent_restarted =
      reply.agent_incarnation() != this->agent_incarnation;
  this->answered_sequence = std::max(this->answered_sequence, sequence);
  if (!this->connected && this->has_failed) {
    Log(LogLevel::kInfo, "dependency regained",
        {{"dependency", "agent"}, {"agent", this->agent.value}});
  }
  const Instant now = BootClock{}.Now();
  this->agent_incarnation = reply.agent_incarnation();
  this->seen_report = reply.report();
  const bool first = !std::exchange(this->has_reported, true);
  if (first || agent_restarted) {
    this->LogProcess(reply);
    this->role_confirmed = this->callbacks.on_process_changed(
        this->agent, LatestProcessStart(now, reply.process_age_ms()));
  }
  // The agent read its clock before the reply was transmitted, so the offset is
  // never too large.
  this->clock_offset_ms = reply.agent_clock_ms() - now.ms;
  this->connected = true;
  // An earlier planner may have granted a lease until just before the agent
  // followed this one, also if the agent has restarted since.
  if (first || !reply.worker().id().empty()) {
    this->ExtendLease(now);
  }
  if (reply.worker().id() != this->worker.id() ||
      reply.worker().born_unix_ms() != this->worker.born_unix_ms()) {
    this->worker = reply.worker();
    this->acknowledged_end = 0;
    this->orders.clear();
    this->orders_known = false;
    this->callbacks.on_orders_dropped(this->agent);
  }
  this->callbacks.on_report(this->agent, reply, this->lease_expires_at);
}

}  // namespace carobrill::gateway
