#include "tests/process/process.h"

#include <doctest/doctest.h>
#include <signal.h>

#include <atomic>

#include "packages/http/http_client.h"
#include "packages/http/http_server.h"
#include "tests/process/relay.h"

namespace carobrill::process {
namespace {

constexpr std::int64_t kLimitMs = 10'000;

std::unique_ptr<Process> Shell(const std::string& script) {
  auto process = Process::Start("/bin/sh", {"-c", script});
  REQUIRE(process.has_value());
  return std::move(process.value());
}

TEST_CASE("a program's output is read and its end is seen") {
  // Guards against a helper that hangs, or reports a crash as a normal exit.
  const auto fake = Shell("echo start; echo 'listening on 4711'; exit 3");
  CHECK(fake->WaitForPort(kLimitMs) == 4711);
  const auto status = fake->Wait(kLimitMs);
  REQUIRE(status.has_value());
  CHECK(status->code == 3);
  CHECK_FALSE(fake->WaitForLine("never printed", kLimitMs).has_value());
  CHECK(fake->Lines().size() == 2);

  const auto daemon =
      Shell(R"(echo '{"message":"ready","http_port":"8080"}'; sleep 60)");
  CHECK(daemon->WaitForReady("http_port", kLimitMs) == 8080);
  CHECK_FALSE(daemon->WaitForReady("rpc_port", kLimitMs).has_value());
  CHECK_FALSE(daemon->WaitForLine("more", 50).has_value());
  CHECK_FALSE(daemon->Wait(50).has_value());
  daemon->Kill();
  const auto killed = daemon->Wait(kLimitMs);
  REQUIRE(killed.has_value());
  CHECK(killed->signal == SIGKILL);

  const auto error = ErrorFrom<SpawnError>(
      [] { return Process::Start("/nonexistent/program", {}); });
  REQUIRE(error.has_value());
  CHECK(error->error_number == ENOENT);
}

TEST_CASE("a frozen program does nothing until it is resumed") {
  // Guards against pause tests that do not actually pause the program.
  const auto process =
      Shell("i=0; while true; do i=$((i+1)); echo $i; sleep 0.01; done");
  REQUIRE(process->WaitForLine("2", kLimitMs).has_value());
  process->Suspend();
  // Output that is already in the pipe arrives within this time.
  CHECK_FALSE(process->WaitForLine("no such line", 100).has_value());
  const auto line_count = process->Lines().size();
  CHECK_FALSE(process->WaitForLine("no such line", 200).has_value());
  CHECK(process->Lines().size() == line_count);
  process->Resume();
  CHECK(process->WaitForLine(std::to_string(line_count + 2), kLimitMs)
            .has_value());
}

TEST_CASE("what a test started and wrote goes with its objects") {
  // Guards against processes and files that outlive a failed test.
  pid_t pid = 0;
  std::string path;
  {
    const auto process = Shell("sleep 60");
    pid = process->Pid();
    CHECK(kill(pid, 0) == 0);
    const TemporaryDirectory directory;
    path = directory.Write("settings.json", "{}");
    CHECK(std::filesystem::file_size(path) == 2);
  }
  CHECK(kill(pid, 0) == -1);
  CHECK_FALSE(
      std::filesystem::exists(std::filesystem::path(path).parent_path()));
}

TEST_CASE("a relay passes, holds and cuts connections") {
  // Guards against partition tests that do not actually disturb the network.
  Task server_task("server");
  Task client_task("client");
  std::atomic<int> received = 0;
  http::HttpServer server(server_task, [&](const auto& request, auto respond) {
    ++received;
    http::HttpResponse response;
    response.body = request.body;
    respond(response);
  });
  const auto port = server.Listen("127.0.0.1", 0);
  REQUIRE(port.has_value());
  Relay relay(*port);
  http::HttpClient client(client_task);
  const auto send = [&](const std::string& body, std::int64_t limit_ms) {
    http::HttpClientRequest call;
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(relay.Port()) + "/";
    call.body = body;
    call.deadline = BootClock{}.Now().After(limit_ms);
    return client.SendAndWait(call);
  };

  const std::string large(2'000'000, 'a');
  CHECK(send(large, kLimitMs).body == large);
  CHECK(received == 1);

  relay.SetMode(RelayMode::kHold);
  CHECK(send("b", 200).failure == http::HttpFailure::kTimeout);
  CHECK(received == 1);

  relay.SetMode(RelayMode::kHoldReplies);
  CHECK(send("c", 300).failure == http::HttpFailure::kTimeout);
  CHECK(received >= 2);

  relay.SetMode(RelayMode::kReset);
  CHECK(send("d", kLimitMs).failure == http::HttpFailure::kUnreachable);

  relay.SetMode(RelayMode::kForward);
  CHECK(send("e", kLimitMs).body == "e");
  CHECK(relay.Accepted() >= 2);
}

}  // namespace
}  // namespace carobrill::process
