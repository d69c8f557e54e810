#include "packages/daemon/entry_selector.h"

#include <algorithm>
#include <utility>

#include "packages/core/hash.h"

namespace carobrill::daemon {
namespace {

constexpr std::int64_t kFailureBackoffMs = 5'000;

// Entries suspect an agent after one second without an announcement, so longer
// intervals requested by an entry are cut to this.
constexpr std::int64_t kMaxIntervalMs = 1'000;

std::uint64_t Rank(const InstanceId& self, const std::string& address) {
  StableHash hash;
  hash.Add(self.value);
  hash.Add(address);
  return hash.Value();
}

}  // namespace

EntrySelector::EntrySelector(const InstanceId& self,
                             const std::vector<std::string>& entries,
                             std::uint32_t count,
                             std::int64_t interval_ms)
    : count(count), interval_ms(interval_ms) {
  std::vector<std::pair<std::uint64_t, std::string>> ranks;
  ranks.reserve(entries.size());
  for (const auto& address : entries) {
    ranks.emplace_back(Rank(self, address), address);
  }
  std::sort(ranks.rbegin(), ranks.rend());
  for (auto& [rank, address] : ranks) {
    this->ranked.push_back(Entry{std::move(address), interval_ms, {}, {}});
  }
}

std::vector<std::string> EntrySelector::TakeDue(Instant now) {
  std::vector<std::string> due;
  for (const auto& address : this->Chosen(now)) {
    const auto entry =
        std::find_if(this->ranked.begin(), this->ranked.end(),
                     [&](const Entry& e) { return e.address == address; });
    if (entry->due_at <= now) {
      entry->due_at = now.After(entry->interval_ms);
      due.push_back(address);
    }
  }
  return due;
}

void EntrySelector::OnReply(const std::string& address,
                            std::uint32_t granted_ms) {
  for (Entry& entry : this->ranked) {
    if (entry.address == address) {
      entry.failed_until = {};
      entry.interval_ms =
          granted_ms == 0 ? this->interval_ms
                          : std::clamp<std::int64_t>(
                                granted_ms, this->interval_ms,
                                std::max(kMaxIntervalMs, this->interval_ms));
    }
  }
}

// An announcement to the replacement is due as soon as it is chosen.
void EntrySelector::OnFailure(const std::string& address, Instant now) {
  for (Entry& entry : this->ranked) {
    if (entry.address == address) {
      entry.failed_until = now.After(kFailureBackoffMs);
    }
  }
}

void EntrySelector::MakeAllDue(Instant now) {
  for (Entry& entry : this->ranked) {
    entry.due_at = std::min(entry.due_at, now);
  }
}

// Includes entries that failed recently if there are too few others.
std::vector<std::string> EntrySelector::Chosen(Instant now) const {
  std::vector<std::string> chosen;
  for (const bool failed : {false, true}) {
    for (const Entry& entry : this->ranked) {
      if ((entry.failed_until > now) == failed && chosen.size() < this->count) {
        chosen.push_back(entry.address);
      }
    }
  }
  return chosen;
}

}  // namespace carobrill::daemon
