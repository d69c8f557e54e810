#ifndef PACKAGES_DAEMON_ENTRY_SELECTOR_H_
#define PACKAGES_DAEMON_ENTRY_SELECTOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/time.h"

namespace carobrill::daemon {

/// Chooses the entries to which an agent announces itself, and schedules the
/// announcements. Entries are ranked by a rendezvous hash of the agent id and
/// the entry's address.
class EntrySelector {
 public:
  EntrySelector(const InstanceId& self,
                const std::vector<std::string>& entries,
                std::uint32_t count,
                std::int64_t interval_ms);

  /// Returns the addresses to which an announcement is due, and schedules the
  /// next announcement to each.
  std::vector<std::string> TakeDue(Instant now);

  /// Sets the announcement interval requested by the entry at `address`
  /// (0: default).
  void OnReply(const std::string& address, std::uint32_t interval_ms);

  /// Replaces the failed entry at `address` temporarily by the next in rank.
  void OnFailure(const std::string& address, Instant now);

  /// Makes the announcements to all chosen entries due now.
  void MakeAllDue(Instant now);

  /// Addresses of the entries chosen at `now`, highest rank first.
  std::vector<std::string> Chosen(Instant now) const;

 private:
  struct Entry {
    std::string address;
    std::int64_t interval_ms = 0;
    Instant due_at;
    Instant failed_until;
  };

  /// Highest rank first.
  std::vector<Entry> ranked;
  std::size_t count;
  std::int64_t interval_ms;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_ENTRY_SELECTOR_H_
