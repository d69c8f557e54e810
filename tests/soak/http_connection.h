#ifndef TESTS_SOAK_HTTP_CONNECTION_H_
#define TESTS_SOAK_HTTP_CONNECTION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "review/standin/http.h"
#include "tests/soak/endpoint.h"

namespace carobrill::soak {

/// A client connection that stays open between calls.
class HttpConnection {
 public:
  explicit HttpConnection(Endpoint server);
  ~HttpConnection();

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// The status is 0 if no complete answer arrived; then the connection is
  /// closed, and the next call opens another one.
  standin::Response Call(const std::string& method,
                         const std::string& target,
                         const std::map<std::string, std::string>& headers,
                         const std::string& body,
                         std::int64_t timeout_ms);

 private:
  bool Open(std::int64_t timeout_ms);
  void Close();

  const Endpoint server;
  int socket_fd = -1;
  std::unique_ptr<standin::MessageReader> reader;
};

}  // namespace carobrill::soak

#endif  // TESTS_SOAK_HTTP_CONNECTION_H_
