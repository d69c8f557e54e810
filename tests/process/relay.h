#ifndef TESTS_PROCESS_RELAY_H_
#define TESTS_PROCESS_RELAY_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <thread>

namespace carobrill::process {

/// What a relay does with its connections.
enum class RelayMode {
  /// Passes all bytes.
  kPass,
  /// Keeps connections open and passes nothing; what waits is passed later.
  kHold,
  /// Passes bytes to the target and holds its replies.
  kHoldReplies,
  /// Resets all connections, new ones too.
  kCut,
};

/// A TCP relay between two ports of the loopback address, with which tests
/// disturb the network between two processes.
class Relay {
 public:
  /// Listens on a free port; bytes go to `target_port`.
  explicit Relay(std::uint16_t target_port);
  ~Relay();

  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// The port on which the relay listens.
  std::uint16_t Port() const { return this->port; }

  /// Changes the mode; in effect for all connections within milliseconds.
  void SetMode(RelayMode mode);

  /// Connections accepted so far.
  std::uint64_t Accepted() const { return this->accepted.load(); }

 private:
  /// Bytes on their way from one socket to another.
  struct Flow {
    std::string waiting;
    bool source_ended = false;
    bool target_told = false;
  };
  struct Connection {
    int client = -1;
    int server = -1;
    Flow request;
    Flow reply;
    bool broken = false;
  };

  void Loop();
  void Accept();
  void Serve(Connection& connection, RelayMode mode);
  static void Move(int from, int to, Flow& flow, Connection& connection);
  static void Reset(Connection& connection);

  const std::uint16_t target_port;
  std::uint16_t port = 0;
  int listener = -1;
  int wake_up = -1;
  std::atomic<RelayMode> mode = RelayMode::kPass;
  std::atomic<bool> ending = false;
  std::atomic<std::uint64_t> accepted = 0;
  std::list<Connection> connections;
  std::thread thread;
};

}  // namespace carobrill::process

#endif  // TESTS_PROCESS_RELAY_H_
