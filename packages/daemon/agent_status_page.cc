#include "packages/daemon/agent_status_page.h"

#include <string>
#include <string_view>

namespace carobrill::daemon {
namespace {

constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;

void AppendMetric(std::string& text,
                  std::string_view name,
                  std::string_view kind,
                  std::uint64_t value) {
  text.append("# TYPE ").append(name).append(" ").append(kind).append("\n");
  text.append(name).append(" ").append(std::to_string(value)).append("\n");
}

std::string MetricsText(const AgentStatus& status) {
  std::string text;
  AppendMetric(text, "carobrill_agent_serving", "gauge",
               status.state == agent::GateState::kServing ? 1 : 0);
  AppendMetric(text, "carobrill_agent_holds_lease", "gauge",
               status.holds_lease ? 1 : 0);
  AppendMetric(text, "carobrill_agent_slots_used", "gauge", status.slots_used);
  AppendMetric(text, "carobrill_agent_attempts_passed_total", "counter",
               status.attempts_forwarded);
  AppendMetric(text, "carobrill_agent_attempts_refused_total", "counter",
               status.attempts_refused);
  AppendMetric(text, "carobrill_agent_accelerators_used", "gauge",
               status.worker_usage.accelerators);
  AppendMetric(text, "carobrill_agent_gangs_watched", "gauge",
               status.gangs_watched);
  return text;
}

}  // namespace

http::HttpResponse HandleStatusRequest(const http::HttpRequest& request,
                                       const AgentStatus& status) {
  if (request.path == "/metrics") {
    return {200, MetricsText(status), "text/plain; version=0.0.4", {}};
  }
  if (request.path == "/healthz") {
    return {200, "ok\n", "text/plain", {}};
  }
  if (request.path == "/readyz") {
    const bool ready =
        status.state == agent::GateState::kServing && status.holds_lease;
    return {ready ? 200 : kUnavailable,
            std::string(NameOf(status.state)) + "\n",
            "text/plain",
            {}};
  }
  return {kNotFound, "", "text/plain", {}};
}

}  // namespace carobrill::daemon
