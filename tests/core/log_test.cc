#include "packages/core/log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <string>

#include "packages/core/time.h"

namespace carobrill {
namespace {

TEST_CASE("a reader that stops reading holds up nobody") {
  // Guards against a full pipe that blocks the task which writes a line.
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  const int saved = dup(STDOUT_FILENO);
  REQUIRE(dup2(ends[1], STDOUT_FILENO) == STDOUT_FILENO);
  const Instant began = BootClock{}.Now();
  const std::string text(500, 'x');
  // Each message has a rate of its own, so this is more than a pipe holds.
  for (int kind = 0; kind < 10; ++kind) {
    for (int i = 0; i < 400; ++i) {
      Log(LogLevel::kInfo, "message " + std::to_string(kind), {{"text", text}});
    }
  }
  const std::int64_t took_ms = BootClock{}.Now().ms - began.ms;
  dup2(saved, STDOUT_FILENO);
  close(saved);
  close(ends[0]);
  close(ends[1]);
  CHECK(took_ms < 5'000);
}

TEST_CASE("one message does not write more than its rate") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  const int saved = dup(STDOUT_FILENO);
  dup2(ends[1], STDOUT_FILENO);
  for (std::uint32_t i = 0; i < kLogLinesPerSecond * 3; ++i) {
    Log(LogLevel::kInfo, "often");
  }
  dup2(saved, STDOUT_FILENO);
  close(saved);
  std::string text(1 << 20, '\0');
  const ssize_t size = read(ends[0], text.data(), text.size());
  text.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
  close(ends[0]);
  close(ends[1]);
  std::uint32_t lines = 0;
  for (std::size_t at = text.find("often"); at != std::string::npos;
       at = text.find("often", at + 1)) {
    ++lines;
  }
  CHECK(lines > 0);
  // A new window may begin while the lines are written.
  CHECK(lines <= 2 * kLogLinesPerSecond);
}

}  // namespace
}  // namespace carobrill
