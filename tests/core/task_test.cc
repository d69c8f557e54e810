#include "packages/core/task.h"

#include <doctest/doctest.h>

#include <vector>

namespace carobrill {
namespace {

TEST_CASE("messages run on the task's thread in the order of posting") {
  Task task("test");
  std::vector<int> seen;
  bool own_thread = true;
  for (int i = 0; i < 100; ++i) {
    task.Post([&, i] {
      seen.push_back(i);
      own_thread = own_thread && task.OnOwnThread();
    });
  }
  task.Run([] {});
  REQUIRE(seen.size() == 100);
  for (int i = 0; i < 100; ++i) {
    CHECK(seen[static_cast<std::size_t>(i)] == i);
  }
  CHECK(own_thread);
}

TEST_CASE("a delayed message does not run before its deadline") {
  Task task("test");
  const Instant deadline = BootClock{}.Now().After(30);
  Instant ran_at;
  task.PostAt(deadline, [&] { ran_at = BootClock{}.Now(); });
  while (BootClock{}.Now() < deadline.After(200)) {
    task.Run([] {});
    g_usleep(5000);
  }
  task.Run([] {});
  CHECK(ran_at >= deadline);
}

}  // namespace
}  // namespace carobrill
