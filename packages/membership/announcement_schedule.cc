#include "packages/membership/announcement_schedule.h"

#include <algorithm>

#include "packages/membership/rendezvous.h"

namespace carobrill::membership {

AnnouncementSchedule::AnnouncementSchedule(const AnnouncementSettings& settings,
                                           Instant now)
    : settings(settings),
      ranked_entries(RendezvousRank(settings.self.value, settings.entries)) {
  this->SelectTargets(now);
}

std::vector<std::string> AnnouncementSchedule::Due(Instant now) {
  this->SelectTargets(now);
  std::vector<std::string> due;
  for (auto& [address, target] : this->targets) {
    if (target.next_at <= now) {
      due.push_back(address);
      target.next_at = now.After(target.interval_ms);
    }
  }
  return due;
}

Instant AnnouncementSchedule::NextAt() const {
  Instant next = Instant::Never();
  for (const auto& [address, target] : this->targets) {
    next = std::min(next, target.next_at);
  }
  return next;
}

void AnnouncementSchedule::OnReply(const std::string& address,
                                   std::uint32_t announce_interval_ms,
                                   Instant now) {
  this->failed_until.erase(address);
  const auto found = this->targets.find(address);
  if (found == this->targets.end()) {
    return;
  }
  Target& target = found->second;
  const std::int64_t granted = announce_interval_ms == 0
                                   ? this->settings.interval_ms
                                   : announce_interval_ms;
  const std::int64_t interval_ms = std::clamp(
      granted, this->settings.interval_ms, this->settings.max_interval_ms);
  if (interval_ms == target.interval_ms) {
    return;
  }
  target.interval_ms = interval_ms;
  target.next_at = std::min(target.next_at, now.After(interval_ms));
}

// The replacement is due immediately so that the agent keeps its lease: one
// interval is lost, and the lease lasts at least two.
void AnnouncementSchedule::OnFailure(const std::string& address, Instant now) {
  this->failed_until[address] = now.After(this->settings.retry_failed_after_ms);
  this->SelectTargets(now);
}

void AnnouncementSchedule::AnnounceImmediately(Instant now) {
  for (auto& [address, target] : this->targets) {
    target.next_at = now;
  }
}

std::vector<std::string> AnnouncementSchedule::SelectedEntries() const {
  std::vector<std::string> chosen;
  for (const auto& [address, target] : this->targets) {
    chosen.push_back(address);
  }
  return chosen;
}

std::int64_t AnnouncementSchedule::IntervalMs(
    const std::string& address) const {
  const auto found = this->targets.find(address);
  return found == this->targets.end() ? this->settings.interval_ms
                                      : found->second.interval_ms;
}

// Selects the highest ranked entries without a recent failure. If there are too
// few, failed entries are selected as well, so an agent never stops announcing
// itself.
void AnnouncementSchedule::SelectTargets(Instant now) {
  std::erase_if(this->failed_until,
                [now](const auto& entry) { return entry.second <= now; });
  std::vector<std::string> chosen;
  for (const bool use_failed : {false, true}) {
    for (const std::string& address : this->ranked_entries) {
      if (chosen.size() < this->settings.announced_entry_count &&
          this->failed_until.contains(address) == use_failed) {
        chosen.push_back(address);
      }
    }
  }
  std::erase_if(this->targets, [&chosen](const auto& entry) {
    return std::find(chosen.begin(), chosen.end(), entry.first) == chosen.end();
  });
  for (const std::string& address : chosen) {
    this->targets.try_emplace(address, Target{now, this->settings.interval_ms});
  }
}

}  // namespace carobrill::membership
