// Minimal HTTP/1.1 server and client of the stand-ins, on loopback.
#ifndef REVIEW_STANDIN_HTTP_H_
#define REVIEW_STANDIN_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

// What the server does with a request.
enum class Action {
  kAnswer,
  // Closes the connection without an answer.
  kClose,
  // Keeps the connection open and never answers.
  kSilence,
};

struct Response {
  int status = 200;
  std::string body = "{}";
  std::string type = "application/json";
  Action action = Action::kAnswer;
};

inline std::string Unescape(const std::string& text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result.push_back(
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      result.push_back(text[i]);
    }
  }
  return result;
}

inline std::uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

// Reads one message (start line, headers, body by Content-Length).
class MessageReader {
 public:
  explicit MessageReader(int fd) : fd(fd) {}

  bool Read(std::string& start_line,
            std::map<std::string, std::string>& headers,
            std::string& body) {
    std::size_t end = std::string::npos;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill()) {
        return false;
      }
    }
    std::istringstream head(this->buffer.substr(0, end));
    this->buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, start_line);
    while (!start_line.empty() && start_line.back() == '\r') {
      start_line.pop_back();
    }
    headers.clear();
    while (std::getline(head, line)) {
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      for (char& c : name) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      }
      std::string value = line.substr(colon + 1);
      while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
        value.pop_back();
      }
      value.erase(0, value.find_first_not_of(' '));
      headers[name] = value;
    }
    const std::size_t size = headers.contains("content-length")
                                 ? std::stoul(headers["content-length"])
                                 : 0;
    while (this->buffer.size() < size) {
      if (!this->Fill()) {
        return false;
      }
    }
    body = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return true;
  }

 private:
  bool Fill() {
    char chunk[65536];
    const ssize_t got = recv(this->fd, chunk, sizeof chunk, 0);
    if (got <= 0) {
      return false;
    }
    this->buffer.append(chunk, static_cast<std::size_t>(got));
    return true;
  }

  int fd;
  std::string buffer;
};

inline bool SendAll(int fd, const std::string& data) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t n =
        send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// One thread for each connection. Stop() closes the listener and all
// connections, as the end of the process would.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  explicit Server(Handler handler, std::uint16_t port = 0)
      : handler(std::move(handler)), port(port == 0 ? FreePort() : port) {
    this->Start();
  }
  ~Server() {
    this->Stop();
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }

  std::uint16_t Port() const { return this->port; }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

  void Start() {
    const std::lock_guard lock(this->mutex);
    if (this->listener >= 0) {
      return;
    }
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(this->port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(fd, 256) != 0) {
      close(fd);
      throw std::runtime_error("cannot listen on port " +
                               std::to_string(this->port));
    }
    this->listener = fd;
    ++this->generation;
    this->threads.emplace_back(
        [this, fd, number = this->generation] { this->Accept(fd, number); });
  }

  void Stop() {
    const std::lock_guard lock(this->mutex);
    if (this->listener < 0) {
      return;
    }
    shutdown(this->listener, SHUT_RDWR);
    close(this->listener);
    this->listener = -1;
    ++this->generation;
    for (const int fd : this->connections) {
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  void Accept(int fd, std::uint64_t number) {
    while (true) {
      const int connection = accept(fd, nullptr, nullptr);
      const std::lock_guard lock(this->mutex);
      if (connection < 0) {
        if (this->generation != number) {
          return;
        }
        continue;
      }
      if (this->generation != number) {
        close(connection);
        return;
      }
      const int on = 1;
      setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      this->connections.insert(connection);
      this->threads.emplace_back([this, connection] {
        this->Serve(connection);
        const std::lock_guard closing(this->mutex);
        this->connections.erase(connection);
        close(connection);
      });
    }
  }

  void Serve(int fd) {
    MessageReader reader(fd);
    Request request;
    std::string line;
    while (reader.Read(line, request.headers, request.body)) {
      std::istringstream words(line);
      std::string target;
      words >> request.method >> target;
      request.query.clear();
      const std::size_t mark = target.find('?');
      request.path = target.substr(0, mark);
      if (mark != std::string::npos) {
        std::istringstream pairs(target.substr(mark + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
          const std::size_t equals = pair.find('=');
          if (equals != std::string::npos) {
            request.query[pair.substr(0, equals)] =
                Unescape(pair.substr(equals + 1));
          }
        }
      }
      const Response response = this->handler(request);
      if (response.action == Action::kClose) {
        return;
      }
      if (response.action == Action::kSilence) {
        // Waits for the end of the connection.
        char byte = 0;
        while (recv(fd, &byte, 1, 0) > 0) {
        }
        return;
      }
      std::ostringstream out;
      out << "HTTP/1.1 " << response.status << " X\r\nContent-Type: "
          << response.type << "\r\nContent-Length: " << response.body.size()
          << "\r\n\r\n"
          << response.body;
      if (!SendAll(fd, out.str())) {
        return;
      }
    }
  }

  Handler handler;
  std::uint16_t port;
  std::mutex mutex;
  int listener = -1;
  std::uint64_t generation = 0;
  std::set<int> connections;
  std::vector<std::thread> threads;
};

// One call over a new connection. The status is 0 when no complete answer
// arrived within the time.
inline Response Call(std::uint16_t port,
                     const std::string& method,
                     const std::string& target,
                     const std::map<std::string, std::string>& headers,
                     const std::string& body,
                     std::int64_t timeout_ms) {
  Response result;
  result.status = 0;
  result.body.clear();
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
    std::ostringstream out;
    out << method << " " << target << " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      out << name << ": " << value << "\r\n";
    }
    out << "Content-Length: " << body.size() << "\r\n\r\n" << body;
    if (SendAll(fd, out.str())) {
      MessageReader reader(fd);
      std::string line;
      std::map<std::string, std::string> answer_headers;
      if (reader.Read(line, answer_headers, result.body)) {
        std::istringstream words(line);
        std::string version;
        words >> version >> result.status;
      }
    }
  }
  close(fd);
  return result;
}

}  // namespace standin

#endif  // REVIEW_STANDIN_HTTP_H_
