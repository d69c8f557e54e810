#include "packages/platform/worker_client.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace carobrill::platform {
namespace {

using Json = nlohmann::json;

constexpr double kMilli = 1000.0;
constexpr double kMaxMilli = 1e9;

// The protocol sends cores as a number that may be fractional.
std::optional<std::uint32_t> ReadMilli(const Json& json, const char* name) {
  const auto found = json.find(name);
  if (found == json.end() || !found->is_number()) {
    return std::nullopt;
  }
  const double milli = std::round(found->get<double>() * kMilli);
  if (!(milli >= 0 && milli <= kMaxMilli)) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(milli);
}

std::optional<std::uint32_t> ReadCount(const Json& json, const char* name) {
  const auto found = json.find(name);
  if (found == json.end() || !found->is_number_unsigned() ||
      found->get<std::uint64_t>() > UINT32_MAX) {
    return std::nullopt;
  }
  return found->get<std::uint32_t>();
}

std::string ReadString(const Json& json, const char* name) {
  const auto found = json.find(name);
  return found != json.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

std::optional<WorkerDescription> ParseDescription(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto cores = ReadMilli(json, "cores");
  const auto memory = ReadCount(json, "memory_mb");
  const auto accelerators = ReadCount(json, "accelerators");
  if (!cores || !memory || !accelerators) {
    return std::nullopt;
  }
  return WorkerDescription{ReadString(json, "worker"), *cores, *memory,
                           *accelerators};
}

// A malformed usage object is ignored; the task state is still used.
void ParseUsage(const Json& json, WorkerTask& task) {
  const auto usage = json.find("usage");
  if (usage == json.end() || !usage->is_object()) {
    return;
  }
  const auto cores = ReadMilli(*usage, "cores");
  const auto memory = ReadCount(*usage, "memory_mb");
  const auto age = ReadCount(*usage, "age_ms");
  if (!cores || !memory || !age) {
    return;
  }
  task.has_usage = true;
  task.cores_milli = *cores;
  task.memory_mb = *memory;
  task.usage_age_ms = *age;
}

std::optional<WorkerTask> ParseTask(const Json& json) {
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto state = FindByName<WorkerTaskState>(ReadString(json, "state"));
  if (!state.has_value()) {
    return std::nullopt;
  }
  WorkerTask task;
  task.task = ReadString(json, "task");
  task.state = *state;
  task.checkpoint = ReadString(json, "checkpoint");
  ParseUsage(json, task);
  return task;
}

// The list is a bare array or {"tasks": [..]}. One malformed task invalidates
// the whole list: treating that task as missing would end its gang member.
std::optional<std::vector<WorkerTask>> ParseList(const std::string& body) {
  Json json = Json::parse(body, nullptr, false);
  if (json.is_object() && json.contains("tasks")) {
    json = Json(json["tasks"]);
  }
  if (!json.is_array()) {
    return std::nullopt;
  }
  std::vector<WorkerTask> tasks;
  for (const auto& item : json) {
    auto task = ParseTask(item);
    if (!task.has_value()) {
      return std::nullopt;
    }
    tasks.push_back(std::move(*task));
  }
  return tasks;
}

template <typename T, typename Parse>
http::HttpClient::Callback WithParser(PlatformCallback<T> callback,
                                      Parse parse) {
  return [callback = std::move(callback),
          parse](const http::HttpClientResult& reply) {
    PlatformReply<T> result;
    result.failure = FailureOf(reply);
    if (result.Ok()) {
      auto value = parse(reply.body);
      if (value.has_value()) {
        result.value = std::move(*value);
      } else {
        result.failure = PlatformFailure::kMalformed;
      }
    }
    callback(std::move(result));
  };
}

http::HttpClientRequest Post(std::string url,
                             std::string body,
                             Instant deadline) {
  http::HttpClientRequest call;
  call.method = "POST";
  call.url = std::move(url);
  call.body = std::move(body);
  call.deadline = deadline;
  return call;
}

http::HttpClientRequest Get(std::string url, Instant deadline) {
  http::HttpClientRequest call;
  call.url = std::move(url);
  call.deadline = deadline;
  return call;
}

}  // namespace

WorkerClient::WorkerClient(http::HttpClient& http, std::string url)
    : http(http), url(std::move(url)) {}

void WorkerClient::Describe(Instant deadline,
                            PlatformCallback<WorkerDescription> callback) {
  this->http.Send(Get(this->url + "/v1/worker", deadline),
                  WithParser(std::move(callback), ParseDescription));
}

void WorkerClient::Start(const WorkerTaskSpec& spec,
                         Instant deadline,
                         PlatformCallback<Done> callback) {
  Json json = {{"task", spec.task},
               {"lease_ms", spec.lease_ms},
               {"cores", spec.cores_milli / kMilli},
               {"memory_mb", spec.memory_mb},
               {"accelerators", spec.accelerators},
               {"run_ms", spec.run_ms},
               {"payload", spec.payload}};
  if (!spec.checkpoint.empty()) {
    json["checkpoint"] = spec.checkpoint;
  }
  this->Send(
      Post(this->url + "/v1/tasks",
           json.dump(-1, ' ', false, Json::error_handler_t::replace), deadline),
      std::move(callback));
}

void WorkerClient::RenewLease(const std::string& task,
                              std::int64_t lease_ms,
                              Instant deadline,
                              PlatformCallback<Done> callback) {
  this->PostToTask(task, "lease", Json{{"lease_ms", lease_ms}}.dump(), deadline,
                   std::move(callback));
}

void WorkerClient::Stop(const std::string& task,
                        Instant deadline,
                        PlatformCallback<Done> callback) {
  this->PostToTask(task, "stop", "{}", deadline, std::move(callback));
}

void WorkerClient::Checkpoint(const std::string& task,
                              Instant deadline,
                              PlatformCallback<Done> callback) {
  this->PostToTask(task, "checkpoint", "{}", deadline, std::move(callback));
}

void WorkerClient::Throttle(const std::string& task,
                            std::uint32_t share_permille,
                            Instant deadline,
                            PlatformCallback<Done> callback) {
  this->PostToTask(task, "throttle",
                   Json{{"share", share_permille / kMilli}}.dump(), deadline,
                   std::move(callback));
}

void WorkerClient::List(Instant deadline,
                        PlatformCallback<std::vector<WorkerTask>> callback) {
  this->http.Send(Get(this->url + "/v1/tasks", deadline),
                  WithParser(std::move(callback), ParseList));
}

void WorkerClient::Send(http::HttpClientRequest call,
                        PlatformCallback<Done> callback) {
  this->http.Send(std::move(call),
                  WithParser(std::move(callback), [](const std::string&) {
                    return std::optional<Done>(Done{});
                  }));
}

// These calls are idempotent, which allows connection reuse. Opening a new
// connection for each lease renewal (one per task and second) would account for
// most of an agent's cost.
void WorkerClient::PostToTask(const std::string& task,
                              const std::string& action,
                              std::string body,
                              Instant deadline,
                              PlatformCallback<Done> callback) {
  http::HttpClientRequest call =
      Post(this->url + "/v1/tasks/" + EscapePathSegment(task) + "/" + action,
           std::move(body), deadline);
  call.idempotent = true;
  this->Send(std::move(call), std::move(callback));
}

}  // namespace carobrill::platform
