#ifndef PACKAGES_LEDGER_POLL_H_
#define PACKAGES_LEDGER_POLL_H_

#include <algorithm>
#include <cstdint>

#include "packages/core/time.h"

namespace carobrill::ledger {

/// Paces a repeated call: at most one call is in flight, and failures are
/// followed by an exponential delay with an upper limit.
class PollTimer {
 public:
  /// Whether a call may be started at `now`.
  bool Due(Instant now) const {
    return !this->in_flight && now >= this->not_before;
  }

  /// Marks a call as in flight; returns its id, which must be passed to
  /// `EndCall`.
  std::uint64_t BeginCall() {
    this->in_flight = true;
    return ++this->call_id;
  }

  /// Completes call `id`; returns false if the call was canceled by `Reset`.
  bool EndCall(std::uint64_t id) {
    if (!this->in_flight || id != this->call_id) {
      return false;
    }
    this->in_flight = false;
    return true;
  }

  /// Cancels the call in flight, if any, and allows the next one at once.
  void Reset() {
    this->in_flight = false;
    this->failures = 0;
    this->not_before = Instant{};
  }

  /// Sets the earliest time of the next call and clears the failure count.
  void ScheduleNext(Instant next) {
    this->failures = 0;
    this->not_before = next;
  }

  /// Delays the next call after a failure at `now`.
  void BackOff(Instant now, std::int64_t first_ms, std::int64_t max_ms) {
    const auto doublings = std::min(this->failures++, kMaxDoublings);
    this->not_before = now.After(std::min(first_ms << doublings, max_ms));
  }

  /// Time at which `Due` becomes true; never while a call is in flight.
  Instant NextDeadline() const {
    return this->in_flight ? Instant::Never() : this->not_before;
  }

 private:
  static constexpr std::uint32_t kMaxDoublings = 16;

  bool in_flight = false;
  std::uint64_t call_id = 0;
  std::uint32_t failures = 0;
  Instant not_before;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_POLL_H_
