#include "packages/platform/log_client.h"

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>

#include "packages/http/http_server.h"
#include "packages/testing/fake_log.h"

namespace carobrill::platform {
namespace {

constexpr const char* kStream = "carobrill.records";

struct LogServiceFixture {
  LogServiceFixture() : log(server_task), http(client_task) {
    this->url = "http://127.0.0.1:" +
                std::to_string(this->log.Listen("127.0.0.1", 0).value());
    this->client = std::make_unique<LogClient>(this->http, this->url);
  }

  AppendReply Append(const std::vector<std::string>& records,
                     std::int64_t timeout_ms = 2'000) {
    std::promise<AppendReply> promise;
    this->client->Append(
        kStream, records, BootClock{}.Now().After(timeout_ms),
        [&](const AppendReply& reply) { promise.set_value(reply); });
    return promise.get_future().get();
  }

  std::future<ReadReply> StartRead(Offset from,
                                   std::uint32_t max,
                                   std::int64_t wait_ms) {
    auto promise = std::make_shared<std::promise<ReadReply>>();
    this->client->Read(
        {kStream, from, max, wait_ms}, BootClock{}.Now().After(2'000 + wait_ms),
        [promise](const ReadReply& reply) { promise->set_value(reply); });
    return promise->get_future();
  }

  ReadReply Read(Offset from, std::uint32_t max = 100) {
    return this->StartRead(from, max, 0).get();
  }

  http::HttpClientResult Control(const std::string& body) {
    http::HttpClientRequest call;
    call.method = "POST";
    call.url = this->url + "/control";
    call.body = body;
    return this->http.SendAndWait(call);
  }

  Task server_task{"server"};
  Task client_task{"client"};
  testing::FakeLog log;
  http::HttpClient http;
  std::string url;
  std::unique_ptr<LogClient> client;
};

// Guards against data that is altered in transit and against a read that
// returns more records than requested.
TEST_CASE("records come back as they were appended, in parts") {
  LogServiceFixture service;
  const std::string binary("\0\xff\n\"x", 5);
  const AppendReply appended = service.Append({binary, "", "third"});
  REQUIRE(appended.failure == StoreFailure::kNone);
  CHECK(appended.lineage == "lineage-1");
  CHECK(service.Append({"fourth"}).first_offset == 3);
  const ReadReply part = service.Read(0, 2);
  CHECK(part.failure == StoreFailure::kNone);
  CHECK(part.next_offset == 4);
  REQUIRE(part.records.size() == 2);
  CHECK(part.records[0].data == binary);
  CHECK(part.records[1].data.empty());
  CHECK(part.records[0].appended_at.ms > 0);
  const ReadReply rest = service.Read(2);
  REQUIRE(rest.records.size() == 2);
  CHECK(rest.records[1] ==
        StoreRecord{3, rest.records[1].appended_at, "fourth"});
}

// Guards against a tail read that polls, or that returns a new record only
// after its wait time.
TEST_CASE("a waiting read is answered by the next append") {
  LogServiceFixture service;
  auto read = service.StartRead(0, 10, 5'000);
  CHECK(read.wait_for(std::chrono::milliseconds(100)) ==
        std::future_status::timeout);
  const Instant start = BootClock{}.Now();
  service.Append({"x"});
  CHECK(read.get().records.size() == 1);
  CHECK(BootClock{}.Now() < start.After(2'000));
  const Instant empty_start = BootClock{}.Now();
  CHECK(service.StartRead(1, 10, 100).get().records.empty());
  CHECK(BootClock{}.Now() >= empty_start.After(95));
}

// Guards against treating a lost response as a refusal although the append took
// effect.
TEST_CASE("faults of the service have their own kinds") {
  LogServiceFixture service;
  service.Control(R"({"outage": true})");
  CHECK(service.Append({"x"}).failure == StoreFailure::kUnavailable);
  CHECK(service.Read(0).failure == StoreFailure::kUnavailable);
  service.Control(R"({"outage": false, "lose_answers": 1})");
  CHECK(service.Append({"a"}, 100).failure == StoreFailure::kNoAnswer);
  CHECK(service.Append({"b"}).first_offset == 1);
  service.Control(R"({"expire_before": {"carobrill.records": 1}})");
  const ReadReply expired = service.Read(0);
  CHECK(expired.failure == StoreFailure::kExpired);
  CHECK(expired.oldest_offset == 1);
  service.Control(R"({"new_lineage": "keep", "delay_ms": 50})");
  const Instant start = BootClock{}.Now();
  CHECK(service.Read(1).lineage == "lineage-2");
  CHECK(BootClock{}.Now() >= start.After(45));
  service.Control(R"({"new_lineage": "empty", "delay_ms": 0})");
  CHECK(service.Read(0).next_offset == 0);
  http::HttpClientRequest stats;
  stats.url = service.url + "/stats";
  CHECK(service.http.SendAndWait(stats).body ==
        R"({"appends":2,"bytes":2,"lineage":"lineage-3"})");
}

// Guards against accepting records from a malformed response, which would make
// replicas diverge.
TEST_CASE("a response that breaks the protocol is refused") {
  Task server_task("server");
  Task client_task("client");
  http::HttpResponse response;
  http::HttpServer server(
      server_task, [&](const http::HttpRequest&, http::HttpResponder respond) {
        respond(response);
      });
  const auto port = server.Listen("127.0.0.1", 0).value();
  http::HttpClient http(client_task);
  LogClient client(http, "http://127.0.0.1:" + std::to_string(port));
  const auto read = [&](int status, const std::string& body) {
    server_task.Run([&] {
      response.status = status;
      response.body = body;
    });
    std::promise<StoreFailure> promise;
    client.Read(
        {kStream, 5, 10, 0}, BootClock{}.Now().After(2'000),
        [&](const ReadReply& reply) { promise.set_value(reply.failure); });
    return promise.get_future().get();
  };
  const auto records = [](const std::string& list) {
    return R"({"lineage":"l","oldest_offset":0,"next_offset":9,"records":[)" +
           list + "]}";
  };
  const std::string fifth = R"({"offset":5,"appended_at_ms":1,"data":"YQ=="})";
  CHECK(read(200, records(fifth)) == StoreFailure::kNone);
  CHECK(read(200, "{") == StoreFailure::kMalformed);
  CHECK(read(200, R"({"lineage":"l"})") == StoreFailure::kMalformed);
  CHECK(read(200, records(fifth + "," + fifth)) == StoreFailure::kMalformed);
  CHECK(read(200, records(R"({"offset":6,"appended_at_ms":1,"data":""})")) ==
        StoreFailure::kMalformed);
  CHECK(
      read(200, records(R"({"offset":5,"appended_at_ms":1,"data":"Y*=="})")) ==
      StoreFailure::kMalformed);
  CHECK(read(200, records(R"({"offset":5,"data":"YQ=="})")) ==
        StoreFailure::kMalformed);
  CHECK(read(410, "{}") == StoreFailure::kMalformed);
  CHECK(read(500, "") == StoreFailure::kMalformed);
  CHECK(read(503, "") == StoreFailure::kUnavailable);
}

}  // namespace
}  // namespace carobrill::platform
