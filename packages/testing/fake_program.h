#ifndef PACKAGES_TESTING_FAKE_PROGRAM_H_
#define PACKAGES_TESTING_FAKE_PROGRAM_H_

#include <cstdint>
#include <map>
#include <string>

#include "packages/http/http_types.h"

namespace carobrill::testing {

/// Options of a fake: "--listen IP", "--port N" and others by name.
struct FakeOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::map<std::string, std::string> values;

  /// The number given as `name`, or `fallback`.
  std::int64_t Number(const std::string& name, std::int64_t fallback) const;
};

/// Reads "--name value" pairs and blocks the signals that end the program. Call
/// it before any thread starts.
FakeOptions PrepareFake(int argc, char** argv);

/// Serves `handler`, prints "listening on PORT" and waits for SIGTERM or
/// SIGINT. Returns the exit code.
int ServeFake(const FakeOptions& options, http::HttpHandler handler);

}  // namespace carobrill::testing

#endif  // PACKAGES_TESTING_FAKE_PROGRAM_H_
