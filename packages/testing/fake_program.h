#ifndef PACKAGES_TESTING_FAKE_PROGRAM_H_
#define PACKAGES_TESTING_FAKE_PROGRAM_H_

#include <cstdint>
#include <map>
#include <string>

#include "packages/http/http_types.h"

namespace carobrill::testing {

/// Options of a fake program: "--listen IP", "--port N" and others by name.
struct FakeOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::map<std::string, std::string> values;

  /// The value of option `name` as a number, or `fallback` if it is not set.
  std::int64_t Number(const std::string& name, std::int64_t fallback) const;
};

/// Parses "--name value" pairs and blocks SIGTERM and SIGINT. Must be called
/// before any thread is started.
FakeOptions PrepareFake(int argc, char** argv);

/// Serves requests with `handler`, prints "listening on PORT" and waits for
/// SIGTERM or SIGINT. Returns the exit code.
int ServeFake(const FakeOptions& options, http::HttpHandler handler);

}  // namespace carobrill::testing

#endif  // PACKAGES_TESTING_FAKE_PROGRAM_H_
