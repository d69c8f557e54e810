#ifndef PACKAGES_DAEMON_AGENT_CONTEXT_H_
#define PACKAGES_DAEMON_AGENT_CONTEXT_H_

#include <string>

#include "packages/agent/endpoint_gate.h"
#include "packages/agent/identity.h"
#include "packages/agent/lease_holder.h"
#include "packages/core/task.h"
#include "packages/daemon/settings.h"
#include "packages/http/http_client.h"
#include "packages/rpc/agent_client.h"
#include "packages/rpc/channel_pool.h"
#include "packages/rpc/entry_client.h"

namespace carobrill::daemon {

/// State shared by the components of the agent role. Accessed on `task` only.
struct AgentContext {
  AgentContext(const Settings& settings,
               Task& task,
               const agent::GateChart& chart);

  Settings settings;
  Task& task;
  agent::Identity self;
  agent::EndpointGate gate;
  agent::LeaseHolder lease;
  rpc::ChannelPool channels;
  rpc::EntryClient entries;
  rpc::AgentClient agents;
  http::HttpClient http;
  /// gRPC address of this agent, "ip:port".
  std::string address;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_AGENT_CONTEXT_H_
