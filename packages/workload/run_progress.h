#ifndef PACKAGES_WORKLOAD_RUN_PROGRESS_H_
#define PACKAGES_WORKLOAD_RUN_PROGRESS_H_

#include <cstdint>
#include <optional>

namespace carobrill::workload {

/// Part of the work of a run, and the time that it took.
struct WorkSeen {
  std::uint32_t percent = 0;
  std::int64_t work_ms = 0;

  /// Log of the percent per ms.
  double LogRate() const;
};

/// The rate at which a run works.
struct RunRate {
  /// Log of the percent per ms, over the latest part of the run.
  double log_rate = 0;
  /// What was seen since the previous rate, and the percent seen in all.
  WorkSeen added;
  std::uint32_t seen_percent = 0;
  /// The rate differs from the previous one of the run by more than its
  /// scatter.
  bool changed = false;
};

/// Turns the observed progress of one run into its rate, without its
/// pauses.
class RunProgress {
 public:
  /// Describes a run before its first observation. `may_restore` tells that the
  /// run may start with a pause, while it restores a checkpoint.
  struct Context {
    std::uint32_t run = 0;
    bool may_restore = false;
    std::int64_t estimate_ms = 0;
  };

  /// Takes in an observation; another run number starts afresh. Returns the
  /// run's rate whenever enough work was seen since the previous one.
  std::optional<RunRate> Observe(const Context& context,
                                 std::int64_t worked_ms,
                                 std::uint32_t percent);

  /// Returns the time that all the work takes at the rate seen so far, for a
  /// run that has completed after `worked_ms`; nothing when too little was
  /// seen. The end of the run is used only if `ends_by_itself`.
  std::optional<std::int64_t> FullMs(const Context& context,
                                     std::int64_t worked_ms,
                                     bool ends_by_itself) const;

  /// The run's number; 0 before the first observation.
  std::uint32_t Run() const { return this->run; }

  /// All the work of the run that counts for its rate.
  const WorkSeen& Counted() const { return this->counted; }

 private:
  void Restart(std::uint32_t percent, std::int64_t worked_ms);
  std::optional<RunRate> Add(const WorkSeen& seen);
  bool IsStalled(const Context& context, std::int64_t worked_ms) const;

  std::uint32_t run = 0;
  /// No percent has changed since the start or since the latest stall.
  bool waiting = true;
  /// Number of stalls of the run, and of steps back in its progress.
  std::uint32_t stalls = 0;
  /// The latest observation, and the first one.
  std::uint32_t last_percent = 0;
  std::uint32_t first_percent = 0;
  std::int64_t last_ms = 0;
  std::int64_t first_ms = 0;
  /// When the percent was last seen to change.
  std::int64_t changed_ms = 0;
  /// Where the next sample starts.
  std::uint32_t base_percent = 0;
  std::int64_t base_ms = 0;
  WorkSeen counted;
  double log_rate = 0;
  /// Work whose rate differs from the run's, until later work confirms it;
  /// `doubted.percent` is 0 for none.
  WorkSeen doubted;
};

}  // namespace carobrill::workload

#endif  // PACKAGES_WORKLOAD_RUN_PROGRESS_H_
