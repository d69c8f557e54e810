#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "packages/cli/command_line.h"
#include "packages/cli/command_table.h"
#include "packages/cli/job_commands.h"
#include "packages/cli/output.h"
#include "tests/cli/capture.h"
#include "tests/cli/fake_entry.h"

namespace carobrill::cli {
namespace {

using nlohmann::json;
using Words = std::vector<std::string>;

constexpr const char* kClosedPortUrl = "http://127.0.0.1:1";

std::string ProblemBody(const std::string& name, const std::string& ran) {
  return json{{"type", "urn:carobrill:error:" + name},
              {"title", "Title"},
              {"detail", "detail"},
              {"ran", ran}}
      .dump();
}

std::string ReadSourceFile(const std::string& path) {
  std::ifstream stream(std::string(CAROBRILL_SOURCE_DIRECTORY) + "/" + path);
  REQUIRE_MESSAGE(stream.is_open(), path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

/// A file that is removed at the end of the test.
struct TemporaryFile {
  explicit TemporaryFile(const std::string& text) {
    char name[] = "/tmp/carobrill_test_XXXXXX";
    close(mkstemp(name));
    this->path = name;
    std::ofstream(this->path) << text;
  }
  ~TemporaryFile() { unlink(this->path.c_str()); }

  std::string path;
};

Words RequestArguments(const Words& urls) {
  Words words;
  for (const auto& url : urls) {
    words.insert(words.end(), {"--entry", url});
  }
  words.insert(words.end(),
               {"--timeout-ms", "300", "request", "checks", "--account", "acme",
                "--class", "urgent", "--kind", "check"});
  return words;
}

TEST_CASE("options are accepted before and after the command") {
  // An option in either position must not be silently dropped.
  const auto line =
      ParseCommandLine({"carobrill", "-e", "http://a", "rules", "publish",
                        "--author", "A", "file", "--json", "-ehttp://b"});
  REQUIRE(line.has_value());
  CHECK(line->command->name == "rules publish");
  CHECK(line->argument == "file");
  CHECK(line->Value("author") == "A");
  CHECK(line->Has("json"));
  CHECK(line->options.at("entry") == Words{"http://a", "http://b"});
}

TEST_CASE("a usage error is described and exits with 2") {
  // A mistyped command line must not run another command.
  const std::vector<std::pair<Words, std::string>> cases = {
      {{}, "a command is missing"},
      {{"statsu"}, "the command 'statsu' is not known"},
      {{"rules"}, "the command 'rules' needs a subcommand"},
      {{"rules", "chekc"}, "the command 'rules chekc' is not known"},
      {{"status"}, "JOB is missing"},
      {{"status", "a", "b"}, "unexpected argument 'b'"},
      {{"status", "--wait", "a"}, "the option --wait is not recognized"},
      {{"submit", "--account"}, "the option --account needs a value"},
      {{"submit", "--account", "a", "--class", "batch", "--kind", "k",
        "--members", "two"},
       "--members must be an integer from 0 to 1000000000"},
      {{"submit", "--class", "batch"}, "--account is missing"},
      {{"queue", "--limit", "0"},
       "--limit must be an integer from 1 to 1000000000"},
  };
  for (const auto& [words, message] : cases) {
    const auto outcome = RunCli(words);
    CHECK(outcome.exit == CliExit::kUsage);
    CHECK(outcome.err == "carobrill: " + message + "\nTry carobrill --help.\n");
    CHECK(outcome.out.empty());
  }
}

TEST_CASE("every command and group has help") {
  // --help must never run the command.
  CHECK(RunCli({"--help"}).out == ProgramHelp());
  CHECK(RunCli({"rules", "--help"}).out == GroupHelp("rules"));
  CHECK(RunCli({"--version"}).out == "carobrill " CAROBRILL_VERSION "\n");
  for (const auto& command : AllCommands()) {
    std::istringstream stream{std::string(command.name)};
    Words words;
    for (std::string word; stream >> word;) {
      words.push_back(word);
    }
    words.push_back("--help");
    const auto outcome = RunCli(words);
    CHECK(outcome.exit == CliExit::kOk);
    CHECK(outcome.out == CommandHelp(command));
  }
}

TEST_CASE("entries are tried in order") {
  // A command must not fail because the first entry is down, draining or not
  // ready.
  FakeEntry draining(FakeEntry::Always(503, ProblemBody("draining", "no")));
  FakeEntry serving(FakeEntry::Always(200, R"({"answer":"done"})"));
  const auto outcome = RunCli(
      RequestArguments({kClosedPortUrl, draining.Url(), serving.Url() + "/"}));
  CHECK(outcome.exit == CliExit::kOk);
  CHECK(outcome.out == "done\n");
  CHECK(draining.Requests().size() == 1);
  const auto none = RunCli(RequestArguments({kClosedPortUrl}));
  CHECK(none.exit == CliExit::kUnreachable);
  CHECK(none.err.find("no entry answered") != std::string::npos);
}

TEST_CASE(
    "holds.at_most_once: a request that may have run is repeated only "
    "with its key") {
  // A request whose response was lost must not run twice.
  FakeEntry silent(FakeEntry::Never());
  FakeEntry serving(FakeEntry::Always(200, R"({"answer":"done"})"));
  const auto outcome = RunCli(RequestArguments({silent.Url(), serving.Url()}));
  CHECK(outcome.exit == CliExit::kOk);
  const auto first = silent.Requests().at(0).headers.at("idempotency-key");
  const auto second = serving.Requests().at(0).headers.at("idempotency-key");
  CHECK(first.size() == 32);
  CHECK(first == second);
  CHECK(json::parse(serving.Requests().at(0).body)["idempotent"] == false);

  // A rule publication has no idempotency key, so it must not be sent to
  // another entry.
  FakeEntry other(FakeEntry::Always(200, R"({"version":8})"));
  const TemporaryFile rules("account a\n");
  const auto published =
      RunCli({"-e", silent.Url(), "-e", other.Url(), "--timeout-ms", "300",
              "rules", "publish", "--base", "7", rules.path});
  CHECK(published.exit == CliExit::kOutcomeUnknown);
  CHECK(other.Requests().empty());
}

TEST_CASE(
    "holds.not_run_is_true: a refusal does not cover an earlier attempt "
    "without an answer") {
  // "Not run" must not be reported while another entry may still run the
  // request.
  FakeEntry silent(FakeEntry::Never());
  FakeEntry refusing(
      FakeEntry::Always(503, ProblemBody("log_unavailable", "no")));
  const auto outcome = RunCli(RequestArguments({silent.Url(), refusing.Url()}));
  CHECK(outcome.exit == CliExit::kOutcomeUnknown);
  CHECK(outcome.err.find(
            "--key " + silent.Requests().at(0).headers.at("idempotency-key")) !=
        std::string::npos);
  CHECK(RunCli(RequestArguments({refusing.Url()})).exit == CliExit::kNotRun);
}

TEST_CASE("problem responses map to exit codes") {
  // Scripts must be able to tell a refusal from a failure.
  const std::vector<std::tuple<int, std::string, std::string, CliExit>> cases =
      {{409, "rules_conflict", "no", CliExit::kConflict},
       {422, "rules_invalid", "no", CliExit::kInput},
       {422, "quota_exceeded", "no", CliExit::kNotRun},
       {502, "endpoint_failed", "unknown", CliExit::kOutcomeUnknown},
       {502, "answer_truncated", "yes", CliExit::kFailed}};
  for (const auto& [status, name, ran, exit] : cases) {
    FakeEntry entry(FakeEntry::Always(status, ProblemBody(name, ran)));
    const auto outcome = RunCli(RequestArguments({entry.Url()}));
    CHECK(outcome.exit == exit);
    CHECK(outcome.err.find("Title: detail") != std::string::npos);
  }
  FakeEntry not_json(FakeEntry::Always(200, "<html>"));
  CHECK(RunCli(RequestArguments({not_json.Url()})).exit == CliExit::kInternal);
}

TEST_CASE("lists are fetched to the last page and show why jobs wait") {
  // A list must not end after its first page.
  FakeEntry entry([](const auto& request) {
    const bool first = !request.query.contains("after");
    const json job = {{"job", first ? "j1" : "j2"},
                      {"account", "acme"},
                      {"queue_position", first ? 1 : 2},
                      {"submitted_at_ms", 1'000},
                      {"waiting_reason", "it waits for 2 whole racks"}};
    const json page = {{"jobs", {job}}, {"next", first ? "c 1" : ""}};
    return http::HttpResponse{200, page.dump(), "application/json", {}};
  });
  const auto outcome =
      RunCli({"-e", entry.Url(), "queue", "--account", "acme"});
  CHECK(outcome.exit == CliExit::kOk);
  CHECK(outcome.out ==
        "JOB  ACCOUNT  CLASS  KIND  PLACE  SUBMITTED             "
        "WHY IT WAITS\n"
        "j1   acme     -      -     1      1970-01-01T00:00:01Z  "
        "it waits for 2 whole racks\n"
        "j2   acme     -      -     2      1970-01-01T00:00:01Z  "
        "it waits for 2 whole racks\n");
  CHECK(entry.Requests().at(0).query.at("state") == "queued");
  CHECK(entry.Requests().at(1).query.at("after") == "c 1");
  const auto as_json = RunCli({"-e", entry.Url(), "--json", "queue"});
  CHECK(json::parse(as_json.out)["jobs"].size() == 2);
}

TEST_CASE("a job is built from a file and options, and waited for") {
  // Options must override the file, and the exit code must reflect how the job
  // ended.
  std::string state = "succeeded";
  FakeEntry entry([&](const auto& request) {
    const bool submitted = request.method == "POST";
    const json job = {{"job", "j1"},
                      {"account", "acme"},
                      {"state", submitted ? "queued" : state},
                      {"ended_at_ms", submitted ? 0 : 5}};
    return http::HttpResponse{200, job.dump(), "application/json", {}};
  });
  const TemporaryFile file(
      R"({"account":"acme","class":"batch","kind":"train","members":2})");
  const Words words = {"-e",      entry.Url(), "submit", "--file",
                       file.path, "--members", "4",      "--cores",
                       "2.5",     "--key",     "k1",     "--wait"};
  const auto outcome = RunCli(words);
  CHECK(outcome.exit == CliExit::kOk);
  CHECK(outcome.out == "job j1 of acme is succeeded\n");
  const auto request = entry.Requests().at(0);
  CHECK(request.headers.at("idempotency-key") == "k1");
  const auto body = json::parse(request.body);
  CHECK(body["members"] == 4);
  CHECK(body["cores"] == 2.5);
  CHECK(body["idempotent"] == false);
  state = "failed";
  CHECK(RunCli(words).exit == CliExit::kFailed);
  state = "outcome_unknown";
  CHECK(RunCli(words).exit == CliExit::kOutcomeUnknown);
}

TEST_CASE("the description of a job says why it waits") {
  // A status must give the operator the reason for the wait.
  CHECK(DescribeJob({{"job", "j"},
                     {"account", "a"},
                     {"state", "queued"},
                     {"queue_position", 3},
                     {"waiting_reason", "quota of 48 is used up"}}) ==
        "job j of a is queued at place 3: quota of 48 is used up");
  CHECK(DescribeJob({{"job", "j"}, {"account", "a"}, {"state", "queued"}}) ==
        "job j of a is queued: it waits for the next run of the planner");
  CHECK(DescribeJob({{"job", "j"},
                     {"account", "a"},
                     {"state", "running"},
                     {"workers", {"w1", "w2"}}}) ==
        "job j of a is running on w1 w2");
}

TEST_CASE("rules are published against the version that was compared") {
  // An operator must not overwrite rules that the printed diff did not show.
  FakeEntry entry([](const auto& request) {
    const json body = request.path == "/v1/rules"
                          ? json{{"version", 8}}
                          : json{{"valid", true},
                                 {"version_in_force", 7},
                                 {"diff", "+account b"}};
    return http::HttpResponse{200, body.dump(), "application/json", {}};
  });
  const TemporaryFile rules("account b\n");
  const auto outcome =
      RunCli({"-e", entry.Url(), "rules", "publish", rules.path});
  CHECK(outcome.exit == CliExit::kOk);
  CHECK(outcome.out == "+account b\nversion 8 is in force\n");
  const auto body = json::parse(entry.Requests().at(1).body);
  CHECK(body["base_version"] == 7);
  CHECK(body["text"] == "account b\n");
  CHECK(RunCli({"rules", "check", "/nonexistent"}).exit == CliExit::kInput);
}

TEST_CASE("a drain prints the current state of the worker") {
  // The printed state must come from the response, not from the request.
  FakeEntry entry(
      FakeEntry::Always(200, R"({"worker":"w1","state":"draining"})"));
  const auto outcome =
      RunCli({"-e", entry.Url(), "drain", "w1", "--reason", "fan is broken"});
  CHECK(outcome.out == "worker w1 is draining\n");
  const auto request = entry.Requests().at(0);
  CHECK(request.path == "/v1/workers/w1/drain");
  CHECK(json::parse(request.body)["reason"] == "fan is broken");
}

TEST_CASE("settings are checked without an entry") {
  // An invalid file must be found before the daemon is started with it.
  const TemporaryFile wrong("{\"role\": \"entry\",\n\"other\": 1}");
  const auto outcome = RunCli({"settings", "check", wrong.path});
  CHECK(outcome.exit == CliExit::kInput);
  CHECK(outcome.err.find(wrong.path + ":2: other: this key is not known") !=
        std::string::npos);
}

TEST_CASE("untrusted text cannot control the terminal") {
  // Names, reasons and rules may contain escape sequences.
  CHECK(FormatField({{"a", "x\033[2Jy\n"}}, "a") == "x [2Jy ");
  CHECK(FormatField({{"a", ""}}, "a") == "-");
  CHECK(FormatField({}, "a") == "-");
  CHECK(FormatField({{"a", true}}, "a") == "yes");
}

TEST_CASE("completion and manual pages name all commands and options") {
  // The completion and the manual page must match the command table.
  const std::string completion = ReadSourceFile("completion/carobrill.bash");
  const std::string manual = ReadSourceFile("man/carobrill.1");
  const auto escaped = [](std::string_view text) {
    std::string result;
    for (const char c : text) {
      result += c == '-' ? "\\-" : std::string(1, c);
    }
    return result;
  };
  for (const auto& command : AllCommands()) {
    CHECK_MESSAGE(completion.find(command.name) != std::string::npos,
                  command.name);
    CHECK_MESSAGE(manual.find(escaped(command.name)) != std::string::npos,
                  command.name);
    for (const auto& option : command.options) {
      const auto name = "--" + std::string(option.name);
      CHECK_MESSAGE(completion.find(name) != std::string::npos, name);
      CHECK_MESSAGE(manual.find(escaped(name)) != std::string::npos, name);
    }
  }
  for (const auto& option : GlobalOptions()) {
    const auto name = "--" + std::string(option.name);
    CHECK(completion.find(name) != std::string::npos);
    CHECK(manual.find(escaped(name)) != std::string::npos);
  }
}

TEST_CASE("docs/operations/exit-codes.md names all exit codes") {
  // Scripts rely on the documented exit codes.
  const std::string page = ReadSourceFile("docs/operations/exit-codes.md");
  for (const auto& [code, meaning] : NamesOf(CliExit{}).entries) {
    const std::string row = "| " + std::to_string(static_cast<int>(code)) +
                            " | " + std::string(meaning) + " |";
    CHECK_MESSAGE(page.find(row) != std::string::npos, row);
  }
}

}  // namespace
}  // namespace carobrill::cli
