#include "tests/soak/worker.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace carobrill::soak {
namespace {

constexpr std::string_view kUntil = "\"until_ms\":";
constexpr std::int64_t kHeartbeatTimeoutMs = 1'000;
/// The stand-in's clock shows this time when it starts.
constexpr std::int64_t kFirstClockMs = 1'000;

}  // namespace

Worker::Worker(standin::RunnerSettings settings,
               Endpoint agent_heartbeat,
               const std::string& proxy_ip,
               std::uint64_t seed,
               standin::Record& record,
               standin::RunLog& runs,
               standin::Runner::WorkOf work_of)
    : hold_max_ms(settings.hold_max_ms),
      record(record),
      heartbeats(std::make_unique<Proxy>(Endpoint{"127.0.0.1", 0},
                                         std::move(agent_heartbeat),
                                         seed,
                                         ProxyHooks{})),
      heartbeat_server([this](const standin::Request& request) {
        return this->PassHeartbeat(request);
      }) {
  this->runner = std::make_unique<standin::Runner>(
      std::move(settings), this->heartbeat_server.Port(), record, runs,
      std::move(work_of));
  this->BeginIncarnation();
  ProxyHooks hooks;
  hooks.on_request = [this](std::string_view bytes) {
    this->ObserveOrders(bytes);
  };
  this->orders = std::make_unique<Proxy>(
      Endpoint{proxy_ip, 0}, Endpoint{"127.0.0.1", this->runner->Port()},
      seed + 1, std::move(hooks));
}

void Worker::BeginIncarnation() {
  const std::lock_guard lock(this->mutex);
  const std::int64_t now = standin::NowMs();
  this->clock_base_ms = now - kFirstClockMs;
  this->extensions.push_back({now, 0});
}

void Worker::Crash(bool refuse) {
  // Stopping the stand-in's server would free its port.
  this->runner->Crash(/*silently=*/true);
  if (refuse) {
    LinkFault fault;
    fault.refuse = true;
    this->refusal = this->orders->Add(fault);
  }
}

void Worker::Restart() {
  this->draining = false;
  this->runner->Restart();
  this->BeginIncarnation();
  if (this->refusal.has_value()) {
    this->orders->Remove(*std::exchange(this->refusal, std::nullopt));
  }
}

void Worker::Drain() {
  this->record.Line("runner " + this->Id() + " drains");
  this->draining = true;
}

void Worker::Leave() {
  this->record.Line("runner " + this->Id() + " leaves");
  standin::Call(this->heartbeats->Listen().port, "DELETE",
                "/instances/" + this->Id(), {{"Host", "127.0.0.1"}}, "",
                kHeartbeatTimeoutMs);
  this->Crash(/*refuse=*/true);
}

standin::Response Worker::PassHeartbeat(const standin::Request& request) {
  auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (this->draining && body.is_object()) {
    body["state"] = "draining";
    body["drain_left_ms"] = 2'000;
  }
  standin::Response response = standin::Call(
      this->heartbeats->Listen().port, request.method, request.path,
      {{"Host", "127.0.0.1"}, {"Content-Type", "application/json"}},
      body.dump(), kHeartbeatTimeoutMs);
  if (response.status == 0) {
    response.action = standin::Action::kClose;
  }
  return response;
}

void Worker::ObserveOrders(std::string_view bytes) {
  const std::lock_guard lock(this->mutex);
  this->unparsed.append(bytes);
  const std::int64_t now = standin::NowMs();
  while (true) {
    const auto at = this->unparsed.find(kUntil);
    if (at == std::string::npos) {
      break;
    }
    const std::size_t begin = at + kUntil.size();
    const std::size_t end =
        this->unparsed.find_first_not_of("0123456789", begin);
    if (end == std::string::npos) {
      return;
    }
    std::int64_t until = 0;
    std::from_chars(this->unparsed.data() + begin, this->unparsed.data() + end,
                    until);
    this->extensions.push_back(
        {now, std::min(until + this->clock_base_ms, now + this->hold_max_ms)});
    this->unparsed.erase(0, end);
  }
  // The beginning of a field name that continues in the next bytes.
  if (this->unparsed.size() > kUntil.size()) {
    this->unparsed.erase(0, this->unparsed.size() - kUntil.size());
  }
}

std::optional<std::int64_t> Worker::LapseAfter(std::int64_t began_ms) {
  const std::lock_guard lock(this->mutex);
  std::int64_t until_ms = 0;
  for (const LeaseExtension& extension : this->extensions) {
    if (extension.at_ms > began_ms && until_ms > began_ms &&
        extension.at_ms > until_ms) {
      return until_ms;
    }
    until_ms =
        extension.until_ms == 0 ? 0 : std::max(until_ms, extension.until_ms);
  }
  return until_ms > began_ms ? std::optional(until_ms) : std::nullopt;
}

}  // namespace carobrill::soak
