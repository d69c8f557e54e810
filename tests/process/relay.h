#ifndef TESTS_PROCESS_RELAY_H_
#define TESTS_PROCESS_RELAY_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <thread>

namespace carobrill::process {

/// How a relay treats its connections.
enum class RelayMode {
  /// Forwards all bytes.
  kForward,
  /// Keeps connections open but forwards nothing; pending bytes are forwarded
  /// later.
  kHold,
  /// Forwards bytes to the target but holds back its replies.
  kHoldReplies,
  /// Resets all connections, including new ones.
  kReset,
};

/// A TCP relay on loopback that lets tests inject network faults between two
/// processes.
class Relay {
 public:
  /// Listens on a free port and forwards connections to `target_port`.
  explicit Relay(std::uint16_t target_port);
  ~Relay();

  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// The port on which the relay listens.
  std::uint16_t Port() const { return this->port; }

  /// Changes the mode; takes effect for all connections within milliseconds.
  void SetMode(RelayMode mode);

  /// Number of connections accepted so far.
  std::uint64_t Accepted() const { return this->accepted.load(); }

 private:
  /// One direction of a connection.
  struct Flow {
    std::string buffered;
    bool source_ended = false;
    bool shutdown_forwarded = false;
  };
  struct Connection {
    int client = -1;
    int server = -1;
    Flow request;
    Flow reply;
    bool closed = false;
  };

  void Run();
  void Accept();
  void ForwardConnection(Connection& connection, RelayMode mode);
  static void Transfer(int from, int to, Flow& flow, Connection& connection);
  static void Reset(Connection& connection);

  const std::uint16_t target_port;
  std::uint16_t port = 0;
  int listener = -1;
  int wake_event = -1;
  std::atomic<RelayMode> mode = RelayMode::kForward;
  std::atomic<bool> stopping = false;
  std::atomic<std::uint64_t> accepted = 0;
  std::list<Connection> connections;
  std::thread thread;
};

}  // namespace carobrill::process

#endif  // TESTS_PROCESS_RELAY_H_
