#include "packages/testing/fake_log.h"

#include <glib.h>

#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace carobrill::testing {
namespace {

using Json = nlohmann::json;
using http::HttpRequest;
using http::HttpResponder;
using http::HttpResponse;

constexpr std::string_view kPrefix = "/v1/streams/";
constexpr std::string_view kSuffix = "/records";
constexpr std::uint32_t kMaxRecords = 10'000;

HttpResponse JsonResponse(int status, const Json& body) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

std::uint64_t QueryNumber(const HttpRequest& request,
                          const std::string& name,
                          std::uint64_t fallback) {
  const auto found = request.query.find(name);
  std::uint64_t value = fallback;
  if (found != request.query.end()) {
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), value);
  }
  return value;
}

std::string Encode(const std::string& data) {
  gchar* text = g_base64_encode(reinterpret_cast<const guchar*>(data.data()),
                                data.size());
  std::string encoded(text);
  g_free(text);
  return encoded;
}

std::string Decode(const std::string& text) {
  gsize size = 0;
  guchar* data = g_base64_decode(text.c_str(), &size);
  std::string decoded(reinterpret_cast<char*>(data), size);
  g_free(data);
  return decoded;
}

HttpResponse ReadResponse(const ReadReply& reply) {
  Json body = {{"lineage", reply.lineage},
               {"oldest_offset", reply.oldest_offset},
               {"next_offset", reply.next_offset}};
  if (reply.failure == StoreFailure::kExpired) {
    return JsonResponse(410, body);
  }
  body["records"] = Json::array();
  for (const auto& record : reply.records) {
    body["records"].push_back({{"offset", record.offset},
                               {"appended_at_ms", record.appended_at.ms},
                               {"data", Encode(record.data)}});
  }
  return JsonResponse(200, body);
}

}  // namespace

FakeLog::FakeLog(Task& task) : task(task) {
  this->server.emplace(
      task, [this](const HttpRequest& request, HttpResponder respond) {
        this->Handle(request, std::move(respond));
      });
}

// Responders hold objects that belong to the server's task and must be
// destroyed on it.
FakeLog::~FakeLog() {
  this->task.Run([this] {
    this->alive.reset();
    this->waiting_reads.clear();
    this->unanswered.clear();
    this->server.reset();
  });
}

Result<std::uint16_t> FakeLog::Listen(const std::string& address,
                                      std::uint16_t port) {
  return this->server->Listen(address, port);
}

void FakeLog::Handle(const HttpRequest& request, HttpResponder respond) {
  if (request.path == "/control" && request.method == "POST") {
    respond(this->Control(request.body));
  } else if (request.path == "/stats") {
    respond(this->Stats());
  } else {
    this->RunAfter(this->delay_ms, [this, request, respond] {
      this->HandleStream(request, respond);
    });
  }
}

void FakeLog::HandleStream(const HttpRequest& request,
                           const HttpResponder& respond) {
  const std::string& path = request.path;
  if (!path.starts_with(kPrefix) || !path.ends_with(kSuffix) ||
      path.size() <= kPrefix.size() + kSuffix.size()) {
    respond(JsonResponse(404, Json::object()));
    return;
  }
  if (this->outage) {
    respond(JsonResponse(503, Json::object()));
    return;
  }
  const std::string stream = path.substr(
      kPrefix.size(), path.size() - kPrefix.size() - kSuffix.size());
  if (request.method == "POST") {
    this->Append(stream, request, respond);
    return;
  }
  ReadQuery query{stream, QueryNumber(request, "from", 0),
                  static_cast<std::uint32_t>(std::min<std::uint64_t>(
                      QueryNumber(request, "max", kMaxRecords), kMaxRecords)),
                  0};
  const auto wait =
      static_cast<std::int64_t>(QueryNumber(request, "wait_ms", 0));
  this->RespondOrWait(
      {std::move(query), BootClock{}.Now().After(wait), respond});
}

void FakeLog::Append(const std::string& stream,
                     const HttpRequest& request,
                     const HttpResponder& respond) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("records") ||
      !body["records"].is_array()) {
    respond(JsonResponse(400, Json::object()));
    return;
  }
  std::vector<std::string> records;
  for (const auto& text : body["records"]) {
    records.push_back(Decode(text.is_string() ? text.get<std::string>() : ""));
  }
  const AppendReply reply =
      this->store.Append(stream, records, WallClock{}.Now());
  this->RespondToWaitingReads();
  if (this->ConsumeLostAnswer()) {
    // Keeps the connection open without a response, as in a network partition.
    this->unanswered.push_back(respond);
    return;
  }
  respond(JsonResponse(
      200, {{"lineage", reply.lineage}, {"first_offset", reply.first_offset}}));
}

bool FakeLog::ConsumeLostAnswer() {
  if (this->answers_to_lose == 0) {
    return false;
  }
  --this->answers_to_lose;
  return true;
}

void FakeLog::RespondOrWait(WaitingRead read) {
  const ReadReply reply = this->store.Read(read.query);
  const Instant now = BootClock{}.Now();
  if (this->outage) {
    read.respond(JsonResponse(503, Json::object()));
  } else if (reply.failure != StoreFailure::kNone || !reply.records.empty() ||
             read.query.from > reply.next_offset || now >= read.until) {
    read.respond(ReadResponse(reply));
  } else {
    this->RunAfter(read.until.RemainingMs(now),
                   [this] { this->RespondToWaitingReads(); });
    this->waiting_reads.push_back(std::move(read));
  }
}

void FakeLog::RespondToWaitingReads() {
  for (auto& read : std::exchange(this->waiting_reads, {})) {
    this->RespondOrWait(std::move(read));
  }
}

HttpResponse FakeLog::Control(const std::string& body) {
  try {
    this->ApplyFaults(Json::parse(body));
  } catch (const Json::exception& error) {
    return JsonResponse(400, {{"error", error.what()}});
  }
  this->RespondToWaitingReads();
  return this->Stats();
}

void FakeLog::ApplyFaults(const Json& json) {
  this->outage = json.value("outage", this->outage);
  this->delay_ms = json.value("delay_ms", this->delay_ms);
  if (json.contains("lose_answers")) {
    const Json& lose = json["lose_answers"];
    const auto all = std::numeric_limits<std::uint64_t>::max();
    this->answers_to_lose = lose.is_boolean() ? (lose.get<bool>() ? all : 0)
                                              : lose.get<std::uint64_t>();
  }
  const Json expired = json.value("expire_before", Json::object());
  for (const auto& [stream, offset] : expired.items()) {
    this->store.ExpireBefore(stream, offset.get<Offset>());
  }
  if (json.contains("new_lineage")) {
    this->store.StartLineage(json["new_lineage"] == "keep");
  }
}

HttpResponse FakeLog::Stats() const {
  return JsonResponse(200, {{"appends", this->store.Appends()},
                            {"bytes", this->store.AppendedBytes()},
                            {"lineage", this->store.Lineage()}});
}

void FakeLog::RunAfter(std::int64_t delay, Task::Message message) {
  if (delay <= 0) {
    message();
    return;
  }
  this->task.PostAt(
      BootClock{}.Now().After(delay),
      [guard = std::weak_ptr<int>(this->alive), message = std::move(message)] {
        if (!guard.expired()) {
          message();
        }
      });
}

}  // namespace carobrill::testing
