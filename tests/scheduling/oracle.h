#ifndef TESTS_SCHEDULING_ORACLE_H_
#define TESTS_SCHEDULING_ORACLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "packages/scheduling/cluster.h"

namespace carobrill::scheduling {

/// Reference model that tracks allocations in plain lists from accepted records
/// only, and decides by exhaustive search whether all guarantees can be
/// reclaimed.
class Oracle {
 public:
  /// Updates the model after `cluster` has returned `verdict` for `record`.
  void Observe(const records::Record& record,
               records::Verdict verdict,
               const Cluster& cluster);

  /// Updates the model after the policy was replaced.
  void ObservePolicyChange();
  /// True while a gang that was placed under an earlier policy is running.
  bool HasGangsFromEarlierPolicy() const;

  /// Returns an accelerator that is shared by two committed or two uncommitted
  /// gangs, or a worker whose cores or memory are overcommitted; empty if there
  /// is none.
  std::string CheckOccupancy(const Cluster& cluster) const;
  /// Returns a gang that holds only some of its cells or violates its adjacency
  /// constraint, or a difference between the allocations of both models; empty
  /// if there is none.
  std::string CheckGangs(const Cluster& cluster) const;
  /// Returns a non-idempotent job that was committed again without a
  /// checkpoint; empty if there is none.
  std::string CheckCommits() const;
  /// True if all guarantees fit at once on ready workers, next to the
  /// guaranteed work of other accounts. Stopping gangs are ignored like
  /// borrowed ones, because they leave their cells.
  bool CanReclaim(const Cluster& cluster) const;

 private:
  struct Gang {
    std::vector<GangMember> members;
    records::JobSpec spec;
    /// Declared size, or the learned size at the time of placement if there was
    /// one.
    std::uint64_t cores_milli = 0;
    std::uint64_t memory_mb = 0;
    bool committed = false;
    /// Placed under an earlier policy, so it may exceed its account's current
    /// guarantee.
    bool from_earlier_policy = false;
  };

  std::map<std::string, Gang> gangs;
  std::map<std::string, int> commits;
  std::map<std::pair<std::string, std::string>, records::Resources> learned;
  std::string violation;
};

}  // namespace carobrill::scheduling

#endif  // TESTS_SCHEDULING_ORACLE_H_
