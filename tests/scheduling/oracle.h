#ifndef TESTS_SCHEDULING_ORACLE_H_
#define TESTS_SCHEDULING_ORACLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "packages/scheduling/cluster.h"

namespace carobrill::scheduling {

/// Tracks occupied hardware from accepted records alone, as plain lists, and
/// decides by exhaustive search whether all guarantees can be reclaimed.
class Oracle {
 public:
  /// Notes `record`, which `cluster` has just accepted or refused.
  void Observe(const records::Record& record,
               records::Verdict verdict,
               const Cluster& cluster);

  /// Notes that the policy was replaced.
  void ObservePolicyChange();
  /// True while a gang runs that was placed under an earlier policy.
  bool HasGangsFromEarlierPolicy() const;

  /// Empty when no accelerator, core or MiB is given to two committed gangs;
  /// otherwise what was wrong.
  std::string CheckOccupancy(const Cluster& cluster) const;
  /// Empty when every gang that holds cells holds all of them, adjacent as
  /// asked, and every other accelerator is free.
  std::string CheckGangs(const Cluster& cluster) const;
  /// Empty when no non-idempotent job was committed again without a checkpoint.
  std::string CheckRuns() const;
  /// True when all shapes fit at once on ready workers beside the guaranteed
  /// work of other accounts. Stopping gangs leave their cells, so they count no
  /// more than borrowed ones.
  bool CanReclaim(const Cluster& cluster) const;

 private:
  struct Gang {
    std::vector<GangMember> members;
    records::JobSpec spec;
    /// Declared size with the learned one in its place when it was placed.
    std::uint64_t cores_milli = 0;
    std::uint64_t memory_mb = 0;
    bool committed = false;
    /// Guaranteed under an earlier policy, and perhaps beyond the present one.
    bool from_earlier_policy = false;
  };

  std::map<std::string, Gang> gangs;
  std::map<std::string, int> commits;
  std::map<std::pair<std::string, std::string>, records::Resources> learned;
  std::string violation;
};

}  // namespace carobrill::scheduling

#endif  // TESTS_SCHEDULING_ORACLE_H_
