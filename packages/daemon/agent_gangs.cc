#include "packages/daemon/agent_gangs.h"

#include <utility>
#include <variant>

#include "packages/core/log.h"

namespace carobrill::daemon {
namespace {

constexpr std::int64_t kDescribeIntervalMs = 10'000;
constexpr std::int64_t kDescribeRetryMs = 500;
constexpr std::int64_t kListIntervalMs = 500;

// Without running tasks, the list is only needed to find tasks of an earlier
// incarnation.
constexpr std::int64_t kIdleListIntervalMs = 2'000;

agent::GangTiming TimingOf(const WorkerSettings& settings) {
  agent::GangTiming timing;
  timing.task_lease_ms = settings.task_lease_ms;
  timing.heartbeat_interval_ms = settings.member_heartbeat_interval_ms;
  timing.heartbeat_timeout_ms = settings.member_timeout_ms;
  return timing;
}

agent::StartResult ResultOf(platform::PlatformFailure failure) {
  switch (failure) {
    case platform::PlatformFailure::kNone:
      return agent::StartResult::kStarted;
    case platform::PlatformFailure::kNotSent:
    case platform::PlatformFailure::kRefused:
      return agent::StartResult::kRefused;
    default:
      return agent::StartResult::kUnknown;
  }
}

platform::WorkerTaskSpec SpecOf(const agent::StartTask& action) {
  platform::WorkerTaskSpec spec;
  spec.task = agent::TaskNameOf(action.key);
  spec.lease_ms = action.lease_ms;
  spec.cores_milli = action.spec.cores_milli();
  spec.memory_mb = action.spec.memory_mb();
  for (std::uint32_t i = 0; i < action.spec.accelerators(); ++i) {
    spec.accelerators.push_back(action.spec.first_accelerator() + i);
  }
  spec.run_ms = action.spec.run_ms();
  spec.payload = action.spec.payload();
  spec.checkpoint = action.spec.checkpoint();
  return spec;
}

agent::ListedTask ListedTaskOf(const platform::WorkerTask& task, Instant now) {
  agent::ListedTask listed;
  listed.state = FindByName<agent::TaskState>(NameOf(task.state))
                     .value_or(agent::TaskState::kMissing);
  listed.checkpoint = task.checkpoint;
  listed.has_usage = task.has_usage;
  listed.cores_milli = task.cores_milli;
  listed.memory_mb = task.memory_mb;
  listed.sampled_at = now.After(-task.usage_age_ms);
  return listed;
}

void LogFailure(const std::string& what,
                const agent::MemberKey& key,
                std::string_view failure) {
  Log(LogLevel::kWarning, what + " failed",
      {{"task", agent::TaskNameOf(key)}, {"failure", std::string(failure)}});
}

}  // namespace

AgentGangs::AgentGangs(AgentContext& context,
                       const agent::MemberChart& chart,
                       Reporter send_report)
    : context(context),
      send_report(std::move(send_report)),
      timing(TimingOf(context.settings.agent.worker)),
      table(context.self, this->timing, chart, context.gate, context.lease),
      worker(context.http, context.settings.agent.worker.url) {}

void AgentGangs::Prepare(const rpc::PrepareMemberRequest& request,
                         const rpc::Responder<rpc::MemberReply>& respond) {
  respond(this->table.Prepare(request, BootClock{}.Now()));
}

void AgentGangs::Start(const rpc::StartMemberRequest& request,
                       const rpc::Responder<rpc::MemberReply>& respond) {
  agent::GangActions actions;
  const rpc::MemberReply reply =
      this->table.Start(request, BootClock{}.Now(), actions);
  this->Perform(actions);
  respond(reply);
}

void AgentGangs::Stop(const rpc::StopMemberRequest& request,
                      const rpc::Responder<rpc::MemberReply>& respond) {
  agent::GangActions actions;
  const rpc::MemberReply reply =
      this->table.Stop(request, BootClock{}.Now(), actions);
  this->Perform(actions);
  respond(reply);
}

void AgentGangs::MemberAlive(
    const rpc::MemberAliveRequest& request,
    const rpc::Responder<rpc::MemberAliveReply>& respond) {
  respond(this->table.OnHeartbeat(request, BootClock{}.Now()));
}

void AgentGangs::Tick(Instant now) {
  agent::GangActions actions;
  this->table.Tick(now, actions);
  this->Perform(actions);
  if (this->context.settings.agent.worker.id.empty()) {
    return;
  }
  if (now >= this->next_describe_at) {
    this->DescribeWorker(now);
  }
  if (now >= this->next_list_at && !this->list_in_flight) {
    this->ListTasks(now);
  }
}

void AgentGangs::StopAll(Instant now) {
  this->table.StopAll(now);
}

void AgentGangs::Perform(const agent::GangActions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& one) { this->Perform(one); }, action);
  }
}

void AgentGangs::Perform(const agent::StartTask& action) {
  this->next_list_at = {};
  this->worker.Start(
      SpecOf(action), this->CallDeadline(),
      [this,
       key = action.key](const platform::PlatformReply<platform::Done>& reply) {
        if (!reply.Ok()) {
          LogFailure("task start", key, NameOf(reply.failure));
        }
        this->table.OnStarted(key, ResultOf(reply.failure), BootClock{}.Now());
      });
}

void AgentGangs::Perform(const agent::RenewTask& action) {
  this->worker.RenewLease(
      agent::TaskNameOf(action.key), action.lease_ms, this->CallDeadline(),
      [key = action.key](const platform::PlatformReply<platform::Done>& reply) {
        if (!reply.Ok()) {
          LogFailure("lease renewal", key, NameOf(reply.failure));
        }
      });
}

void AgentGangs::Perform(const agent::CheckpointTask& action) {
  this->worker.Checkpoint(
      agent::TaskNameOf(action.key),
      BootClock{}.Now().After(this->timing.checkpoint_timeout_ms),
      [this,
       key = action.key](const platform::PlatformReply<platform::Done>& reply) {
        if (!reply.Ok()) {
          LogFailure("checkpoint", key, NameOf(reply.failure));
        }
        this->table.OnCheckpointed(key, BootClock{}.Now());
      });
}

void AgentGangs::Perform(const agent::StopTask& action) {
  this->next_list_at = {};
  this->worker.Stop(
      agent::TaskNameOf(action.key), this->CallDeadline(),
      [key = action.key](const platform::PlatformReply<platform::Done>& reply) {
        if (!reply.Ok()) {
          LogFailure("task stop", key, NameOf(reply.failure));
        }
      });
}

// A failed heartbeat is not retried: the next one is sent at the usual
// interval.
void AgentGangs::Perform(const agent::SendHeartbeat& action) {
  const Instant sent_at = BootClock{}.Now();
  this->context.agents.MemberAlive(
      action.address, action.request,
      sent_at.After(this->timing.heartbeat_timeout_ms),
      [this, key = action.key,
       sent = agent::SentHeartbeat{action.request.phase(), sent_at}](
          const rpc::RpcResult<rpc::MemberAliveReply>& reply) {
        if (reply.Ok()) {
          this->table.OnHeartbeatReply(key, reply.value, sent,
                                       BootClock{}.Now());
        }
      });
}

void AgentGangs::Perform(const agent::SendReport& action) {
  this->send_report(action.report, [this, report = action.report] {
    this->table.OnReportRecorded(report);
  });
}

void AgentGangs::DescribeWorker(Instant now) {
  this->next_describe_at = now.After(kDescribeIntervalMs);
  this->worker.Describe(
      this->CallDeadline(),
      [this](
          const platform::PlatformReply<platform::WorkerDescription>& reply) {
        if (!reply.Ok()) {
          this->next_describe_at = BootClock{}.Now().After(kDescribeRetryMs);
          return;
        }
        this->table.SetWorkerResources({reply.value.cores_milli,
                                        reply.value.memory_mb,
                                        reply.value.accelerators});
      });
}

void AgentGangs::ListTasks(Instant now) {
  this->list_in_flight = true;
  this->next_list_at = now.After(
      this->table.MayBeRunning() ? kListIntervalMs : kIdleListIntervalMs);
  this->worker.List(
      this->CallDeadline(),
      [this,
       now](const platform::PlatformReply<std::vector<platform::WorkerTask>>&
                reply) {
        this->list_in_flight = false;
        if (!reply.Ok()) {
          return;
        }
        const Instant answered_at = BootClock{}.Now();
        agent::TaskList tasks;
        for (const auto& task : reply.value) {
          tasks[task.task] = ListedTaskOf(task, answered_at);
        }
        this->table.OnTaskList(tasks, now, answered_at);
      });
}

Instant AgentGangs::CallDeadline() const {
  return BootClock{}.Now().After(this->timing.worker_call_timeout_ms);
}

}  // namespace carobrill::daemon
