#ifndef TESTS_MEMBERSHIP_NETWORK_H_
#define TESTS_MEMBERSHIP_NETWORK_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/membership/announcement_schedule.h"
#include "packages/membership/directory.h"

namespace carobrill::membership {

/// Realistic boot time in microseconds, so that messages have their real size.
inline constexpr Incarnation kFirstIncarnation = 1'790'000'000'000'000;

/// Simulates entries and agents that send announcements and digests, in steps
/// of 50 ms of virtual time. Messages arrive immediately or are lost.
class Network {
 public:
  struct Agent {
    std::string id;
    Incarnation incarnation = kFirstIncarnation;
    bool running = true;
    bool has_endpoint = false;
    rpc::EndpointState state = rpc::ENDPOINT_STATE_SERVING;
    std::uint32_t slots_used = 0;
    std::unique_ptr<AnnouncementSchedule> schedule;
    bool must_leave = false;
  };

  struct Entry {
    std::string id;
    Incarnation incarnation = kFirstIncarnation;
    bool running = true;
    std::unique_ptr<Directory> directory;
  };

  Network(std::size_t entry_count,
          std::size_t agent_count,
          std::size_t endpoint_count,
          std::uint64_t seed);

  /// Advances virtual time by `ms`, a multiple of 50.
  void Run(std::int64_t ms);

  void RestartAgent(std::size_t agent);
  void StopAgent(std::size_t agent) { this->agents[agent].running = false; }
  void RestartEntry(std::size_t entry);
  void StopEntry(std::size_t entry) { this->entries[entry].running = false; }
  /// Disconnects or reconnects two processes by name.
  void SetConnected(const std::string& a, const std::string& b, bool connected);

  /// Returns the first error in the views of running entries after the network
  /// has settled, or an empty string.
  std::string FindViewError() const;

  rpc::AnnounceRequest Announcement(const Agent& agent) const;

  Instant now{10'000};
  std::vector<Entry> entries;
  std::vector<Agent> agents;
  int loss_percent = 0;
  /// Randomizes the load of every endpoint at each announcement.
  bool vary_load = false;

 private:
  static std::string AddressOf(std::size_t entry) {
    return "10.0.0." + std::to_string(entry) + ":7000";
  }
  std::size_t EntryAt(const std::string& address) const;
  void StartAgent(Agent& agent);
  void StartEntry(std::size_t entry);
  bool IsLost(const std::string& from, const std::string& to);
  void Announce(Agent& agent);
  void ExchangeDigests(std::size_t from);
  std::string FindViewErrorOf(const Entry& entry) const;

  std::mt19937_64 random;
  std::vector<std::string> addresses;
  std::set<std::pair<std::string, std::string>> disconnected_pairs;
};

}  // namespace carobrill::membership

#endif  // TESTS_MEMBERSHIP_NETWORK_H_
