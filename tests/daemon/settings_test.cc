#include "packages/daemon/settings.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include "packages/daemon/settings_table.h"

namespace carobrill::daemon {
namespace {

using Kind = SettingsErrorKind;

const std::string kEntry = R"({
  // An entry.
  "role": "entry",
  "instance": {"id": "e1", "failure_domain": "d1", "region": "r1"},
  "entry": {
    "peers": ["127.0.0.1:7002", "[::1]:7003"],
    "log_service": {"url": "http://127.0.0.1:8080"}
  }
}
)";

const std::string kAgent = R"({
  "role": "agent",
  "instance": {"id": "a1", "failure_domain": "d1", "region": "r1"},
  "agent": {
    "entries": ["127.0.0.1:7001", "127.0.0.1:7002"],
    "worker": {"id": "w1", "rack": "k1", "url": "http://127.0.0.1:9000"}
  }
}
)";

std::vector<SettingsFault> FaultsOf(const std::string& text) {
  const auto error = ErrorFrom<SettingsFaults>(
      [&] { return ParseSettings(text, "file.json"); });
  return error.value_or(SettingsFaults{}).faults;
}

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

void CheckOneFault(const std::string& text,
                   Kind kind,
                   const std::string& key,
                   std::uint32_t line) {
  const auto faults = FaultsOf(text);
  REQUIRE_MESSAGE(faults.size() == 1, text);
  CHECK(NameOf(faults[0].kind) == NameOf(kind));
  CHECK(faults[0].key == key);
  CHECK(faults[0].line == line);
  CHECK(faults[0].file == "file.json");
}

TEST_CASE("valid files of both roles are read") {
  // Guards against a table whose rows set the wrong member.
  const auto entry = ParseSettings(kEntry, "f");
  REQUIRE(entry.has_value());
  CHECK(entry->role == Role::kEntry);
  CHECK(entry->instance.id == "e1");
  CHECK(entry->entry.peers.size() == 2);
  CHECK(entry->entry.log_service.url == "http://127.0.0.1:8080");
  CHECK(entry->entry.suspect_after_ms == 1000);
  const auto agent = ParseSettings(kAgent, "f");
  REQUIRE(agent.has_value());
  CHECK(agent->role == Role::kAgent);
  CHECK(agent->agent.worker.rack == "k1");
}

TEST_CASE("every kind of fault names its key and line") {
  // Guards against a file that is half understood, and against messages that
  // do not lead to the mistake.
  CheckOneFault(Replaced(kEntry, "\"id\"", "\"idd\": 1, \"id\""),
                Kind::kUnknownKey, "instance.idd", 4);
  CheckOneFault(Replaced(kEntry, "\"entry\": {", "\"other\": {}, \"entry\": {"),
                Kind::kUnknownKey, "other", 5);
  CheckOneFault(Replaced(kEntry, "\"e1\"", "7"), Kind::kWrongType,
                "instance.id", 4);
  CheckOneFault(Replaced(kEntry, "[\"127.0.0.1:7002\", \"[::1]:7003\"]", "1"),
                Kind::kWrongType, "entry.peers", 6);
  CheckOneFault(
      Replaced(kEntry, "\"peers\"", "\"digest_interval_ms\": 1, \"peers\""),
      Kind::kOutOfRange, "entry.digest_interval_ms", 6);
  CheckOneFault(Replaced(kEntry, "\"peers\"",
                         "\"digest_interval_ms\": 18446744073709551615, "
                         "\"peers\""),
                Kind::kOutOfRange, "entry.digest_interval_ms", 6);
  CheckOneFault(Replaced(kEntry, "\"e1\"", "\"e 1\""), Kind::kInvalidValue,
                "instance.id", 4);
  CheckOneFault(Replaced(kEntry, "http://127.0.0.1:8080", "http://host:1"),
                Kind::kInvalidValue, "entry.log_service.url", 7);
  CheckOneFault(Replaced(kEntry, "\"entry\",", "\"leader\","),
                Kind::kInvalidValue, "role", 3);
  CheckOneFault(Replaced(kEntry, "\"region\"", "\"id\": \"e2\", \"region\""),
                Kind::kRepeatedKey, "instance.id", 4);
  CheckOneFault(Replaced(kEntry, "\"d1\",", "\"d1\""), Kind::kMalformed,
                "instance.failure_domain", 4);
}

TEST_CASE("missing keys are found") {
  // Guards against an instance that starts with an empty name or address.
  CheckOneFault(Replaced(kEntry, "\"id\": \"e1\",", ""), Kind::kMissingKey,
                "instance.id", 0);
  CheckOneFault(Replaced(kEntry, "\"url\": \"http://127.0.0.1:8080\"", ""),
                Kind::kMissingKey, "entry.log_service.url", 0);
  CheckOneFault(Replaced(kAgent, "\"rack\": \"k1\",", ""), Kind::kMissingKey,
                "agent.worker.rack", 0);
}

TEST_CASE("inconsistent values are refused") {
  // Guards against timings that contradict each other in operation.
  CheckOneFault(
      Replaced(kEntry, "\"peers\"", "\"suspect_after_ms\": 2000, \"peers\""),
      Kind::kInconsistent, "entry.suspect_after_ms", 6);
  CheckOneFault(Replaced(kEntry, "\"peers\"",
                         "\"dead_after_ms\": 900, "
                         "\"agent_lease_ms\": 900, \"peers\""),
                Kind::kInconsistent, "entry.dead_after_ms", 6);
  CheckOneFault(
      Replaced(kEntry, "\"peers\"", "\"agent_lease_ms\": 2001, \"peers\""),
      Kind::kInconsistent, "entry.agent_lease_ms", 6);
  CheckOneFault(
      Replaced(kAgent, "[\"127.0.0.1:7001\", \"127.0.0.1:7002\"]", "[]"),
      Kind::kInconsistent, "agent.entries", 5);
  CheckOneFault(
      Replaced(kAgent, "\"rack\"", "\"member_silence_ms\": 3000, \"rack\""),
      Kind::kInconsistent, "agent.worker.member_silence_ms", 6);
}

TEST_CASE("all faults are reported at once, by line") {
  // Guards against one start per mistake.
  const auto faults = FaultsOf(R"({
    "role": "agent",
    "instance": {"id": 1,
      "region": "no good"},
    "agent": {"entries": []}
  })");
  std::vector<std::string> keys;
  keys.reserve(faults.size());
  for (const auto& fault : faults) {
    keys.push_back(fault.key);
  }
  CHECK(keys == std::vector<std::string>{"instance.failure_domain",
                                         "agent.endpoint.id", "instance.id",
                                         "instance.region", "agent.entries"});
  CHECK(Describe(faults[3]) ==
        "file.json:4: instance.region: must have the form: name "
        "[invalid_value]");
}

TEST_CASE("a file that cannot be read is a typed fault") {
  // Guards against defaults in place of a mistyped path.
  const auto error =
      ErrorFrom<SettingsFaults>([] { return LoadSettings("/nonexistent"); });
  REQUIRE(error.has_value());
  CHECK(error->faults.at(0).kind == Kind::kUnreadable);
}

/// A text made from a valid file by a few random edits.
std::string Mutated(std::string text) {
  const auto edits = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edits && !text.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        break;
      case 1:
        text.erase(at, *rc::gen::inRange<std::size_t>(1, 20));
        break;
      case 2:
        text.insert(at, *rc::gen::element<std::string>(
                            "{", "}", "[", "]", "\"", ",", ":", "null", "1e99",
                            "-1", "/*", "//", "18446744073709551615", "\n"));
        break;
      default:
        text.insert(
            at,
            text.substr(*rc::gen::inRange<std::size_t>(0, text.size()), 30));
        break;
    }
  }
  return text;
}

TEST_CASE("random and mutated texts are read or refused with typed faults") {
  // Guards against crashes, and against refusals that name no fault.
  CHECK(rc::check([] {
    const auto base = *rc::gen::element(kEntry, kAgent);
    const auto text = *rc::gen::inRange(0, 10) == 0
                          ? *rc::gen::arbitrary<std::string>()
                          : Mutated(base);
    const auto lines = std::count(text.begin(), text.end(), '\n') + 1;
    if (ParseSettings(text, "f").has_value()) {
      return;
    }
    const auto faults = FaultsOf(text);
    RC_ASSERT(!faults.empty());
    for (const auto& fault : faults) {
      RC_ASSERT(fault.line <= lines);
      RC_ASSERT(NameOf(fault.kind) != "invalid");
      RC_ASSERT(!fault.message.empty());
    }
  }));
}

TEST_CASE("the table names each setting once and says what it is for") {
  // Guards against rows that are copied and not changed.
  std::set<std::string_view> names;
  std::set<std::string_view> sentences;
  std::set<const void*> members;
  Settings settings;
  for (const auto& setting : AllSettings()) {
    CHECK(names.insert(setting.name).second);
    CHECK(sentences.insert(setting.sentence).second);
    CHECK(setting.sentence.ends_with('.'));
    const void* member =
        std::visit([](auto* target) -> const void* { return target; },
                   setting.target(settings));
    CHECK(members.insert(member).second);
  }
}

TEST_CASE("docs/operations/settings.md holds the table of the code") {
  // Guards against a page that describes other defaults than the program has.
  std::ifstream stream(std::string(CAROBRILL_SOURCE_DIRECTORY) +
                       "/docs/operations/settings.md");
  std::ostringstream page;
  page << stream.rdbuf();
  CHECK(page.str().find(SettingsMarkdown()) != std::string::npos);
}

}  // namespace
}  // namespace carobrill::daemon
