#include "packages/core/log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>
#include <string>

#include "packages/core/termination_log.h"
#include "packages/core/time.h"

namespace carobrill {
namespace {

TEST_CASE("a log line never blocks on a reader that has stopped reading") {
  // Guards against a full pipe on standard output that blocks the task which
  // writes a log line.
  int pipe_ends[2];
  REQUIRE(pipe(pipe_ends) == 0);
  const int saved_stdout = dup(STDOUT_FILENO);
  REQUIRE(dup2(pipe_ends[1], STDOUT_FILENO) == STDOUT_FILENO);
  const Instant started_at = BootClock{}.Now();
  const std::string text(500, 'x');
  // The rate limit applies to each message, so this exceeds a pipe's capacity.
  for (int kind = 0; kind < 10; ++kind) {
    for (int i = 0; i < 400; ++i) {
      Log(LogLevel::kInfo, "message " + std::to_string(kind), {{"text", text}});
    }
  }
  const std::int64_t elapsed_ms = BootClock{}.Now().ms - started_at.ms;
  dup2(saved_stdout, STDOUT_FILENO);
  close(saved_stdout);
  close(pipe_ends[0]);
  close(pipe_ends[1]);
  CHECK(elapsed_ms < 5'000);
}

TEST_CASE("the lines of one message are limited to the maximum rate") {
  int pipe_ends[2];
  REQUIRE(pipe(pipe_ends) == 0);
  fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
  const int saved_stdout = dup(STDOUT_FILENO);
  dup2(pipe_ends[1], STDOUT_FILENO);
  for (std::uint32_t i = 0; i < kLogLinesPerSecond * 3; ++i) {
    Log(LogLevel::kInfo, "often");
  }
  dup2(saved_stdout, STDOUT_FILENO);
  close(saved_stdout);
  std::string text(1 << 20, '\0');
  const ssize_t size = read(pipe_ends[0], text.data(), text.size());
  text.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
  close(pipe_ends[0]);
  close(pipe_ends[1]);
  std::uint32_t lines = 0;
  for (std::size_t at = text.find("often"); at != std::string::npos;
       at = text.find("often", at + 1)) {
    ++lines;
  }
  CHECK(lines > 0);
  // A new one-second window may begin while the lines are written.
  CHECK(lines <= 2 * kLogLinesPerSecond);
}

TEST_CASE("an error that ends the process is logged with its reason") {
  // Guards against a process that ends without a trace of the cause.
  int pipe_ends[2];
  REQUIRE(pipe(pipe_ends) == 0);
  const pid_t child = fork();
  if (child == 0) {
    dup2(pipe_ends[1], STDOUT_FILENO);
    LogTermination();
    []() noexcept { throw std::runtime_error("broken invariant"); }();
  }
  REQUIRE(child > 0);
  close(pipe_ends[1]);
  std::string output;
  char buffer[4'096];
  ssize_t size = 0;
  while ((size = read(pipe_ends[0], buffer, sizeof(buffer))) > 0) {
    output.append(buffer, static_cast<std::size_t>(size));
  }
  close(pipe_ends[0]);
  int status = 0;
  REQUIRE(waitpid(child, &status, 0) == child);
  CHECK(WIFSIGNALED(status));
  CHECK(output.find("process terminates") != std::string::npos);
  CHECK(output.find("broken invariant") != std::string::npos);
  CHECK(output.find("\"stack\":\"0x") != std::string::npos);
}

}  // namespace
}  // namespace carobrill
