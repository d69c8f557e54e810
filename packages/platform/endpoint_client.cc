#include "packages/platform/endpoint_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace carobrill::platform {
namespace {

using Json = nlohmann::json;

// A response whose attempt does not match belongs to another request;
// forwarding it would give one caller the answer to another caller's request.
PlatformReply<std::string> ParseAnswer(const http::HttpClientResult& reply,
                                       const std::string& attempt) {
  PlatformReply<std::string> result;
  result.failure = FailureOf(reply);
  if (!result.Ok()) {
    return result;
  }
  const Json json = Json::parse(reply.body, nullptr, false);
  if (!json.is_object() || !json.contains("attempt") ||
      !json["attempt"].is_string() || !json.contains("answer") ||
      !json["answer"].is_string()) {
    result.failure = PlatformFailure::kMalformed;
  } else if (json["attempt"].get<std::string>() != attempt) {
    result.failure = PlatformFailure::kMisrouted;
  } else {
    result.value = json["answer"].get<std::string>();
  }
  return result;
}

PlatformReply<EndpointHealth> ParseHealth(const http::HttpClientResult& reply) {
  if (reply.failure == http::HttpFailure::kNone) {
    return {PlatformFailure::kNone,
            reply.Ok() ? EndpointHealth::kServing : EndpointHealth::kLeaving};
  }
  return {FailureOf(reply), EndpointHealth::kLeaving};
}

}  // namespace

EndpointClient::EndpointClient(http::HttpClient& http, std::string url)
    : http(http), url(std::move(url)) {}

void EndpointClient::Execute(const std::string& attempt,
                             const std::string& payload,
                             std::int64_t run_ms,
                             Instant deadline,
                             PlatformCallback<std::string> callback) {
  const Json json = {
      {"attempt", attempt}, {"payload", payload}, {"run_ms", run_ms}};
  http::HttpClientRequest call;
  call.method = "POST";
  call.url = this->url + "/v1/execute";
  call.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  call.deadline = deadline;
  this->http.Send(std::move(call), [attempt, callback = std::move(callback)](
                                       const http::HttpClientResult& reply) {
    callback(ParseAnswer(reply, attempt));
  });
}

void EndpointClient::Health(Instant deadline,
                            PlatformCallback<EndpointHealth> callback) {
  http::HttpClientRequest call;
  call.url = this->url + "/v1/health";
  call.deadline = deadline;
  this->http.Send(std::move(call), [callback = std::move(callback)](
                                       const http::HttpClientResult& reply) {
    callback(ParseHealth(reply));
  });
}

}  // namespace carobrill::platform
