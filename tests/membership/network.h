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

/// A start time in microseconds, so that messages have their real size.
inline constexpr Incarnation kFirstIncarnation = 1'790'000'000'000'000;

/// Entries and agents that announce themselves and exchange digests, in steps
/// of 50 ms of a virtual clock. Messages arrive at once or are lost.
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

  /// Runs `ms` of virtual time, a multiple of 50.
  void Run(std::int64_t ms);

  void RestartAgent(std::size_t agent);
  void StopAgent(std::size_t agent) { this->agents[agent].running = false; }
  void RestartEntry(std::size_t entry);
  void StopEntry(std::size_t entry) { this->entries[entry].running = false; }
  /// Cuts or restores the connection of two processes, by their names.
  void SetConnected(const std::string& a, const std::string& b, bool connected);

  /// What is wrong with what running entries know once all has settled, or an
  /// empty text.
  std::string ViewFault() const;

  rpc::AnnounceRequest Announcement(const Agent& agent) const;

  Instant now{10'000};
  std::vector<Entry> entries;
  std::vector<Agent> agents;
  int lose_percent = 0;
  /// Changes the load of every endpoint at each announcement.
  bool busy = false;

 private:
  static std::string AddressOf(std::size_t entry) {
    return "10.0.0." + std::to_string(entry) + ":7000";
  }
  std::size_t EntryAt(const std::string& address) const;
  void StartAgent(Agent& agent);
  void StartEntry(std::size_t entry);
  bool Lost(const std::string& from, const std::string& to);
  void Announce(Agent& agent);
  void ExchangeDigests(std::size_t from);
  std::string ViewFaultOf(const Entry& entry) const;

  std::mt19937_64 random;
  std::vector<std::string> addresses;
  std::set<std::pair<std::string, std::string>> cut;
};

}  // namespace carobrill::membership

#endif  // TESTS_MEMBERSHIP_NETWORK_H_
