#ifndef PACKAGES_WORKER_AGENT_ORDER_SENDER_H_
#define PACKAGES_WORKER_AGENT_ORDER_SENDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "packages/core/log.h"
#include "packages/core/metrics.h"
#include "packages/core/time.h"
#include "packages/worker_agent/run_table.h"
#include "packages/worker_agent/worker_port.h"

namespace carobrill::worker_agent {

namespace detail {

inline OrderResult ResultOf(OrderResult result) {
  return result;
}
inline OrderResult ResultOf(const StartReply& reply) {
  return reply.result;
}

}  // namespace detail

/// Sends orders to the worker, and logs and counts their results.
template <WorkerPort Port>
class OrderSender {
 public:
  /// `port` and `metrics` must outlive the sender. An order is given up
  /// `answer_timeout_ms` after it was sent.
  OrderSender(Port& port,
              MetricsRegistry& metrics,
              std::int64_t answer_timeout_ms)
      : port(port), metrics(metrics), answer_timeout_ms(answer_timeout_ms) {}

  ~OrderSender() { *this->alive = false; }

  OrderSender(const OrderSender&) = delete;
  OrderSender& operator=(const OrderSender&) = delete;

  /// Sets the epoch of the planner that gives the orders, for the log.
  void SetEpoch(std::uint64_t epoch) { this->epoch = epoch; }

  /// Drops the results of all orders that have been sent.
  void DropResults() { ++this->generation; }

  /// @{
  /// Send one order. `done` is called with its result.
  void Start(const StartOrder& order,
             std::function<void(const StartReply&)> done) {
    this->port.Start(
        order, this->Deadline(),
        this->Receive("start", {order.task, order.run}, std::move(done)));
  }
  void Stop(const StopOrder& order, std::function<void(OrderResult)> done) {
    this->port.Stop(
        order, this->Deadline(),
        this->Receive("stop", {order.task, order.run}, std::move(done)));
  }
  void Throttle(const PaceOrder& order, std::function<void(OrderResult)> done) {
    this->port.Throttle(
        order, this->Deadline(),
        this->Receive("pace " + std::to_string(order.percent),
                      {order.task, order.run}, std::move(done)));
  }
  /// @}

 private:
  Instant Deadline() const {
    return BootClock{}.Now().After(this->answer_timeout_ms);
  }

  template <typename Reply>
  std::function<void(Reply)> Receive(std::string name,
                                     RunKey run,
                                     std::function<void(Reply)> done) {
    return [this, alive = this->alive, generation = this->generation,
            name = std::move(name), run = std::move(run),
            done = std::move(done), sent = BootClock{}.Now()](Reply reply) {
      if (*alive && generation == this->generation) {
        this->LogResult(name, run, detail::ResultOf(reply), sent);
        done(reply);
      }
    };
  }

  void LogResult(const std::string& name,
                 const RunKey& run,
                 OrderResult result,
                 Instant sent) {
    this->metrics
        .GetCounter("carobrill_worker_orders_total",
                    "Orders to the worker, by order and result.",
                    {{"order", name}, {"result", std::string(NameOf(result))}})
        .Increment();
    Log(LogLevel::kInfo, "worker_order",
        {{"job", run.first.job.value},
         {"task", run.first.Position()},
         {"run", std::to_string(run.second)},
         {"order", name},
         {"result", std::string(NameOf(result))},
         {"epoch", std::to_string(this->epoch)},
         {"age_ms", std::to_string(BootClock{}.Now().ms - sent.ms)}});
  }

  Port& port;
  MetricsRegistry& metrics;
  std::int64_t answer_timeout_ms;
  std::uint64_t epoch = 0;
  std::uint64_t generation = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::worker_agent

#endif  // PACKAGES_WORKER_AGENT_ORDER_SENDER_H_
