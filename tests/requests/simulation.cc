#include "tests/requests/simulation.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "packages/core/digest.h"

namespace carobrill::requests {
namespace {

std::string AnswerTo(const std::string& payload) {
  return "answer to " + payload;
}

ClaimTable MakeTable() {
  return ClaimTable::Create(std::string(CAROBRILL_SOURCE_DIRECTORY) + "/charts")
      .value();
}

}  // namespace

Simulation::Simulation(std::size_t entry_count,
                       std::size_t agent_count,
                       std::uint64_t seed,
                       SimulationOptions simulation_options)
    : options(std::move(simulation_options)),
      random(seed),
      entries(entry_count),
      agents(agent_count) {
  for (std::size_t i = 0; i < agent_count; ++i) {
    this->agents[i].id = InstanceId("agent" + std::to_string(i));
  }
  for (std::size_t i = 0; i < entry_count; ++i) {
    this->entries[i].id = InstanceId("entry" + std::to_string(i));
    this->StartEntry(i);
  }
  this->PublishState();
}

void Simulation::Submit(std::size_t entry,
                        const std::string& key,
                        std::int64_t deadline_ms,
                        bool hold,
                        const std::string& kind) {
  Call call;
  call.id = this->calls.size() + 1;
  call.entry = entry;
  call.key = key;
  call.payload = key.empty() ? "call " + std::to_string(call.id) : key;
  call.kind = kind;
  call.start = this->now;
  call.deadline = this->now.After(deadline_ms);
  Request request;
  request.call = call.id;
  request.account = AccountId("a");
  request.service = ServiceId("s");
  request.idempotent = key.empty();
  request.idempotency_key = key;
  request.deadline = call.deadline;
  request.payload = call.payload;
  request.hold_during_outage = hold;
  request.kind = kind;
  request.repeat =
      !key.empty() &&
      std::any_of(this->calls.begin(), this->calls.end(),
                  [&key](const Call& other) { return other.key == key; });
  this->calls.push_back(call);
  this->Perform(entry, this->entries[entry].dispatcher->OnRequest(
                           std::move(request), this->now));
}

void Simulation::CancelCall(std::size_t index) {
  if (this->calls.empty()) {
    return;
  }
  Call& call = this->calls[index % this->calls.size()];
  if (call.end == Instant::Never()) {
    call.abandoned = true;
    call.end = this->now;
    this->Perform(
        call.entry,
        this->entries[call.entry].dispatcher->OnCallerGone(call.id, this->now));
  }
}

void Simulation::RestartAgent(std::size_t agent) {
  Agent& restarted = this->agents[agent];
  ++restarted.incarnation;
  restarted.running = 0;
  restarted.refused.clear();
  restarted.started.clear();
  restarted.leaving = false;
}

void Simulation::SetLeaving(std::size_t agent, bool leaving) {
  this->agents[agent].leaving = leaving;
}

void Simulation::SetReachable(std::size_t agent,
                              std::size_t entry,
                              bool reachable) {
  if (reachable) {
    this->agents[agent].unreachable_from.erase(entry);
  } else {
    this->agents[agent].unreachable_from.insert(entry);
  }
}

void Simulation::RestartEntry(std::size_t entry) {
  for (Call& call : this->calls) {
    if (call.entry == entry && call.end == Instant::Never()) {
      call.abandoned = true;
      call.end = this->now;
    }
  }
  ++this->entries[entry].incarnation;
  this->StartEntry(entry);
}

void Simulation::SetLogAvailable(std::size_t entry, bool available) {
  this->entries[entry].log_available = available;
  // The entry detects an outage only when its calls to the log time out.
  const std::int64_t notice_ms = available ? 0 : this->Delay() * 10;
  this->ScheduleAt(entry, notice_ms, [this, entry](Entry& noticing) {
    this->Perform(entry, noticing.dispatcher->OnLogAvailability(
                             noticing.log_available, this->now));
  });
  this->ScheduleApply(entry);
}

void Simulation::Advance(std::int64_t ms) {
  const Instant until = this->now.After(ms);
  while (!this->events.empty() && this->events.top().at <= until) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.run();
  }
  this->now = until;
}

void Simulation::Heal() {
  this->faults = Faults{};
  for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
    this->SetLogAvailable(entry, true);
  }
  for (Agent& agent : this->agents) {
    agent.leaving = false;
    agent.unreachable_from.clear();
  }
  this->Advance(60'000);
}

std::string Simulation::AnswerViolation() const {
  for (const Call& call : this->calls) {
    const std::string name = "call " + std::to_string(call.id);
    if (call.answers.size() > 1) {
      return name + " was answered twice";
    }
    for (const Answer& answer : call.answers) {
      if (call.abandoned) {
        return name + " was answered after its caller was gone";
      }
      if (answer.error == RequestError::kNone &&
          (answer.ran != Ran::kYes ||
           answer.answer != AnswerTo(call.payload))) {
        return name + " got a wrong answer: " + answer.answer;
      }
      if (answer.error != RequestError::kNone && !answer.answer.empty()) {
        return name + " got an answer with an error";
      }
    }
  }
  return "";
}

// An execution contradicts the answer "not run" unless it may be due to another
// call with the same payload that started before the execution and had not
// ended when the answered call was made.
std::string Simulation::NotRunViolation() const {
  for (const Call& call : this->calls) {
    if (call.answers.empty() || call.answers[0].ran != Ran::kNo) {
      continue;
    }
    for (const Execution& execution : this->executions) {
      if (execution.payload != call.payload) {
        continue;
      }
      const bool explained = std::any_of(
          this->calls.begin(), this->calls.end(),
          [&call, &execution](const Call& other) {
            return other.id != call.id && other.payload == call.payload &&
                   other.end >= call.start && other.start <= execution.at;
          });
      if (!explained) {
        return "call " + std::to_string(call.id) +
               " was answered as not run (" +
               std::string(NameOf(call.answers[0].error)) + ")";
      }
    }
  }
  return "";
}

std::string Simulation::DuplicateRunViolation() const {
  std::set<std::string> seen;
  for (const Execution& execution : this->executions) {
    const bool keyed = !execution.payload.starts_with("call ");
    if (keyed && !seen.insert(execution.payload).second) {
      return execution.payload + " ran twice";
    }
  }
  return "";
}

std::string Simulation::QuiescenceViolation() const {
  for (const Call& call : this->calls) {
    if (!call.abandoned && call.answers.empty()) {
      return "call " + std::to_string(call.id) + " has no answer";
    }
  }
  for (const Entry& entry : this->entries) {
    if (!entry.dispatcher->Idle()) {
      return entry.id.value + " is not idle";
    }
    if (entry.table->Hash() != this->entries[0].table->Hash()) {
      return entry.id.value + " has a different claim table";
    }
    if (!entry.table->OpenClaims().empty()) {
      return entry.id.value + " has open claims";
    }
  }
  return "";
}

void Simulation::Schedule(std::int64_t delay_ms, std::function<void()> run) {
  this->events.push(
      Event{this->now.After(delay_ms), this->next_sequence++, std::move(run)});
}

void Simulation::ScheduleAt(std::size_t entry,
                            std::int64_t delay_ms,
                            EntryCallback callback) {
  const Incarnation incarnation = this->entries[entry].incarnation;
  this->Schedule(delay_ms, [this, entry, incarnation, callback] {
    if (this->entries[entry].incarnation == incarnation) {
      callback(this->entries[entry]);
    }
  });
}

bool Simulation::Chance(int percent) {
  return std::uniform_int_distribution<int>(1, 100)(this->random) <= percent;
}

std::int64_t Simulation::Delay() {
  return std::uniform_int_distribution<std::int64_t>(
      1, this->options.max_delay_ms)(this->random);
}

std::int64_t Simulation::RunMs(const std::string& payload) {
  if (this->options.run_ms) {
    const std::size_t id = std::stoul(payload.substr(payload.find(' ')));
    return this->options.run_ms(this->calls[id - 1].kind, this->random);
  }
  return this->Chance(10) ? 1'500 : this->Delay() * 5;
}

void Simulation::StartEntry(std::size_t index) {
  Entry& entry = this->entries[index];
  DispatcherSettings settings = this->options.dispatcher;
  settings.self = entry.id;
  settings.self_incarnation = entry.incarnation;
  settings.seed = index;
  settings.agent_dead_after_ms = 3'000;
  entry.dispatcher.reset();
  entry.table = std::make_unique<ClaimTable>(MakeTable());
  entry.dispatcher =
      std::make_unique<RequestDispatcher>(settings, *entry.table);
  entry.applied = 0;
  entry.apply_scheduled = false;
  entry.known_endpoints.clear();
  entry.unanswered.clear();
  this->ScheduleApply(index);
  this->Perform(index, entry.dispatcher->OnLogAvailability(entry.log_available,
                                                           this->now));
}

// Publishes endpoints and live entries; what entries know is up to 150 ms old.
void Simulation::PublishState() {
  std::map<InstanceId, Incarnation> alive;
  for (const Entry& entry : this->entries) {
    alive[entry.id] = entry.incarnation;
  }
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    Entry& entry = this->entries[i];
    std::vector<ServingEndpoint> endpoints;
    entry.known_endpoints.clear();
    for (const Agent& agent : this->agents) {
      if (!agent.unreachable_from.contains(i)) {
        endpoints.push_back(this->Describe(agent));
        entry.known_endpoints[agent.id] = endpoints.back();
      }
    }
    this->Perform(i, entry.dispatcher->OnEndpoints(endpoints, this->now));
    this->Perform(i, entry.dispatcher->OnLiveEntries(alive, i == 0, this->now));
  }
  this->Schedule(150, [this] { this->PublishState(); });
}

void Simulation::Perform(std::size_t entry, const Actions& actions) {
  for (const Action& action : actions) {
    if (const auto* propose = std::get_if<ProposeRecord>(&action)) {
      this->Propose(entry, propose->record);
    } else if (const auto* send = std::get_if<SendAttempt>(&action)) {
      this->SendAttemptTo(entry, *send);
    } else if (const auto* fence = std::get_if<SendFence>(&action)) {
      this->SendFenceTo(entry, *fence);
    } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
      Call& call = this->calls.at(answer->call - 1);
      call.answers.push_back(answer->answer);
      call.end = this->now;
    }
  }
  this->ArmTimer(entry);
}

void Simulation::ArmTimer(std::size_t entry) {
  const Instant next = this->entries[entry].dispatcher->NextDeadline();
  if (next == Instant::Never()) {
    return;
  }
  this->ScheduleAt(entry,
                   std::max<std::int64_t>(1, next.RemainingMs(this->now)),
                   [this, entry](Entry& due) {
                     // The dispatcher's next deadline may have moved since this
                     // timer was set.
                     if (due.dispatcher->NextDeadline() <= this->now) {
                       this->Perform(entry, due.dispatcher->OnTimer(this->now));
                     }
                   });
}

void Simulation::Propose(std::size_t entry, const records::Record& record) {
  const Incarnation incarnation = this->entries[entry].incarnation;
  this->Schedule(this->Delay(), [this, entry, incarnation, record] {
    this->Append(entry, incarnation, record);
  });
}

// A proposal is appended eventually, even after its entry has died; during an
// outage it may be dropped instead.
void Simulation::Append(std::size_t entry,
                        Incarnation incarnation,
                        const records::Record& record) {
  Entry& proposer = this->entries[entry];
  if (proposer.log_available) {
    this->log.emplace_back(record, this->now);
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      this->ScheduleApply(i);
    }
    return;
  }
  if (this->Chance(5)) {
    if (proposer.incarnation == incarnation) {
      this->Perform(entry,
                    proposer.dispatcher->OnProposalDropped(record, this->now));
    }
    return;
  }
  this->Schedule(100, [this, entry, incarnation, record] {
    this->Append(entry, incarnation, record);
  });
}

void Simulation::ScheduleApply(std::size_t entry) {
  if (this->entries[entry].apply_scheduled) {
    return;
  }
  this->entries[entry].apply_scheduled = true;
  this->ScheduleAt(entry, this->Delay(), [this, entry](Entry& reader) {
    reader.apply_scheduled = false;
    this->ApplyLog(entry);
  });
}

void Simulation::ApplyLog(std::size_t index) {
  Entry& entry = this->entries[index];
  while (entry.log_available && entry.applied < this->log.size()) {
    const Offset offset = entry.applied++;
    const auto& [record, appended_at] = this->log[offset];
    // Offsets start at 1, since claim offset 0 means "no claim".
    const records::Verdict verdict =
        entry.table->Apply(record, offset + 1, appended_at);
    this->Perform(index, entry.dispatcher->OnRecordApplied(record, offset + 1,
                                                           verdict, this->now));
  }
}

void Simulation::SendAttemptTo(std::size_t entry, const SendAttempt& send) {
  const auto known_endpoints =
      this->entries[entry].known_endpoints.find(send.agent);
  if (known_endpoints == this->entries[entry].known_endpoints.end() ||
      !known_endpoints->second.routable ||
      known_endpoints->second.agent_incarnation !=
          send.request.peers().receiver_incarnation()) {
    this->leaving_violation =
        send.attempt.value + " was routed to " + send.agent.value;
  }
  this->entries[entry].unanswered.insert(send.attempt.value);
  this->ScheduleAt(entry, send.deadline.RemainingMs(this->now) + 1,
                   [this, entry, send](Entry& caller) {
                     if (caller.unanswered.erase(send.attempt.value) > 0) {
                       this->Perform(entry, caller.dispatcher->OnExecuteFailed(
                                                send.attempt, this->now));
                     }
                   });
  const auto agent = this->FindAgent(send.agent);
  if (this->Chance(this->faults.loss) ||
      this->agents[*agent].unreachable_from.contains(entry)) {
    return;
  }
  const std::int64_t late_ms = this->Chance(this->faults.delay) ? 3'000 : 0;
  this->Schedule(this->Delay() + late_ms, [this, entry, agent, send] {
    this->Execute(entry, *agent, send);
  });
}

void Simulation::Execute(std::size_t entry,
                         std::size_t index,
                         const SendAttempt& send) {
  Agent& agent = this->agents[index];
  const Offset claim = send.request.claim_offset();
  rpc::ExecuteReply reply;
  reply.set_attempt(send.attempt.value);
  reply.set_ran(rpc::RAN_NO);
  if (send.request.peers().receiver_incarnation() != agent.incarnation) {
    reply.set_refusal(rpc::REFUSAL_WRONG_INCARNATION);
  } else if (claim != 0 && agent.started.contains(claim)) {
    reply.set_refusal(rpc::REFUSAL_DUPLICATE);
  } else if (claim != 0 && agent.refused.contains(claim)) {
    reply.set_refusal(rpc::REFUSAL_FENCED);
  } else if (agent.leaving) {
    reply.set_refusal(rpc::REFUSAL_LEAVING);
  } else if (agent.running >= this->options.slots) {
    reply.set_refusal(rpc::REFUSAL_NO_SLOT);
  }
  if (reply.refusal() != rpc::REFUSAL_NONE) {
    // A refusal guarantees that the claim will never run here.
    agent.refused.insert(claim);
    this->Reply(entry, index, send, reply);
    return;
  }
  this->executions.push_back({send.request.payload(), this->now});
  ++agent.running;
  if (claim != 0) {
    agent.started[claim] = "";
  }
  const Incarnation incarnation = agent.incarnation;
  const std::int64_t run_ms = this->RunMs(send.request.payload());
  this->Schedule(run_ms, [this, entry, index, incarnation, send, reply] {
    Agent& runner = this->agents[index];
    if (runner.incarnation != incarnation) {
      return;
    }
    --runner.running;
    rpc::ExecuteReply done = reply;
    done.set_ran(rpc::RAN_YES);
    done.set_answer(AnswerTo(send.request.payload()));
    if (send.request.claim_offset() != 0) {
      runner.started[send.request.claim_offset()] = done.answer();
    }
    this->Reply(entry, index, send, done);
  });
}

void Simulation::Reply(std::size_t entry,
                       std::size_t index,
                       const SendAttempt& send,
                       rpc::ExecuteReply reply) {
  const Agent& agent = this->agents[index];
  rpc::Peers& peers = *reply.mutable_peers();
  peers.set_sender(agent.id.value);
  peers.set_sender_incarnation(agent.incarnation);
  peers.set_receiver(send.request.peers().sender());
  peers.set_receiver_incarnation(send.request.peers().sender_incarnation());
  reply.set_answer_length(static_cast<std::uint32_t>(reply.answer().size()));
  reply.set_answer_digest(DigestOf(reply.answer()));
  if (this->Chance(this->faults.loss) ||
      agent.unreachable_from.contains(entry)) {
    return;
  }
  const rpc::ExecuteReply own = reply;
  if (this->Chance(this->faults.misroute) && this->last_reply) {
    reply = *this->last_reply;
  }
  this->last_reply = own;
  if (this->Chance(this->faults.truncate) && !reply.answer().empty()) {
    reply.mutable_answer()->pop_back();
  }
  const int copies = this->Chance(this->faults.duplicate) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const std::int64_t late_ms = this->Chance(this->faults.delay) ? 3'000 : 0;
    this->ScheduleAt(entry, this->Delay() + late_ms,
                     [this, entry, send, reply](Entry& caller) {
                       caller.unanswered.erase(send.attempt.value);
                       this->Perform(entry,
                                     caller.dispatcher->OnExecuteReply(
                                         send.attempt, reply, this->now));
                     });
  }
}

void Simulation::SendFenceTo(std::size_t entry, const SendFence& send) {
  const auto agent = this->FindAgent(send.agent);
  const bool lost = this->Chance(this->faults.loss) ||
                    this->agents[*agent].unreachable_from.contains(entry);
  if (lost) {
    this->ScheduleAt(entry, send.deadline.RemainingMs(this->now),
                     [this, entry, send](Entry& caller) {
                       this->Perform(entry, caller.dispatcher->OnFenceFailed(
                                                send.fence, this->now));
                     });
    return;
  }
  this->Schedule(this->Delay(), [this, entry, agent, send] {
    const rpc::FenceClaimReply reply = this->Fence(this->agents[*agent], send);
    this->ScheduleAt(entry, this->Delay(),
                     [this, entry, send, reply](Entry& caller) {
                       this->Perform(entry, caller.dispatcher->OnFenceReply(
                                                send.fence, reply, this->now));
                     });
  });
}

rpc::FenceClaimReply Simulation::Fence(Agent& agent, const SendFence& send) {
  rpc::FenceClaimReply reply;
  reply.mutable_peers()->set_sender(agent.id.value);
  reply.mutable_peers()->set_sender_incarnation(agent.incarnation);
  reply.mutable_peers()->set_receiver(send.request.peers().sender());
  reply.mutable_peers()->set_receiver_incarnation(
      send.request.peers().sender_incarnation());
  const Offset claim = send.request.claim_offset();
  reply.set_claim_offset(claim);
  const auto started = agent.started.find(claim);
  if (started == agent.started.end()) {
    reply.set_ran(rpc::RAN_NO);
    agent.refused.insert(claim);
  } else {
    reply.set_ran(rpc::RAN_YES);
    reply.set_running(started->second.empty());
    reply.set_answer(started->second);
  }
  reply.set_answer_length(static_cast<std::uint32_t>(reply.answer().size()));
  reply.set_answer_digest(DigestOf(reply.answer()));
  return reply;
}

std::optional<std::size_t> Simulation::FindAgent(const InstanceId& id) const {
  for (std::size_t i = 0; i < this->agents.size(); ++i) {
    if (this->agents[i].id == id) {
      return i;
    }
  }
  return std::nullopt;
}

ServingEndpoint Simulation::Describe(const Agent& agent) const {
  ServingEndpoint endpoint;
  endpoint.endpoint = EndpointId("at " + agent.id.value);
  endpoint.service = ServiceId("s");
  endpoint.agent = agent.id;
  endpoint.agent_incarnation = agent.incarnation;
  endpoint.routable = !agent.leaving;
  endpoint.slots = this->options.slots;
  endpoint.slots_used = agent.running;
  endpoint.reported_at = this->now;
  return endpoint;
}

}  // namespace carobrill::requests
