#ifndef PACKAGES_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_H_
#define PACKAGES_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/time.h"

namespace carobrill::membership {

/// Intervals and targets of the announcements of an agent.
struct AnnouncementSettings {
  InstanceId self;
  /// gRPC addresses ("ip:port") of the entries that may receive announcements.
  std::vector<std::string> entries;
  std::uint32_t announced_entry_count = 2;
  std::int64_t interval_ms = 300;
  /// Upper limit for intervals granted by an entry.
  std::int64_t max_interval_ms = 1'000;
  /// How long an entry is avoided after a failed announcement.
  std::int64_t retry_failed_after_ms = 5'000;
};

/// Selects the entries to which an agent announces itself by rendezvous
/// hashing, and the time of each announcement.
class AnnouncementSchedule {
 public:
  AnnouncementSchedule(const AnnouncementSettings& settings, Instant now);

  /// Returns the addresses due at `now` and schedules their next announcement.
  std::vector<std::string> Due(Instant now);

  /// Time of the next due announcement.
  Instant NextAt() const;

  /// Applies the interval granted by the entry at `address` (0: default).
  void OnReply(const std::string& address,
               std::uint32_t announce_interval_ms,
               Instant now);

  /// Avoids the entry at `address` for a while; the next one in rank becomes
  /// due immediately.
  void OnFailure(const std::string& address, Instant now);

  /// Makes all selected entries due, for a change that must be announced
  /// immediately.
  void AnnounceImmediately(Instant now);

  /// Addresses of the entries that currently receive announcements.
  std::vector<std::string> SelectedEntries() const;

  /// Current announcement interval for the entry at `address`, sent in
  /// AnnounceRequest.announce_interval_ms.
  std::int64_t IntervalMs(const std::string& address) const;

 private:
  struct Target {
    Instant next_at;
    std::int64_t interval_ms = 0;
  };

  void SelectTargets(Instant now);

  AnnouncementSettings settings;
  /// All entries in order of preference.
  std::vector<std::string> ranked_entries;
  std::map<std::string, Target> targets;
  std::map<std::string, Instant> failed_until;
};

}  // namespace carobrill::membership

#endif  // PACKAGES_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_H_
