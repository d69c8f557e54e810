#ifndef PACKAGES_LEDGER_POLL_H_
#define PACKAGES_LEDGER_POLL_H_

#include <algorithm>
#include <cstdint>

#include "packages/core/time.h"

namespace carobrill::ledger {

/// Pacing of one kind of call that is repeated: at most one is open, and
/// failures are followed by a delay that doubles up to a limit.
class Poll {
 public:
  /// True when a call may be made at `now`.
  bool Due(Instant now) const { return !this->open && now >= this->not_before; }

  /// Notes that a call is made; returns its number, which its answer carries.
  std::uint64_t Open() {
    this->open = true;
    return ++this->number;
  }

  /// Notes the answer to call `answered`; false when it has been given up.
  bool Close(std::uint64_t answered) {
    if (!this->open || answered != this->number) {
      return false;
    }
    this->open = false;
    return true;
  }

  /// Gives up the open call, if any, and allows the next one at once.
  void Restart() {
    this->open = false;
    this->failures = 0;
    this->not_before = Instant{};
  }

  /// Sets the earliest time of the next call after a success.
  void Succeeded(Instant next) {
    this->failures = 0;
    this->not_before = next;
  }

  /// Delays the next call after a failure at `now`.
  void Failed(Instant now, std::int64_t first_ms, std::int64_t max_ms) {
    const auto doublings = std::min(this->failures++, kMaxDoublings);
    this->not_before = now.After(std::min(first_ms << doublings, max_ms));
  }

  /// When `Due` becomes true; never while a call is open.
  Instant NextDeadline() const {
    return this->open ? Instant::Never() : this->not_before;
  }

 private:
  static constexpr std::uint32_t kMaxDoublings = 16;

  bool open = false;
  std::uint64_t number = 0;
  std::uint32_t failures = 0;
  Instant not_before;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_POLL_H_
