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

/// When and to whom an agent announces itself.
struct AnnouncementSettings {
  InstanceId self;
  /// gRPC addresses ("ip:port") of the entries it may announce itself to.
  std::vector<std::string> entries;
  std::uint32_t entries_to_announce_to = 2;
  std::int64_t interval_ms = 300;
  /// Longer intervals granted by an entry are cut to this.
  std::int64_t longest_interval_ms = 1'000;
  /// An entry that failed is passed over for so long.
  std::int64_t retry_failed_after_ms = 5'000;
};

/// Chooses the entries to which an agent announces itself, by rendezvous hash,
/// and the time of each announcement.
class AnnouncementSchedule {
 public:
  AnnouncementSchedule(const AnnouncementSettings& settings, Instant now);

  /// Addresses to announce to now; each counts as sent.
  std::vector<std::string> Due(Instant now);

  /// When Due has something next.
  Instant NextAt() const;

  /// Takes in the interval that the entry at `address` grants (0: default).
  void OnReply(const std::string& address,
               std::uint32_t announce_interval_ms,
               Instant now);

  /// Replaces the entry at `address` by the next in rank at once.
  void OnFailure(const std::string& address, Instant now);

  /// Makes all chosen entries due, for a change that must be told at once.
  void AnnounceAtOnce(Instant now);

  /// The entries announced to at present.
  std::vector<std::string> Chosen() const;

  /// Interval of the announcements to the entry at `address`, to be sent in
  /// AnnounceRequest.announce_interval_ms.
  std::int64_t IntervalMs(const std::string& address) const;

 private:
  struct Target {
    Instant next_at;
    std::int64_t interval_ms = 0;
  };

  void Choose(Instant now);

  AnnouncementSettings settings;
  /// All entries, first choice first.
  std::vector<std::string> ranked;
  std::map<std::string, Target> targets;
  std::map<std::string, Instant> failed_until;
};

}  // namespace carobrill::membership

#endif  // PACKAGES_MEMBERSHIP_ANNOUNCEMENT_SCHEDULE_H_
