#ifndef PACKAGES_WORKER_AGENT_REPORT_CHANNEL_H_
#define PACKAGES_WORKER_AGENT_REPORT_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "packages/core/ids.h"
#include "packages/core/task.h"
#include "packages/core/time.h"
#include "packages/rpc/rpc_types.h"
#include "packages/rpc/worker_control.pb.h"

namespace carobrill::worker_agent {

/// Callbacks of a channel to its agent.
struct ReportChannelCallbacks {
  /// Called when the agent follows another planner.
  std::function<void(std::uint64_t epoch)> on_epoch;
  /// Called with each request of the followed planner that is for this process,
  /// in order and once.
  std::function<void(const rpc::ExchangeRequest&)> on_request;
  /// Returns a reply with the agent's state.
  std::function<rpc::ExchangeReply()> reply;
};

/// The agent's side of its exchanges with planners: follows the one with the
/// highest epoch, and answers an exchange when there is something to report or
/// its wait is over.
class ReportChannel {
 public:
  /// `agent` is the instance that the channel belongs to, `incarnation` the
  /// start time of its process.
  ReportChannel(Task& task,
                InstanceId agent,
                std::uint64_t incarnation,
                ReportChannelCallbacks callbacks);
  ~ReportChannel();

  ReportChannel(const ReportChannel&) = delete;
  ReportChannel& operator=(const ReportChannel&) = delete;

  /// Handles one exchange with a planner. Returns whether it is meant for this
  /// agent; others are rejected.
  bool OnExchange(const rpc::ExchangeRequest& request,
                  rpc::Responder<rpc::ExchangeReply> respond);

  /// The agent's state has changed in a way that the planner must know of.
  void Report();

 private:
  rpc::ExchangeReply Rejection() const;
  rpc::ExchangeReply Reply() const;
  void AnswerPending();

  Task& task;
  InstanceId agent;
  std::uint64_t incarnation;
  /// Boot clock.
  Instant started_at = BootClock{}.Now();
  ReportChannelCallbacks callbacks;
  /// Agent that the last rejected exchange was meant for, for the log.
  std::string rejected_agent;
  std::uint64_t epoch = 0;
  std::uint64_t last_exchange = 0;
  std::uint64_t report = 1;
  std::optional<rpc::Responder<rpc::ExchangeReply>> pending_response;
  std::uint64_t pending_number = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_REPORT_CHANNEL_H_
