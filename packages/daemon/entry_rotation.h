#ifndef PACKAGES_DAEMON_ENTRY_ROTATION_H_
#define PACKAGES_DAEMON_ENTRY_ROTATION_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/time.h"

namespace carobrill::daemon {

/// Chooses the entries to which an agent announces itself, by rendezvous hash
/// over the agent and the entry's address, and the time of each announcement.
class EntryRotation {
 public:
  EntryRotation(const InstanceId& self,
                const std::vector<std::string>& entries,
                std::uint32_t count,
                std::int64_t interval_ms);

  /// Addresses to announce to now; each counts as sent.
  std::vector<std::string> Due(Instant now);

  /// Takes in the interval that the entry at `address` grants (0: default).
  void OnReply(const std::string& address, std::uint32_t interval_ms);

  /// Replaces the entry at `address` by the next in rank for a while.
  void OnFailure(const std::string& address, Instant now);

  /// Makes all chosen entries due.
  void AnnounceAtOnce(Instant now);

  /// The entries chosen at `now`, first choice first.
  std::vector<std::string> Chosen(Instant now) const;

 private:
  struct Entry {
    std::string address;
    std::int64_t interval_ms = 0;
    Instant due_at;
    Instant failed_until;
  };

  /// First choice first.
  std::vector<Entry> ranked;
  std::size_t count;
  std::int64_t interval_ms;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_ENTRY_ROTATION_H_
