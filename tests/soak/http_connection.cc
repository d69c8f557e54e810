#include "tests/soak/http_connection.h"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <sstream>
#include <utility>

namespace carobrill::soak {

HttpConnection::HttpConnection(Endpoint server) : server(std::move(server)) {}

HttpConnection::~HttpConnection() {
  this->Close();
}

bool HttpConnection::Open(std::int64_t timeout_ms) {
  if (this->socket_fd < 0) {
    this->socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    this->reader = std::make_unique<standin::MessageReader>(this->socket_fd);
  }
  const timeval limit{timeout_ms / 1000, timeout_ms % 1000 * 1000};
  setsockopt(this->socket_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(this->socket_fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = this->server.Address();
  return connect(this->socket_fd, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0 ||
         errno == EISCONN;
}

void HttpConnection::Close() {
  if (this->socket_fd >= 0) {
    close(std::exchange(this->socket_fd, -1));
  }
}

standin::Response HttpConnection::Call(
    const std::string& method,
    const std::string& target,
    const std::map<std::string, std::string>& headers,
    const std::string& body,
    std::int64_t timeout_ms) {
  standin::Response response;
  response.status = 0;
  response.body.clear();
  std::ostringstream request;
  request << method << " " << target << " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    request << name << ": " << value << "\r\n";
  }
  request << "Content-Length: " << body.size() << "\r\n\r\n" << body;
  std::string start_line;
  std::map<std::string, std::string> answer_headers;
  if (this->Open(timeout_ms) &&
      standin::SendAll(this->socket_fd, request.str()) &&
      this->reader->Read(start_line, answer_headers, response.body)) {
    std::istringstream words(start_line);
    std::string version;
    words >> version >> response.status;
    if (answer_headers["connection"] == "close") {
      this->Close();
    }
  } else {
    this->Close();
  }
  return response;
}

}  // namespace carobrill::soak
