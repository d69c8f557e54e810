#ifndef TESTS_SOAK_PROXY_H_
#define TESTS_SOAK_PROXY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "tests/soak/endpoint.h"

namespace carobrill::soak {

/// What happens to the connections of a proxy while a fault is active.
struct LinkFault {
  /// Only connections of this source process; all if empty.
  std::optional<std::size_t> source;
  /// Resets connections and refuses new ones.
  bool refuse = false;
  /// @{
  /// Bytes to the target or to the client stay in the proxy.
  bool hold_requests = false;
  bool hold_replies = false;
  /// @}
  /// When the fault ends, connections with bytes held are reset instead of
  /// delivering the bytes.
  bool drop_held = false;
  /// Added to the time of each byte in both directions.
  std::int64_t delay_ms = 0;
  /// Share of HTTP requests that get no answer and reach the target after a
  /// random time between the two limits, even if the client has gone.
  double late_share = 0;
  std::int64_t late_min_ms = 2'000;
  std::int64_t late_max_ms = 12'000;
};

struct ProxyHooks {
  /// Replaced in bytes to the target; both have the same length.
  std::pair<std::string, std::string> rewrite;
  /// Identifies the process with the given end of a connection.
  std::function<std::optional<std::size_t>(const Endpoint& client)> source_of;
  /// Called with the bytes that have been sent to the target.
  std::function<void(std::string_view)> on_request;
};

/// A TCP proxy with its own thread. Faults may overlap.
class Proxy {
 public:
  Proxy(Endpoint listen, Endpoint target, std::uint64_t seed, ProxyHooks hooks);
  ~Proxy();

  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  const Endpoint& Listen() const { return this->listen; }

  /// Starts a fault and returns its number.
  std::uint64_t Add(const LinkFault& fault);
  /// Ends a fault.
  void Remove(std::uint64_t number);

 private:
  struct Chunk {
    std::int64_t due_ms = 0;
    std::string bytes;
  };
  /// One direction of a connection.
  struct Flow {
    std::deque<Chunk> chunks;
    std::size_t size = 0;
    bool source_ended = false;
    bool source_reset = false;
    bool end_forwarded = false;
    bool sink_gone = false;
  };
  struct Connection {
    int client = -1;
    int server = -1;
    std::optional<std::size_t> source;
    Flow request;
    Flow reply;
    /// A fault withholds all further replies.
    bool unanswered = false;
    bool drop = false;
    bool closed = false;
  };

  void Run();
  void OpenListener();
  void Accept();
  /// Combines the faults that concern the source.
  LinkFault FaultOf(const std::optional<std::size_t>& source);
  void Forward(Connection& connection);
  void Connect(Connection& connection, const LinkFault& fault);
  void Read(int from,
            Flow& flow,
            Connection& connection,
            const LinkFault& fault);
  void Send(int to, Flow& flow, bool to_target);
  static void CloseIfDone(Connection& connection);
  static void Reset(Connection& connection);

  Endpoint listen;
  const Endpoint target;
  const ProxyHooks hooks;
  std::mt19937_64 random;
  std::vector<char> buffer;
  int listener = -1;
  int wake_event = -1;
  std::list<Connection> connections;
  std::mutex mutex;
  /// @{
  /// Protected by the mutex.
  std::map<std::uint64_t, LinkFault> faults;
  std::uint64_t last_fault = 0;
  bool stopping = false;
  /// @}
  std::thread thread;
};

}  // namespace carobrill::soak

#endif  // TESTS_SOAK_PROXY_H_
