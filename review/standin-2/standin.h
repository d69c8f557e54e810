// Stand-ins of the users' platform for the cases of review 2: store, runners,
// clients and a proxy on loopback addresses, and the programs under test as
// child processes. They follow ../given/kit/more/system/PROTOCOL.md and
// DEPLOY.md; where these are silent they behave like sound servers.
#ifndef REVIEW_STANDIN_2_STANDIN_H_
#define REVIEW_STANDIN_2_STANDIN_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Json = nlohmann::json;
using Lock = std::unique_lock<std::mutex>;

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::max<std::int64_t>(ms, 0)));
}

/// What was sent, answered and run, with the time since the start in seconds.
class Record {
 public:
  explicit Record(const std::string& path)
      : file(std::fopen(path.c_str(), "w")) {
    if (this->file == nullptr) {
      std::perror(path.c_str());
      std::exit(2);
    }
  }
  ~Record() { std::fclose(this->file); }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    const Lock lock(this->mutex);
    std::fprintf(this->file, "%8.3f  ",
                 static_cast<double>(NowMs() - this->began) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(this->file, format, arguments);
    va_end(arguments);
    std::fputc('\n', this->file);
    std::fflush(this->file);
  }

 private:
  std::FILE* file;
  std::mutex mutex;
  std::int64_t began = NowMs();
};

struct Address {
  std::string ip;
  std::uint16_t port = 0;
  std::string Text() const {
    return this->ip + ":" + std::to_string(this->port);
  }
  sockaddr_in Socket() const {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(this->port);
    inet_pton(AF_INET, this->ip.c_str(), &result.sin_addr);
    return result;
  }
};

inline bool SendAll(int fd, const char* data, std::size_t size) {
  while (size > 0) {
    const ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    data += sent;
    size -= static_cast<std::size_t>(sent);
  }
  return true;
}

/// One HTTP/1.1 message; `start` is its first line.
struct Message {
  std::string start;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Reads messages from a connection.
class Reader {
 public:
  explicit Reader(int fd) : fd(fd) {}
  bool Read(Message& message, std::int64_t deadline_ms) {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(deadline_ms)) {
        return false;
      }
    }
    const std::string head = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    message.start = head.substr(0, at);
    while (at != std::string::npos) {
      const std::size_t next = head.find("\r\n", at + 2);
      const std::string line =
          head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::ranges::transform(name, name.begin(), ::tolower);
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] =
            value == std::string::npos ? "" : line.substr(value);
      }
      at = next;
    }
    const auto length = message.headers.find("content-length");
    const std::size_t size =
        length == message.headers.end() ? 0 : std::stoul(length->second);
    while (this->buffer.size() < size) {
      if (!this->Fill(deadline_ms)) {
        return false;
      }
    }
    message.body = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return true;
  }

 private:
  bool Fill(std::int64_t deadline_ms) {
    pollfd waiting{this->fd, POLLIN, 0};
    const std::int64_t left = deadline_ms < 0 ? -1 : deadline_ms - NowMs();
    if ((deadline_ms >= 0 && left <= 0) ||
        poll(&waiting, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char chunk[65536];
    const ssize_t size = recv(this->fd, chunk, sizeof(chunk), 0);
    if (size <= 0) {
      return false;
    }
    this->buffer.append(chunk, static_cast<std::size_t>(size));
    return true;
  }
  int fd;
  std::string buffer;
};

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};
struct Response {
  int status = 0;
  std::string body;
  std::string type = "application/json";
};

/// A server with one thread for each connection.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  explicit Server(Handler handler) : handler(std::move(handler)) {}
  ~Server() { this->Stop(); }

  void Listen(Address& address) {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in name = address.Socket();
    if (bind(this->listener, reinterpret_cast<sockaddr*>(&name),
             sizeof(name)) != 0 ||
        listen(this->listener, 1024) != 0) {
      std::perror(("listen " + address.Text()).c_str());
      std::exit(2);
    }
    socklen_t size = sizeof(name);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&name), &size);
    address.port = ntohs(name.sin_port);
    this->stopping = false;
    this->acceptor = std::thread([this] { this->Accept(); });
  }
  /// Closes the listener and all connections.
  void Stop() {
    if (this->listener < 0) {
      return;
    }
    this->stopping = true;
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    close(this->listener);
    this->listener = -1;
    Lock lock(this->mutex);
    for (const int fd : this->open) {
      shutdown(fd, SHUT_RDWR);
    }
    this->changed.wait(lock, [this] { return this->threads == 0; });
  }

 private:
  void Accept() {
    while (!this->stopping) {
      const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const Lock lock(this->mutex);
      this->open.insert(fd);
      ++this->threads;
      std::thread([this, fd] {
        this->Serve(fd);
        const Lock ended(this->mutex);
        this->open.erase(fd);
        close(fd);
        --this->threads;
        this->changed.notify_all();
      }).detach();
    }
  }
  void Serve(int fd) {
    Reader reader(fd);
    Message message;
    while (!this->stopping && (message = {}, reader.Read(message, -1))) {
      Request request;
      const std::size_t space = message.start.find(' ');
      const std::size_t last = message.start.rfind(' ');
      request.method = message.start.substr(0, space);
      std::string target = message.start.substr(space + 1, last - space - 1);
      const std::size_t mark = target.find('?');
      request.path = target.substr(0, mark);
      if (mark != std::string::npos) {
        ParseQuery(target.substr(mark + 1), request.query);
      }
      request.headers = std::move(message.headers);
      request.body = std::move(message.body);
      const Response response = this->handler(request);
      if (response.status == 0) {
        return;
      }
      const std::string text =
          "HTTP/1.1 " + std::to_string(response.status) +
          " X\r\nContent-Type: " + response.type +
          "\r\nContent-Length: " + std::to_string(response.body.size()) +
          "\r\n\r\n" + response.body;
      if (!SendAll(fd, text.data(), text.size())) {
        return;
      }
    }
  }
  static void ParseQuery(const std::string& text,
                         std::map<std::string, std::string>& query) {
    std::size_t at = 0;
    while (at <= text.size()) {
      const std::size_t end = std::min(text.find('&', at), text.size());
      const std::string pair = text.substr(at, end - at);
      const std::size_t sign = pair.find('=');
      if (sign != std::string::npos) {
        std::string value;
        for (std::size_t i = sign + 1; i < pair.size(); ++i) {
          if (pair[i] == '%' && i + 2 < pair.size()) {
            value += static_cast<char>(
                std::stoi(pair.substr(i + 1, 2), nullptr, 16));
            i += 2;
          } else {
            value += pair[i];
          }
        }
        query[pair.substr(0, sign)] = value;
      }
      at = end + 1;
    }
  }

  Handler handler;
  int listener = -1;
  std::atomic<bool> stopping = false;
  std::thread acceptor;
  std::mutex mutex;
  std::condition_variable changed;
  std::set<int> open;
  int threads = 0;
};

/// A client's connection, which stays open between calls. The status of an
/// answer is 0 if no complete one arrived.
class Connection {
 public:
  explicit Connection(Address server) : server(std::move(server)) {}
  ~Connection() { this->Close(); }
  Response Call(const std::string& method,
                const std::string& path,
                const std::map<std::string, std::string>& headers,
                const std::string& body,
                std::int64_t timeout_ms) {
    const std::int64_t deadline = NowMs() + timeout_ms;
    if (this->fd < 0 && !this->Open(timeout_ms)) {
      return {};
    }
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    if (!headers.contains("Host")) {
      text += "Host: " + this->server.Text() + "\r\n";
    }
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
    Message message;
    if (!SendAll(this->fd, text.data(), text.size()) ||
        !this->reader->Read(message, deadline)) {
      this->Close();
      return {};
    }
    const bool closes = message.headers["connection"] == "close";
    if (closes) {
      this->Close();
    }
    return {std::stoi(message.start.substr(message.start.find(' ') + 1)),
            message.body, ""};
  }
  void Close() {
    if (this->fd >= 0) {
      close(std::exchange(this->fd, -1));
    }
  }

 private:
  bool Open(std::int64_t timeout_ms) {
    this->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeout_ms / 1000, timeout_ms % 1000 * 1000};
    setsockopt(this->fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const int on = 1;
    setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in name = this->server.Socket();
    if (connect(this->fd, reinterpret_cast<const sockaddr*>(&name),
                sizeof(name)) != 0) {
      this->Close();
      return false;
    }
    this->reader = std::make_unique<Reader>(this->fd);
    return true;
  }
  Address server;
  int fd = -1;
  std::unique_ptr<Reader> reader;
};

inline Response Call(const Address& server,
                     const std::string& method,
                     const std::string& path,
                     const std::map<std::string, std::string>& headers,
                     const std::string& body,
                     std::int64_t timeout_ms) {
  Connection connection(server);
  return connection.Call(method, path, headers, body, timeout_ms);
}

/// Passes connections on. Those that are open at Silence() pass nothing more,
/// without a reset, while new ones work.
class Proxy {
 public:
  Proxy(Address listen, Address target)
      : address(std::move(listen)), target(std::move(target)) {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in name = this->address.Socket();
    if (bind(this->listener, reinterpret_cast<sockaddr*>(&name),
             sizeof(name)) != 0 ||
        ::listen(this->listener, 1024) != 0) {
      std::perror("proxy");
      std::exit(2);
    }
    socklen_t size = sizeof(name);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&name), &size);
    this->address.port = ntohs(name.sin_port);
    std::thread([this] { this->Accept(); }).detach();
  }
  const Address& Listen() const { return this->address; }
  /// Returns the number of connections that are silent from now on.
  int Silence() {
    const Lock lock(this->mutex);
    int count = 0;
    for (const auto& link : this->links) {
      count += link->open && !link->silent ? 1 : 0;
      link->silent = true;
    }
    return count;
  }
  int Open() {
    const Lock lock(this->mutex);
    return static_cast<int>(std::ranges::count_if(
        this->links,
        [](const auto& link) { return link->open && !link->silent; }));
  }

 private:
  struct Link {
    int client = -1;
    int server = -1;
    std::atomic<bool> silent = false;
    std::atomic<bool> open = true;
  };
  void Accept() {
    while (true) {
      const int client =
          accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) {
        continue;
      }
      const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in name = this->target.Socket();
      if (connect(server, reinterpret_cast<const sockaddr*>(&name),
                  sizeof(name)) != 0) {
        close(server);
        close(client);
        continue;
      }
      const int on = 1;
      setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      auto link = std::make_shared<Link>();
      link->client = client;
      link->server = server;
      {
        const Lock lock(this->mutex);
        this->links.push_back(link);
      }
      std::thread([link] { Pass(link); }).detach();
    }
  }
  static void Pass(const std::shared_ptr<Link>& link) {
    pollfd ends[2] = {{link->client, POLLIN, 0}, {link->server, POLLIN, 0}};
    char chunk[65536];
    while (true) {
      if (poll(ends, 2, 20) <= 0) {
        continue;
      }
      bool ended = false;
      for (int i = 0; i < 2 && !ended; ++i) {
        if (ends[i].revents == 0) {
          continue;
        }
        const ssize_t size = recv(ends[i].fd, chunk, sizeof(chunk), 0);
        // Bytes of a silent connection are lost; its end is not passed on.
        if (link->silent) {
          ended = size <= 0 && i == 0;
          if (size <= 0 && i == 1) {
            ends[1].fd = -1;
          }
          continue;
        }
        ended = size <= 0 ||
                !SendAll(ends[1 - i].fd, chunk, static_cast<std::size_t>(size));
      }
      if (ended) {
        break;
      }
    }
    link->open = false;
    close(link->client);
    close(link->server);
  }

  Address address;
  Address target;
  int listener = -1;
  std::mutex mutex;
  std::vector<std::shared_ptr<Link>> links;
};

/// The platform's metadata store: keyed topics of one partition.
class Store {
 public:
  explicit Store(Address listen)
      : address(std::move(listen)),
        server([this](const Request& r) { return this->Handle(r); }) {
    this->server.Listen(this->address);
  }
  const Address& Listen() const { return this->address; }

  /// @{
  /// Limits of the settings that the platform hands out.
  static constexpr std::size_t kRecordBytes = 262'144;
  static constexpr std::size_t kCallBytes = 2'097'152;
  static constexpr std::size_t kPartBytes = std::size_t{200} << 20;
  static constexpr std::int64_t kAppendMs = 2;
  static constexpr std::int64_t kBytesPerMs = 20'000;
  static constexpr std::int64_t kReadKb = 1'024;
  /// @}

  /// Number of appends that were refused because a record or the call is too
  /// long, and the longest record seen in any call.
  std::atomic<int> refused_long = 0;
  std::atomic<std::size_t> longest_record = 0;
  /// What the operator writes.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const Lock lock(this->mutex);
    this->Add(this->topics[topic], key, value);
    this->changed.notify_all();
  }

 private:
  struct Stored {
    std::string key;
    std::string value;
  };
  struct Producer {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    std::deque<std::pair<std::uint64_t, Response>> last;
  };
  struct Topic {
    std::uint64_t first = 0;
    std::deque<Stored> records;
    std::size_t bytes = 0;
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    std::map<std::string, Producer> producers;
    std::uint64_t End() const { return this->first + this->records.size(); }
  };

  void Add(Topic& topic, const std::string& key, const std::string& value) {
    const std::uint64_t offset = topic.End();
    topic.records.push_back({key, value});
    topic.bytes += key.size() + value.size();
    if (value.empty()) {
      topic.newest.erase(key);
    } else {
      topic.newest[key] = {offset, value};
    }
    while (topic.bytes > kPartBytes && topic.records.size() > 1) {
      topic.bytes -=
          topic.records.front().key.size() + topic.records.front().value.size();
      topic.records.pop_front();
      ++topic.first;
    }
  }
  static std::uint64_t Number(const Request& request,
                              const char* name,
                              std::uint64_t other = 0) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? other : std::stoull(found->second);
  }
  static std::string Base64(const std::string& bytes) {
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        group = group << 8 |
                (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                      : 0U);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        text +=
            i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
      }
    }
    return text;
  }
  static void BigEndian(std::string& text, std::uint64_t value, int bytes) {
    for (int i = bytes; i-- > 0;) {
      text += static_cast<char>(value >> 8 * i & 0xff);
    }
  }

  Response Handle(const Request& request) {
    const auto topic = request.query.find("topic");
    if (topic == request.query.end()) {
      return {404, "{}"};
    }
    if (request.method == "POST" && request.path == "/log-append") {
      return this->Append(request, topic->second);
    }
    if (request.method == "GET" && request.path == "/log-read") {
      return this->Read(request, topic->second);
    }
    if (request.method == "GET" && request.path == "/log-newest") {
      return this->Newest(request, topic->second);
    }
    return {404, "{}"};
  }

  Response Append(const Request& request, const std::string& name) {
    std::vector<Stored> added;
    const std::string& body = request.body;
    bool too_long = body.size() > kCallBytes;
    std::size_t longest = 0;
    for (std::size_t at = 0; at < body.size();) {
      if (body.size() - at < 4) {
        return {400, "{}"};
      }
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i) {
        size = size << 8 | static_cast<unsigned char>(body[at++]);
      }
      if (size == 0 || body.size() - at < size) {
        return {400, "{}"};
      }
      longest = std::max(longest, size);
      too_long = too_long || size > kRecordBytes;
      const std::size_t key = static_cast<unsigned char>(body[at]);
      if (key + 1 > size) {
        return {400, "{}"};
      }
      added.push_back({body.substr(at + 1, key),
                       body.substr(at + 1 + key, size - 1 - key)});
      at += size;
    }
    this->longest_record = std::max<std::size_t>(this->longest_record, longest);
    if (too_long) {
      ++this->refused_long;
      return {400, "{}"};
    }
    // A partition processes its appends one at a time.
    const Lock turn(this->turns[name]);
    SleepMs(kAppendMs + static_cast<std::int64_t>(body.size()) / kBytesPerMs);
    const Lock lock(this->mutex);
    Topic& topic = this->topics[name];
    const auto producer_name = request.query.find("producer");
    Producer* producer = nullptr;
    const std::uint64_t epoch = Number(request, "epoch");
    const std::uint64_t sequence = Number(request, "seq");
    if (producer_name != request.query.end()) {
      producer = &topic.producers[producer_name->second];
      if (epoch < producer->epoch) {
        return {409, R"({"reason":"fenced"})"};
      }
      if (epoch == producer->epoch) {
        for (const auto& [known, response] : producer->last) {
          if (known == sequence) {
            return response;
          }
        }
        if (sequence != producer->next) {
          return {409,
                  Json{{"reason", "seq"}, {"expected", producer->next}}.dump()};
        }
      }
    }
    if (request.query.contains("at") && Number(request, "at") != topic.End()) {
      return {412, Json{{"end", topic.End()}}.dump()};
    }
    const std::uint64_t offset = topic.End();
    for (const Stored& record : added) {
      this->Add(topic, record.key, record.value);
    }
    const Response response{
        200, Json{{"offset", offset}, {"end", topic.End()}}.dump()};
    if (producer != nullptr) {
      if (epoch > producer->epoch) {
        producer->last.clear();
      }
      producer->epoch = epoch;
      producer->next = sequence + 1;
      producer->last.emplace_back(sequence, response);
      if (producer->last.size() > 5) {
        producer->last.pop_front();
      }
    }
    this->changed.notify_all();
    return response;
  }

  Response Read(const Request& request, const std::string& name) {
    const std::uint64_t from = Number(request, "from");
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(Number(request, "wait_ms"));
    Lock lock(this->mutex);
    this->changed.wait_until(lock, until, [&] {
      return from < this->topics[name].End() || from < this->topics[name].first;
    });
    const Topic& topic = this->topics[name];
    if (from < topic.first) {
      return {410, Json{{"first", topic.first}}.dump()};
    }
    std::string body;
    BigEndian(body, topic.End(), 8);
    BigEndian(body, topic.first, 8);
    for (std::uint64_t at = from; at < topic.End(); ++at) {
      const Stored& record = topic.records[at - topic.first];
      const std::size_t size = 1 + record.key.size() + record.value.size();
      if (body.size() > 16 && body.size() + size > kReadKb * 1024) {
        break;
      }
      BigEndian(body, size, 4);
      body += static_cast<char>(record.key.size());
      body += record.key + record.value;
    }
    lock.unlock();
    SleepMs(1);
    return {200, body, "application/octet-stream"};
  }

  Response Newest(const Request& request, const std::string& name) {
    const Lock lock(this->mutex);
    const Topic& topic = this->topics[name];
    const auto after = request.query.find("depends_on");
    Json items = Json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (auto at = after == request.query.end()
                       ? topic.newest.begin()
                       : topic.newest.upper_bound(after->second);
         at != topic.newest.end(); ++at) {
      if (items.size() >= 500 ||
          (bytes > 0 && bytes + at->second.second.size() > 1'000'000)) {
        more = true;
        break;
      }
      bytes += at->second.second.size();
      items.push_back({{"key", at->first},
                       {"value", Base64(at->second.second)},
                       {"offset", at->second.first}});
    }
    return {
        200,
        Json{{"items", items}, {"more", more}, {"end", topic.End()}}.dump()};
  }

  Address address;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Topic> topics;
  std::map<std::string, std::mutex> turns{};
  Server server;
};

/// A runner: one life after the other of one machine.
class Runner {
 public:
  struct Settings {
    std::string name;
    std::string service;
    std::string zone;
    std::string rack;
    std::int64_t cpu = 32'000;
    std::int64_t mem_mb = 131'072;
    std::int64_t gpu = 8;
    std::int64_t stop_ms = 200;
    std::int64_t hold_max_ms = 6'000;
    std::int64_t heartbeat_ms = 1'500;
    /// Time that each answer takes.
    std::int64_t answer_ms = 4;
    /// Time until a task that lasts is at work.
    std::int64_t startup_ms = 300;
  };
  /// How long a task works, in ms; negative for one that lasts.
  using WorkOf = std::function<std::int64_t(const std::string& task)>;
  struct Run {
    std::string task;
    std::int64_t run = 0;
    std::int64_t began_ms = 0;
    std::int64_t ended_ms = 0;
    std::string how;
  };

  Runner(Settings settings,
         Address listen,
         Address control,
         Record& record,
         WorkOf work_of)
      : settings(std::move(settings)),
        address(std::move(listen)),
        control(std::move(control)),
        record(record),
        work_of(std::move(work_of)),
        server([this](const Request& r) { return this->Handle(r); }) {
    this->server.Listen(this->address);
    this->BeginLife();
    this->ticker = std::thread([this] { this->Tick(); });
    this->beats = std::thread([this] { this->Beat(); });
  }
  ~Runner() {
    this->ending = true;
    this->ticker.join();
    this->beats.join();
    this->server.Stop();
  }
  const Address& Listen() const { return this->address; }
  const std::string& Id() const { return this->id; }
  /// Writes each start and end into the record.
  bool verbose = true;

  /// The process ends: connections are refused, and nothing runs on.
  void Crash() {
    {
      const Lock lock(this->mutex);
      this->up = false;
      this->record.Line("runner %s (%s) crashes", this->settings.name.c_str(),
                        this->id.c_str());
      while (!this->tasks.empty()) {
        this->End(this->tasks.begin(), "lost with the runner");
      }
      this->changed.notify_all();
    }
    this->server.Stop();
  }
  /// The process ends silently: connections stay open or are taken, and nothing
  /// is answered any more.
  void GoDark() {
    const Lock lock(this->mutex);
    this->dark = true;
    this->record.Line("runner %s (%s) goes dark for good",
                      this->settings.name.c_str(), this->id.c_str());
    this->up = false;
    while (!this->tasks.empty()) {
      this->End(this->tasks.begin(), "lost with the runner");
    }
    this->changed.notify_all();
  }
  /// Starts again under its id; the first heartbeat follows after 300 ms.
  void ReturnUnderId() {
    const Lock lock(this->mutex);
    const std::string known = this->id;
    this->BeginLife();
    this->id = known;
    this->dark = false;
    this->beat_at = NowMs() + 300;
    this->record.Line("runner %s starts again under its id",
                      this->settings.name.c_str());
  }
  std::function<void()> on_start;
  void Restart() {
    {
      const Lock lock(this->mutex);
      this->BeginLife();
      this->record.Line("runner %s starts again as %s",
                        this->settings.name.c_str(), this->id.c_str());
    }
    this->server.Listen(this->address);
  }
  /// Tasks that run now, and all runs that have ended.
  std::vector<Run> Running() {
    const Lock lock(this->mutex);
    std::vector<Run> result;
    for (const auto& [task, work] : this->tasks) {
      result.push_back({task, work.run, work.began_ms, 0, ""});
    }
    return result;
  }
  std::vector<Run> Ended() {
    const Lock lock(this->mutex);
    return this->history;
  }

 private:
  struct Work {
    std::int64_t run = 0;
    std::int64_t began_ms = 0;
    std::int64_t length_ms = 0;
    std::int64_t stops_at_ms = 0;
  };
  struct EndRow {
    std::int64_t number;
    std::string task;
    std::int64_t run;
    std::string how;
  };
  using Tasks = std::map<std::string, Work>;

  void BeginLife() {
    static std::atomic<int> lives = 0;
    this->id = "i-" + std::to_string(getpid()) + "-" + std::to_string(++lives);
    this->born = UnixMs();
    this->clock_base = NowMs() - 1'000;
    this->sequence = 0;
    this->fence = 0;
    this->until = 0;
    this->ends.clear();
    this->closed.clear();
    this->last_end = 0;
    this->up = true;
  }
  std::int64_t Clock() const { return NowMs() - this->clock_base; }

  void End(Tasks::iterator task, const std::string& how) {
    const std::string name = task->first;
    const Work work = task->second;
    this->tasks.erase(task);
    this->closed[name] = std::max(this->closed[name], work.run);
    this->ends.push_back({++this->last_end, name, work.run, how});
    this->history.push_back({name, work.run, work.began_ms, NowMs(), how});
    if (this->verbose) {
      this->record.Line("runner %s: task %s run %ld ends %s after %ld ms",
                        this->settings.name.c_str(), name.c_str(),
                        static_cast<long>(work.run), how.c_str(),
                        static_cast<long>(NowMs() - work.began_ms));
    }
  }
  void Tick() {
    while (!this->ending) {
      SleepMs(5);
      const Lock lock(this->mutex);
      const std::int64_t now = NowMs();
      const bool lapsed = !this->tasks.empty() && this->Clock() >= this->until;
      if (lapsed) {
        this->record.Line("runner %s: the lease ends, %zu tasks lapse",
                          this->settings.name.c_str(), this->tasks.size());
      }
      bool any = false;
      for (auto at = this->tasks.begin(); at != this->tasks.end();) {
        const auto task = at++;
        const Work& work = task->second;
        const bool done =
            work.length_ms >= 0 && now >= work.began_ms + work.length_ms;
        const bool stopped = work.stops_at_ms > 0 && now >= work.stops_at_ms;
        if (lapsed || done || stopped) {
          this->End(task, done ? "done" : lapsed ? "lapsed" : "stopped");
          any = true;
        }
      }
      if (any) {
        this->changed.notify_all();
      }
    }
  }
  void Beat() {
    std::int64_t next = NowMs();
    while (!this->ending) {
      SleepMs(10);
      if (NowMs() < std::max<std::int64_t>(next, this->beat_at)) {
        continue;
      }
      std::string path;
      Json body;
      {
        const Lock lock(this->mutex);
        if (!this->up) {
          next = NowMs();
          continue;
        }
        path = "/instances/" + this->id;
        body = {{"service", this->settings.service},
                {"address", this->address.Text()},
                {"zone", this->settings.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_left_ms", 0},
                {"capacity",
                 {{"cpu", this->settings.cpu},
                  {"mem_mb", this->settings.mem_mb},
                  {"gpu", this->settings.gpu}}},
                {"labels", {"a", this->settings.rack}},
                {"clock_ms", this->Clock()},
                {"born", this->born},
                {"seq", ++this->sequence}};
      }
      const Response answer =
          Call(this->control, "PUT", path, {}, body.dump(), 1'000);
      next =
          NowMs() + (answer.status == 200 ? this->settings.heartbeat_ms : 300);
    }
  }

  static std::int64_t Integer(const Json& body, const char* name) {
    const auto found = body.find(name);
    return found != body.end() && found->is_number()
               ? found->get<std::int64_t>()
               : 0;
  }
  Response Answer(int status, Json body = Json::object()) const {
    body["clock_ms"] = this->Clock();
    return {status, body.dump()};
  }
  Response Handle(const Request& request) {
    SleepMs(this->settings.answer_ms);
    Lock lock(this->mutex);
    const std::int64_t life_at_call = this->born;
    while (this->dark && !this->ending) {
      lock.unlock();
      SleepMs(20);
      lock.lock();
    }
    if (!this->up || this->born != life_at_call) {
      return {};
    }
    const auto expected = request.headers.find("expect-instance");
    if (expected != request.headers.end() && expected->second != this->id) {
      return this->Answer(421);
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (request.method != "POST" || !body.is_object()) {
      return this->Answer(400);
    }
    const std::int64_t fence = Integer(body, "fence");
    if (fence < this->fence) {
      return this->Answer(409, {{"reason", "fence"}});
    }
    this->fence = fence;
    if (request.path == "/run-start") {
      return this->Start(body);
    }
    if (request.path == "/run-stop") {
      const std::string task = body.value("task", "");
      const std::int64_t run = Integer(body, "run");
      this->closed[task] = std::max(this->closed[task], run);
      const auto known = this->tasks.find(task);
      if (known != this->tasks.end() && known->second.run <= run &&
          known->second.stops_at_ms == 0) {
        known->second.stops_at_ms = NowMs() + this->settings.stop_ms / 2;
      }
      return this->Answer(200);
    }
    if (request.path == "/pace") {
      return this->Answer(200);
    }
    return request.path == "/hold" ? this->Hold(lock, body) : this->Answer(404);
  }
  void Extend(const Json& body) {
    this->until = std::max(
        this->until, std::min(Integer(body, "until_ms"),
                              this->Clock() + this->settings.hold_max_ms));
  }
  Response Start(const Json& body) {
    const std::string task = body.value("task", "");
    const std::int64_t run = Integer(body, "run");
    if (Integer(body, "until_ms") <= this->Clock()) {
      return this->Answer(409, {{"reason", "late"}});
    }
    this->Extend(body);
    const auto known = this->tasks.find(task);
    if (known != this->tasks.end() && known->second.run == run) {
      return this->Answer(200);
    }
    const auto closed = this->closed.find(task);
    if ((closed != this->closed.end() && run <= closed->second) ||
        known != this->tasks.end()) {
      return this->Answer(409, {{"reason", "old"}});
    }
    this->tasks[task] = {run, NowMs(), this->work_of(task), 0};
    if (this->on_start)
      this->on_start();
    if (this->verbose) {
      this->record.Line("runner %s: task %s run %ld starts",
                        this->settings.name.c_str(), task.c_str(),
                        static_cast<long>(run));
    }
    return this->Answer(200);
  }
  Response Hold(Lock& lock, const Json& body) {
    const std::int64_t seen = Integer(body, "last_seen");
    std::erase_if(this->ends,
                  [&](const EndRow& end) { return end.number <= seen; });
    this->Extend(body);
    const std::string life = this->id;
    const std::int64_t life_at = this->born;
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(std::min<std::int64_t>(
                           Integer(body, "wait_ms"), 2'000));
    this->changed.wait_until(lock, until, [&] {
      return !this->ends.empty() || this->id != life || !this->up;
    });
    while (this->dark && !this->ending) {
      lock.unlock();
      SleepMs(20);
      lock.lock();
    }
    if (!this->up || this->id != life || this->born != life_at) {
      return {};
    }
    Json running = Json::array();
    const std::int64_t now = NowMs();
    for (const auto& [task, work] : this->tasks) {
      const std::int64_t percent =
          work.length_ms < 0
              ? (now >= work.began_ms + this->settings.startup_ms ? 100 : 50)
              : std::min<std::int64_t>(
                    99, (now - work.began_ms) * 100 /
                            std::max<std::int64_t>(work.length_ms, 1));
      running.push_back({task, work.run, "", percent, 0});
    }
    Json ended = Json::array();
    for (const EndRow& end : this->ends) {
      if (ended.size() < 500) {
        ended.push_back({end.number, end.task, end.run, end.how, ""});
      }
    }
    return this->Answer(200, {{"running_tasks", running},
                              {"ended_tasks", ended},
                              {"born", this->born}});
  }

  Settings settings;
  Address address;
  Address control;
  Record& record;
  WorkOf work_of;
  std::mutex mutex;
  std::condition_variable changed;
  bool up = false;
  bool dark = false;
  std::atomic<std::int64_t> beat_at = 0;
  std::string id;
  std::int64_t born = 0;
  std::int64_t clock_base = 0;
  std::int64_t sequence = 0;
  std::int64_t fence = 0;
  std::int64_t until = 0;
  std::int64_t last_end = 0;
  Tasks tasks;
  std::deque<EndRow> ends;
  std::map<std::string, std::int64_t> closed;
  std::vector<Run> history;
  std::atomic<bool> ending = false;
  Server server;
  std::thread ticker;
  std::thread beats;
};

/// A program under test, started with the command of the deploy file.
class Child {
 public:
  Child(std::string name,
        std::string program,
        std::string settings,
        std::string log,
        Record& record)
      : name(std::move(name)),
        program(std::move(program)),
        settings(std::move(settings)),
        log(std::move(log)),
        record(record) {}
  ~Child() { this->Kill(); }
  void Start() {
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child < 0) {
      std::perror("fork");
      std::exit(2);
    }
    if (child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(127);
      }
      const int output = open(this->log.c_str(),
                              O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      execl(this->program.c_str(), this->program.c_str(), "--settings",
            this->settings.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    this->pid = child;
    this->record.Line("%s starts, pid %d", this->name.c_str(), child);
  }
  void Signal(int number) {
    if (this->pid > 0) {
      this->record.Line("%s gets signal %d", this->name.c_str(), number);
      kill(this->pid, number);
    }
  }
  void Kill() {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }
  /// Returns the wait status once after the program has ended.
  std::optional<int> Reap() {
    int status = 0;
    if (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) != this->pid) {
      return std::nullopt;
    }
    this->pid = -1;
    this->record.Line("%s has ended, wait status %d", this->name.c_str(),
                      status);
    return status;
  }
  /// Resident memory in MB; 0 if it does not run.
  std::int64_t MemoryMb() const {
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
    std::int64_t size = 0;
    std::int64_t resident = 0;
    file >> size >> resident;
    return this->pid > 0 ? resident * sysconf(_SC_PAGESIZE) >> 20 : 0;
  }
  const std::string& Name() const { return this->name; }
  bool Running() const { return this->pid > 0; }

 private:
  std::string name;
  std::string program;
  std::string settings;
  std::string log;
  Record& record;
  pid_t pid = -1;
};

/// A queue of the operator's configuration.
struct Queue {
  std::string prefix;
  int priority = 1;
  int max_attempts = 3;
};

/// A small deployment. Each machine has an address of its own in 127.0.0.0/8.
/// The bounds are those of phamgia-hoop.
class Site {
 public:
  struct Options {
    int gateways = 3;
    int runners = 3;
    Runner::Settings runner;
    /// Places a proxy between each gateway and the store.
    bool store_proxies = false;
    /// Places a proxy between each agent and its runner.
    bool runner_proxies = false;
  };
  Site(const Options& options, Record& record, Runner::WorkOf work_of)
      : record(record) {
    const char* folder = std::getenv("CASE_FOLDER");
    const char* program = std::getenv("CASE_PROGRAM");
    if (folder == nullptr || program == nullptr) {
      std::fprintf(stderr, "CASE_FOLDER and CASE_PROGRAM must be set\n");
      std::exit(2);
    }
    this->folder = folder;
    this->program = program;
    this->net = "127." + std::to_string(60 + getpid() % 150) + "." +
                std::to_string(getpid() / 150 % 250) + ".";
    this->store = std::make_unique<Store>(Address{this->net + "1", 8'524});
    for (int i = 0; i < options.gateways; ++i) {
      this->AddGateway(i, options);
    }
    for (int i = 0; i < options.runners; ++i) {
      this->AddRunner(i, options, work_of);
    }
  }
  ~Site() {
    for (auto& child : this->children) {
      child->Kill();
    }
  }

  /// Starts all programs, and waits until the gateways are ready and the agents
  /// know their runners.
  void Start() {
    for (auto& child : this->children) {
      child->Start();
    }
    const std::int64_t until = NowMs() + 20'000;
    for (const Address& ready : this->ready) {
      while (Call(ready, "GET", "/ready", {}, "", 300).status != 200) {
        if (NowMs() > until) {
          std::fprintf(stderr, "a gateway is not ready\n");
          std::exit(2);
        }
        SleepMs(100);
      }
    }
    // Traffic starts some seconds after the machines do.
    SleepMs(4'000);
  }

  struct Answer {
    int status = 0;
    Json body;
    std::int64_t age_ms = 0;
  };
  /// One call of a client; each try is written into the record.
  Answer Ask(int gateway,
             const std::string& method,
             const std::string& path,
             const std::string& key,
             const Json& body = {},
             bool quiet = false) {
    constexpr std::int64_t kDeadlineMs = 3'000;
    const std::int64_t sent = NowMs();
    const Response response =
        Call(this->fronts[static_cast<std::size_t>(gateway)], method, path,
             {{"Host", "host.example"},
              {"Authorization", "Bearer " + key},
              {"Deadline-Ms", std::to_string(kDeadlineMs)}},
             body.is_null() ? "" : body.dump(), kDeadlineMs);
    if (!quiet) {
      std::string text = response.body.substr(0, 100);
      this->record.Line("client: %s %s at gateway %d -> %d %s (%ld ms)",
                        method.c_str(), path.c_str(), gateway, response.status,
                        text.c_str(), static_cast<long>(NowMs() - sent));
    }
    return {response.status, Json::parse(response.body, nullptr, false),
            NowMs() - sent};
  }
  /// Submits a job, again while there is no final answer. Returns whether it
  /// was accepted.
  bool Submit(const std::string& path,
              const std::string& key,
              const Json& job) {
    for (int i = 0; i < 40; ++i) {
      const Answer answer = this->Ask(i % static_cast<int>(this->fronts.size()),
                                      "POST", path, key, job);
      if (answer.status / 100 == 2) {
        return true;
      }
      SleepMs(300);
    }
    return false;
  }
  std::string State(const std::string& path,
                    const std::string& key,
                    int gateway,
                    bool quiet = false) {
    const Answer answer = this->Ask(gateway, "GET", path, key, {}, quiet);
    if (answer.status != 200 || !answer.body.is_object()) {
      return std::to_string(answer.status);
    }
    return answer.body.value("state", "?");
  }

  Record& record;
  std::string net;
  std::unique_ptr<Store> store;
  std::vector<Address> fronts;
  std::vector<Address> ready;
  std::vector<std::unique_ptr<Child>> children;
  std::vector<std::unique_ptr<Runner>> runners;
  std::vector<std::unique_ptr<Proxy>> store_proxies;
  std::vector<std::unique_ptr<Proxy>> runner_proxies;

 private:
  static std::string Zone(int number) {
    return "zone-" + std::to_string(number % 3);
  }

  void AddChild(const std::string& name, const Json& settings) {
    const std::string path = this->folder + "/" + name + ".json";
    std::ofstream(path) << settings.dump(2);
    this->children.push_back(std::make_unique<Child>(
        name, this->program, path, this->folder + "/" + name + ".log",
        this->record));
  }
  Json Instance(const std::string& name, const std::string& ip, int number) {
    return {{"id", name},
            {"failure_domain", Zone(number)},
            {"region", "region-a"},
            {"rpc", {{"address", ip}, {"port", 7'300}}},
            {"http", {{"address", ip}, {"port", 7'001}}}};
  }
  std::string StoreFor(const std::string& ip, bool proxied) {
    if (!proxied) {
      return this->store->Listen().Text();
    }
    this->store_proxies.push_back(
        std::make_unique<Proxy>(Address{ip, 8'600}, this->store->Listen()));
    return this->store_proxies.back()->Listen().Text();
  }
  void AddGateway(int number, const Options& options) {
    const std::string ip = this->net + std::to_string(10 + number);
    const std::string name = "edge-" + std::to_string(number);
    Json instance = Instance(name, ip, number);
    instance["processor_share"] = 0.25;
    this->fronts.push_back({ip, 8'521});
    this->ready.push_back({ip, 8'523});
    this->AddChild(name,
                   {{"role", "gateway"},
                    {"instance", instance},
                    {"gateway",
                     {{"front", this->fronts.back().Text()},
                      {"ready", this->ready.back().Text()},
                      {"store", this->StoreFor(ip, options.store_proxies)},
                      {"task_stop_ms", options.runner.stop_ms},
                      {"task_lease_limit_ms", options.runner.hold_max_ms},
                      {"key_revocation_ms", 5'000},
                      {"job_status_s", 120}}}});
  }
  void AddRunner(int number,
                 const Options& options,
                 const Runner::WorkOf& work_of) {
    const std::string ip = this->net + std::to_string(100 + number);
    const std::string name = "side-" + std::to_string(number);
    Runner::Settings settings = options.runner;
    settings.name = "runner-" + std::to_string(number);
    settings.service = "svc";
    settings.zone = Zone(number);
    if (settings.rack.empty()) {
      settings.rack = "r1-" + std::to_string(number / 3);
    }
    const Address control{ip, 8'526};
    this->runners.push_back(std::make_unique<Runner>(
        settings, Address{ip, 8'529}, control, this->record, work_of));
    Address app = this->runners.back()->Listen();
    if (options.runner_proxies) {
      this->runner_proxies.push_back(
          std::make_unique<Proxy>(Address{ip, 8'601}, app));
      app = this->runner_proxies.back()->Listen();
    }
    this->AddChild(name, {{"role", "worker_agent"},
                          {"instance", Instance(name, ip, number)},
                          {"worker_agent",
                           {{"heartbeat", control.Text()},
                            {"worker", app.Text()},
                            {"store", this->store->Listen().Text()}}}});
  }

  std::string folder;
  std::string program;
};

/// The operator's configuration: one service, and tenants with their key and
/// guaranteed accelerators. A queue is named by its prefix.
struct Tenant {
  std::string name;
  std::string key;
  int guaranteed = 0;
};
inline Json Config(int version,
                   const std::vector<Queue>& queues,
                   const std::vector<Tenant>& tenants) {
  Json routes = Json::array();
  for (const Queue& queue : queues) {
    routes.push_back({{"name", "r-" + queue.prefix},
                      {"host", "host.example"},
                      {"path_prefix", "/" + queue.prefix + "/"},
                      {"kind", "non_idempotent"},
                      {"timeout_ms", 3'000},
                      {"slo_ms", 1'000},
                      {"priority", queue.priority},
                      {"service", "svc"},
                      {"max_attempts", queue.max_attempts},
                      {"stretch", 3.0},
                      {"anonymous", false}});
  }
  Json accounts = Json::array();
  for (const Tenant& tenant : tenants) {
    accounts.push_back({{"name", tenant.name},
                        {"api_keys", {tenant.key}},
                        {"priority", 1},
                        {"guaranteed", {{"gpu", tenant.guaranteed}}}});
  }
  return {{"version", version},
          {"routes", routes},
          {"services",
           {{{"name", "svc"},
             {"health_path", "/health"},
             {"max_conns", 64},
             {"protocol", "h1"},
             {"tls", false},
             {"admission_check", false},
             {"standby", false}}}},
          {"limits",
           {{"max_header_bytes", 16'384},
            {"max_body_bytes", 262'144},
            {"header_timeout_ms", 3'000},
            {"idle_timeout_ms", 15'000}}},
          {"tenants", accounts}};
}

/// The ID of a job, 16 hexadecimal digits.
inline std::string JobId(std::uint64_t number) {
  char text[17];
  std::snprintf(
      text, sizeof(text), "%016llx",
      static_cast<unsigned long long>(0xc0de000000000000ULL + number));
  return text;
}

/// True unless the script was started with TROUBLE=0.
inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace standin

#endif  // REVIEW_STANDIN_2_STANDIN_H_
