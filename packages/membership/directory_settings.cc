#include "packages/membership/directory_settings.h"

namespace carobrill::membership {

std::optional<std::string> DirectorySettings::FindError() const {
  if (this->self.empty() || this->self_incarnation == 0) {
    return "the directory lacks the name or incarnation of its entry";
  }
  if (this->announce_interval_ms <= 0 ||
      this->max_announce_interval_ms < this->announce_interval_ms) {
    return "announce intervals must be positive and in ascending order";
  }
  if (this->suspect_after_ms < 2 * this->announce_interval_ms) {
    return "suspect_after_ms must allow for one lost announcement";
  }
  if (this->dead_after_ms <= this->suspect_after_ms) {
    return "dead_after_ms must be above suspect_after_ms";
  }
  if (this->agent_lease_ms < 2 * this->max_announce_interval_ms) {
    return "agent_lease_ms must cover two announcements at the longest "
           "interval";
  }
  if (this->digest_bytes_per_s <= 0 || this->digest_burst_bytes <= 0) {
    return "digest limits must be positive";
  }
  return std::nullopt;
}

}  // namespace carobrill::membership
