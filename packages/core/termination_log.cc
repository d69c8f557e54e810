#include "packages/core/termination_log.h"

#include <execinfo.h>

#include <array>
#include <cstdlib>
#include <exception>
#include <sstream>
#include <string>

#include "packages/core/log.h"

namespace carobrill {
namespace {

constexpr std::size_t kMaxFrames = 40;

std::string CurrentReason() {
  const std::exception_ptr error = std::current_exception();
  if (error == nullptr) {
    return "no exception";
  }
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& known) {
    return known.what();
  } catch (...) {
    return "unknown exception";
  }
}

// Without a handler the stack is not unwound, so the frames are those that
// threw. Addresses are resolved with addr2line.
[[noreturn]] void OnTerminate() {
  std::array<void*, kMaxFrames> frames{};
  const int count = backtrace(frames.data(), static_cast<int>(frames.size()));
  std::ostringstream stack;
  for (int i = 0; i < count; ++i) {
    stack << (i == 0 ? "" : " ") << frames.at(static_cast<std::size_t>(i));
  }
  Log(LogLevel::kError, "process terminates",
      {{"reason", CurrentReason()}, {"stack", stack.str()}});
  std::abort();
}

}  // namespace

void LogTermination() {
  // The first call loads a library, which must not happen during a failure.
  void* frame = nullptr;
  backtrace(&frame, 1);
  std::set_terminate(OnTerminate);
}

}  // namespace carobrill
