#include <doctest/doctest.h>

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "platform/advice_client.h"
#include "platform/configuration_codec.h"
#include "platform/heartbeat_codec.h"
#include "platform/job_codec.h"
#include "platform/runner_client.h"
#include "platform/store_client.h"

namespace carobrill::adapter {
namespace {

using workload::RunEnd;

template <typename Function>
bool FailsToDecode(Function&& function) {
  return ErrorFrom<FormatError>(std::forward<Function>(function)).has_value();
}

TEST_CASE("keyed records are written and read in the store's raw form") {
  const std::string body = detail::EncodeEntries({{"key", "value"}, {"k", ""}});
  CHECK(body == std::string("\0\0\0\x09\x03keyvalue\0\0\0\x02\x01k", 19));
  std::string tail(16, '\0');
  tail[7] = 9;
  const auto reply = detail::DecodeTail(tail + body, 7);
  REQUIRE(reply.failure == KeyedLogFailure::kNone);
  REQUIRE(reply.records.size() == 2);
  CHECK(reply.records[1].offset == 8);
  CHECK(reply.records[1].entry == KeyedEntry{"k", ""});
  CHECK(reply.next == 9);
  CHECK(reply.end == 9);
}

TEST_CASE("a cut record is malformed; a record without a key is left out") {
  const std::string header(16, '\0');
  CHECK(detail::DecodeTail(header + std::string("\0\0\0\x09\x03k", 6), 0)
            .failure == KeyedLogFailure::kMalformed);
  CHECK(detail::DecodeTail("short", 0).failure == KeyedLogFailure::kMalformed);
  const auto mixed = detail::DecodeTail(
      header + std::string("\0\0\0\0", 4) + detail::EncodeEntries({{"a", "b"}}),
      4);
  REQUIRE(mixed.records.size() == 1);
  CHECK(mixed.records[0].offset == 5);
}

TEST_CASE("a snapshot with values of other types does not end the process") {
  // Guards against one malformed message that takes a whole process down.
  for (const char* text :
       {"", "5", "{}", R"({"end":-1,"items":[]})", R"({"end":1,"items":5})"}) {
    CAPTURE(text);
    CHECK(detail::DecodeSnapshot(text).failure == KeyedLogFailure::kMalformed);
  }
  const auto reply = detail::DecodeSnapshot(
      R"({"end":9,"more":"yes","items":[5,{"key":1},{"key":"k","value":3},)"
      R"({"key":"k","value":"dg==","offset":"x"},)"
      R"({"key":"k","value":"dg==","offset":4}]})");
  CHECK(reply.failure == KeyedLogFailure::kNone);
  CHECK_FALSE(reply.more);
  REQUIRE(reply.records.size() == 1);
  CHECK(reply.records[0].entry == KeyedEntry{"k", "v"});
}

TEST_CASE("task names are read back, and other text is refused") {
  const workload::TaskKey task{JobId("5c0e7a21d94b36f8"), 1, 2, 17};
  CHECK(EncodeTaskName(task) == "5c0e7a21d94b36f8.1.2.17");
  CHECK(DecodeTaskName("5c0e7a21d94b36f8.1.2.17") == task);
  for (const char* text :
       {"", "x", "x.1.2", "x.1.2.3.4", "x.1.a.3", ".1.2.3"}) {
    CAPTURE(text);
    CHECK_FALSE(DecodeTaskName(text).has_value());
  }
}

TEST_CASE("a runner's lists are read row by row") {
  const auto lists = detail::DecodeTaskLists(
      R"({"clock_ms":5,"born":7,"running_tasks":[["a.0.1.2",3,"c",41,900],5],)"
      R"("ended_tasks":[[58,"a.0.1.9",1,"lapsed",""],[59,"a.0.1.8",1,"?"]]})");
  CHECK(lists.worker_clock_ms == 5);
  CHECK(lists.born_ms == 7);
  REQUIRE(lists.running.size() == 1);
  CHECK(lists.running[0].percent == 41);
  CHECK(lists.running[0].checkpoint == "c");
  REQUIRE(lists.ended.size() == 1);
  CHECK(lists.ended[0].end == RunEnd::kLeaseExpired);
  CHECK(detail::DecodeTaskLists("[]").result ==
        worker_agent::OrderResult::kNoAnswer);
}

TEST_CASE("a list with as many ends as fit is not taken as complete") {
  // Guards against repeating a task that is done: its end is not listed yet.
  const auto decode = [](int ends) {
    std::string rows;
    for (int i = 1; i <= ends; ++i) {
      rows += (i > 1 ? "," : "") + std::string("[") + std::to_string(i) +
              R"(,"a.0.1.9",1,"done",""])";
    }
    return detail::DecodeTaskLists(R"({"clock_ms":5,"ended_tasks":[)" + rows +
                                   "]}");
  };
  CHECK_FALSE(decode(499).ends_truncated);
  CHECK(decode(500).ends_truncated);
  CHECK_FALSE(detail::DecodeTaskLists("{}").ends_truncated);
}

TEST_CASE("a submission is read with its omitted fields") {
  auto spec = DecodeJobSpec(
      R"({"task_spec":"t","steps":[{"count":4,"cpu":500,"gpu":2,"gang":true},)"
      R"({"count":2,"depends_on":[0],"checkpointable":true}]})");
  REQUIRE(spec);
  CHECK(spec->steps[0].gang);
  CHECK(spec->steps[0].demand.accelerators == 2);
  CHECK(spec->steps[1].depends_on == std::vector<std::uint32_t>{0});
  CHECK(spec->Occurrences() == 1);
}

TEST_CASE("malformed submissions are typed errors") {
  for (const char* body :
       {"", "[]", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
        R"({"steps":[{"count":1,"depends_on":[0]}]})",
        R"({"steps":[{"count":"1"}]})", R"({"task_spec":1,"steps":[{}]})",
        R"({"steps":[{"count":1,"cpu":-1}]})"}) {
    CAPTURE(body);
    CHECK(FailsToDecode([&] { return DecodeJobSpec(body); }));
  }
}

TEST_CASE("a gang may have as many tasks as any other step") {
  // Guards against gangs that are refused although their record can be stored.
  const auto body = [](std::uint32_t count) {
    return R"({"steps":[{"count":1},{"gang":true,"count":)" +
           std::to_string(count) + "}]}";
  };
  CHECK(DecodeJobSpec(body(10'000)));
  CHECK(FailsToDecode([&] { return DecodeJobSpec(body(10'001)); }));
}

TEST_CASE("a schedule whose due times overflow is refused") {
  // Guards against occurrences that are due in the distant past.
  const auto body = [](std::int64_t first_ms, std::int64_t interval_ms) {
    return R"({"steps":[{"count":1}],"repeat_count":3,"first_ms":)" +
           std::to_string(first_ms) + R"(,"interval_ms":)" +
           std::to_string(interval_ms) + "}";
  };
  constexpr std::int64_t kLatest = std::numeric_limits<std::int64_t>::max();
  CHECK(DecodeJobSpec(body(kLatest - 300, 100)));
  for (const auto& [first_ms, interval_ms] :
       {std::pair<std::int64_t, std::int64_t>{kLatest - 299, 100},
        {1'000, kLatest / 2},
        {1'000, -1},
        {-1, 1'000}}) {
    const std::string text = body(first_ms, interval_ms);
    CHECK(FailsToDecode([&] { return DecodeJobSpec(text); }));
  }
}

TEST_CASE("a step that is named twice in depends_on is needed once") {
  // Guards against passes that take longer with each repetition.
  const auto spec = DecodeJobSpec(R"({"steps":[{"count":1},{"count":1},)"
                                  R"({"count":1,"depends_on":[1,0,1,0,0]}]})");
  REQUIRE(spec);
  CHECK(spec->steps[2].depends_on == std::vector<std::uint32_t>{0, 1});
}

TEST_CASE("a heartbeat of another writer names no worker") {
  const InstanceId agent("side-1");
  const WorkerId worker("i-1");
  auto heartbeat = DecodeHeartbeat(
      agent, worker,
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready",)"
      R"("seq":4,"born":9,)"
      R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":8},"labels":["a","r1"]})");
  REQUIRE(heartbeat);
  CHECK(heartbeat->description.rack == RackId("r1"));
  CHECK(heartbeat->description.capacity ==
        workload::Resources{16'000, 32'768, 8});
  CHECK(heartbeat->description.incarnation.born_ms == 9);
  for (const char* body :
       {"", "7", R"({"service":"s","state":"gone","capacity":{}})",
        R"({"service":"s","state":"ready"})",
        R"({"service":5,"state":"ready","capacity":{}})",
        R"({"service":"s","state":"ready","capacity":{"cpu":"1"}})"}) {
    CAPTURE(body);
    CHECK(FailsToDecode([&] { return DecodeHeartbeat(agent, worker, body); }));
  }
}

TEST_CASE("an odd field makes a heartbeat name no worker") {
  // Guards against numbers that are cast out of range, and against an id that
  // is not UTF-8 in a message to the planner.
  const nlohmann::json sound = {
      {"service", "s"},   {"address", "10.0.0.9:8080"},
      {"zone", "z"},      {"state", "ready"},
      {"seq", 4},         {"born", 1'796'445'159'433},
      {"labels", {"a"}},  {"capacity", {{"cpu", 1}, {"mem_mb", 1}}},
      {"cold_left_ms", 0}};
  const InstanceId agent("side-1");
  const auto fails = [&](const WorkerId& worker, const std::string& body) {
    return FailsToDecode([&] { return DecodeHeartbeat(agent, worker, body); });
  };
  REQUIRE(!fails(WorkerId("i-1"), sound.dump()));
  for (const auto& entry : std::vector<std::pair<std::string, std::string>>{
           {"born", "1e300"},
           {"born", "-1"},
           {"born", "null"},
           {"born", "99999999999999999999999"},
           {"seq", "1e300"},
           {"seq", "-1"},
           {"seq", "1e400"},
           {"capacity", R"({"cpu":1e300,"mem_mb":1})"},
           {"capacity", R"({"cpu":-1,"mem_mb":1})"},
           {"address", R"("10.0.0.9:65536")"},
           {"address", R"("10.0.0.9:0")"},
           {"address", R"("10.0.0.9:-1")"},
           {"address", R"("10.0.0.9")"},
           {"address", "5"},
           {"address", "null"},
           {"state", R"("gone")"},
           {"service", R"("")"},
           {"labels", "[[]]"}}) {
    const std::string& field = entry.first;
    const std::string& odd = entry.second;
    CAPTURE(field);
    CAPTURE(odd);
    auto body = sound;
    body[field] = "ODD";
    std::string text = body.dump();
    text.replace(text.find(R"("ODD")"), 5, odd);
    CHECK(fails(WorkerId("i-1"), text));
  }
  const std::string nested =
      std::string(200'000, '[') + std::string(200'000, ']');
  CHECK(fails(WorkerId("i-1"), nested));
  CHECK(!fails(WorkerId("i-1"),
               R"({"new":)" + nested + "," + sound.dump().substr(1)));
  for (const std::string& id :
       {std::string("\xff\xfe"), std::string("a\0b", 3), std::string("a b"),
        std::string("a\r\nb"), std::string(1'000, 'x')}) {
    CHECK(fails(WorkerId(id), sound.dump()));
  }
}

TEST_CASE("an odd row in a message is left out") {
  // Guards against a process that ends by itself: writing a deeply nested row
  // to the log overflowed the stack.
  const std::string nested =
      std::string(200'000, '[') + std::string(200'000, ']');
  const auto lists = detail::DecodeTaskLists(
      R"({"clock_ms":5,"born":7,"running_tasks":[)" + nested +
      R"(,["a.0.1.2",3,"c",41],["a.0.1.2",1e300,"",1],["a.0.1.2",-1,"",1],)"
      R"(["a.0.1.3",4,"",1e300,1e300]],"ended_tasks":[)" +
      nested +
      R"(,[1e300,"a.0.1.9",1,"done",""],[-1,"a.0.1.9",1,"done",""],)"
      R"([2,"a.0.1.9",1,"done",""]]})");
  CHECK(lists.result == worker_agent::OrderResult::kDone);
  REQUIRE(lists.running.size() == 2);
  CHECK(lists.running[0].run == 3);
  CHECK(lists.running[1].run == 4);
  REQUIRE(lists.ended.size() == 1);
  CHECK(lists.ended[0].number == 2);
  const auto advice = detail::DecodeAdvice(R"({"valid_ms":5,"granted":[)" +
                                           nested + R"(,["i-1","t"]]})");
  REQUIRE(advice.granted.size() == 1);
  CHECK(advice.granted[0].ticket == "t");
  const auto configuration =
      DecodeConfiguration(R"({"version":1700000000000000000,"routes":[)" +
                          nested + R"(],"tenants":[{"name":"t","api_keys":[)" +
                          nested + R"(,"k"]}],"limits":)" + nested + "}");
  REQUIRE(configuration);
  CHECK(configuration->account_by_key.size() == 1);
}

TEST_CASE("a configuration is read; a broken queue is left out") {
  auto configuration = DecodeConfiguration(
      R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/",)"
      R"("service":"s","stretch":1.5,"slo_ms":250,"max_attempts":4},{"name":5}],)"
      R"("tenants":[{"name":"t","api_keys":["k1","k2"],)"
      R"("guaranteed":{"gpu":16}}],"limits":{"max_body_bytes":99}})");
  REQUIRE(configuration);
  REQUIRE(configuration->queues.size() == 1);
  CHECK(configuration->queues[0].stretch_percent == 150);
  CHECK(configuration->account_by_key.at("k2") == AccountId("t"));
  CHECK(configuration->guaranteed_accelerators.at(AccountId("t")) == 16);
  CHECK(configuration->max_body_bytes == 99);
  CHECK(configuration->FindQueue("h", "/a/x") == &configuration->queues[0]);
  CHECK(configuration->FindQueue("h", "/b/x") == nullptr);
  CHECK(FailsToDecode([] { return DecodeConfiguration("{}"); }));
  CHECK(FailsToDecode([] { return DecodeConfiguration("not json"); }));
}

TEST_CASE("answers keep apart what was not done and what is unknown") {
  using gateway::CallerOutcome;
  gateway::CallerAnswer answer;
  answer.outcome = CallerOutcome::kNotDone;
  answer.retry_after_ms = 300;
  CHECK(EncodeAnswer(answer).status == 503);
  CHECK(EncodeAnswer(answer).headers.at("Retry-After") == "1");
  answer.outcome = CallerOutcome::kOutcomeUnknown;
  CHECK(EncodeAnswer(answer).status == 504);
  answer.outcome = CallerOutcome::kJobState;
  answer.state = "running";
  CHECK(EncodeAnswer(answer).body == R"({"state":"running"})");
}

TEST_CASE("an advice names workers and tickets; other rows are left out") {
  const auto advice = detail::DecodeAdvice(
      R"({"granted":[["i-1","c81e"],["i-2"],7],"valid_ms":3000})");
  CHECK(advice.answered);
  CHECK(advice.valid_ms == 3'000);
  REQUIRE(advice.granted.size() == 1);
  CHECK(advice.granted[0].worker == WorkerId("i-1"));
  CHECK(advice.granted[0].ticket == "c81e");
  CHECK_FALSE(detail::DecodeAdvice("[]").answered);
  CHECK_FALSE(detail::DecodeAdvice(R"({"granted":5})").answered);
  CHECK(EncodeStepName({JobId("5c0e7a21d94b36f8"), 1, 2}) ==
        "5c0e7a21d94b36f8.1.2");
}

TEST_CASE("a queue's advice is read with its times") {
  auto configuration = DecodeConfiguration(
      R"({"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
      R"("service":"s","advice":{"decide_ms":20,"each_ms":2,"valid_ms":900}}]})");
  REQUIRE(configuration);
  CHECK(configuration->queues.at(0).advice ==
        workload::AdvicePolicy{20, 2, 900});
}

TEST_CASE("a body that the server discarded counts as too large") {
  // Its size is unknown. It was answered as malformed (400) instead of 413.
  http::HttpRequest request;
  request.method = "POST";
  request.body_too_large = true;
  CHECK(DecodeCall(request).body_bytes > std::int64_t{1} << 40);
}

}  // namespace
}  // namespace carobrill::adapter
