#include "packages/platform/log_client.h"

#include <glib.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace carobrill::platform {
namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusGone = 410;
constexpr int kStatusUnavailable = 503;

std::string EncodeBase64(const std::string& data) {
  const std::unique_ptr<gchar, decltype(&g_free)> text(
      g_base64_encode(reinterpret_cast<const guchar*>(data.data()),
                      data.size()),
      g_free);
  return text.get();
}

// g_base64_decode skips invalid characters, so corrupt input is detected only
// by its length: valid text has four characters for every three bytes.
std::optional<std::string> DecodeBase64(const std::string& text) {
  constexpr std::size_t kCharacters = 4;
  constexpr std::size_t kBytes = 3;
  if (text.empty()) {
    return std::string();
  }
  gsize size = 0;
  const std::unique_ptr<guchar, decltype(&g_free)> data(
      g_base64_decode(text.c_str(), &size), g_free);
  if (text.size() % kCharacters != 0 ||
      (size + kBytes - 1) / kBytes * kCharacters != text.size()) {
    return std::nullopt;
  }
  return std::string(reinterpret_cast<const char*>(data.get()), size);
}

// With status 503 the service itself refused the call. Any other error status
// leaves open whether the call took effect.
StoreFailure FailureOf(const http::HttpClientResult& reply) {
  switch (reply.failure) {
    case http::HttpFailure::kNone:
      break;
    case http::HttpFailure::kInvalidUrl:
      return StoreFailure::kUnavailable;
    case http::HttpFailure::kUnreachable:
    case http::HttpFailure::kTimeout:
    case http::HttpFailure::kTruncated:
    case http::HttpFailure::kTooLarge:
      return StoreFailure::kNoAnswer;
  }
  if (reply.status == kStatusUnavailable) {
    return StoreFailure::kUnavailable;
  }
  return reply.status == kStatusOk ? StoreFailure::kNone
                                   : StoreFailure::kMalformed;
}

bool HasUnsignedInteger(const Json& json, const char* name) {
  return json.contains(name) && json[name].is_number_integer() &&
         json[name].get<std::int64_t>() >= 0;
}

bool HasString(const Json& json, const char* name) {
  return json.contains(name) && json[name].is_string();
}

Json ParseBody(const std::string& body) {
  return Json::parse(body, nullptr, /*allow_exceptions=*/false);
}

AppendReply ParseAppend(const http::HttpClientResult& reply) {
  AppendReply result;
  result.failure = FailureOf(reply);
  if (result.failure != StoreFailure::kNone) {
    return result;
  }
  const Json json = ParseBody(reply.body);
  if (!json.is_object() || !HasString(json, "lineage") ||
      !HasUnsignedInteger(json, "first_offset")) {
    result.failure = StoreFailure::kMalformed;
    return result;
  }
  result.lineage = json["lineage"].get<std::string>();
  result.first_offset = json["first_offset"].get<Offset>();
  return result;
}

std::optional<StoreRecord> ParseRecord(const Json& json) {
  if (!json.is_object() || !HasUnsignedInteger(json, "offset") ||
      !HasUnsignedInteger(json, "appended_at_ms") || !HasString(json, "data")) {
    return std::nullopt;
  }
  auto data = DecodeBase64(json["data"].get_ref<const std::string&>());
  if (!data.has_value()) {
    return std::nullopt;
  }
  return StoreRecord{json["offset"].get<Offset>(),
                     Instant{json["appended_at_ms"].get<std::int64_t>()},
                     std::move(*data)};
}

// Records must be contiguous from the requested offset: a gap within a response
// would go unnoticed when the records are applied.
bool ParseRecords(const Json& json, Offset from, ReadReply& reply) {
  if (!json.is_array()) {
    return false;
  }
  for (const auto& entry : json) {
    auto record = ParseRecord(entry);
    if (!record.has_value() || record->offset != from + reply.records.size()) {
      return false;
    }
    reply.records.push_back(std::move(*record));
  }
  return true;
}

ReadReply FailedRead(StoreFailure failure) {
  ReadReply reply;
  reply.failure = failure;
  return reply;
}

ReadReply ParseExpired(const Json& json) {
  if (!json.is_object() || !HasUnsignedInteger(json, "oldest_offset")) {
    return FailedRead(StoreFailure::kMalformed);
  }
  ReadReply reply = FailedRead(StoreFailure::kExpired);
  reply.oldest_offset = json["oldest_offset"].get<Offset>();
  if (HasString(json, "lineage")) {
    reply.lineage = json["lineage"].get<std::string>();
  }
  return reply;
}

ReadReply ParseRead(const http::HttpClientResult& http,
                    const ReadQuery& query) {
  if (http.failure == http::HttpFailure::kNone && http.status == kStatusGone) {
    return ParseExpired(ParseBody(http.body));
  }
  const StoreFailure failure = FailureOf(http);
  if (failure != StoreFailure::kNone) {
    return FailedRead(failure);
  }
  const Json json = ParseBody(http.body);
  ReadReply reply;
  if (!json.is_object() || !HasString(json, "lineage") ||
      !HasUnsignedInteger(json, "oldest_offset") ||
      !HasUnsignedInteger(json, "next_offset") || !json.contains("records") ||
      !ParseRecords(json["records"], query.from, reply)) {
    return FailedRead(StoreFailure::kMalformed);
  }
  reply.lineage = json["lineage"].get<std::string>();
  reply.oldest_offset = json["oldest_offset"].get<Offset>();
  reply.next_offset = json["next_offset"].get<Offset>();
  return reply;
}

}  // namespace

LogClient::LogClient(http::HttpClient& client, std::string url)
    : client(client), url(std::move(url)) {}

void LogClient::Append(const std::string& stream,
                       const std::vector<std::string>& records,
                       Instant deadline,
                       AppendCallback callback) {
  Json body;
  body["records"] = Json::array();
  for (const auto& record : records) {
    body["records"].push_back(EncodeBase64(record));
  }
  http::HttpClientRequest call;
  call.method = "POST";
  call.url = this->UrlOf(stream);
  call.body = body.dump();
  call.deadline = deadline;
  this->client.Send(std::move(call), [callback = std::move(callback)](
                                         const http::HttpClientResult& reply) {
    callback(ParseAppend(reply));
  });
}

void LogClient::Read(const ReadQuery& query,
                     Instant deadline,
                     ReadCallback callback) {
  http::HttpClientRequest call;
  call.url = this->UrlOf(query.stream) + "?from=" + std::to_string(query.from) +
             "&max=" + std::to_string(query.max) +
             "&wait_ms=" + std::to_string(query.wait_ms);
  call.deadline = deadline;
  this->client.Send(std::move(call), [query, callback = std::move(callback)](
                                         const http::HttpClientResult& reply) {
    callback(ParseRead(reply, query));
  });
}

std::string LogClient::UrlOf(const std::string& stream) const {
  return this->url + "/v1/streams/" + stream + "/records";
}

}  // namespace carobrill::platform
