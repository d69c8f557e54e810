#ifndef TESTS_SCHEDULING_CLUSTER_FIXTURE_H_
#define TESTS_SCHEDULING_CLUSTER_FIXTURE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "packages/scheduling/cluster.h"
#include "packages/scheduling/planner.h"

namespace carobrill::scheduling {

Charts TestCharts();

records::Record Registered(const std::string& worker,
                           std::uint64_t incarnation,
                           const std::string& rack,
                           std::uint32_t accelerators = 4);
records::Record StateChanged(const std::string& worker,
                             std::uint64_t incarnation,
                             records::WorkerState state);
records::JobSpec Spec(const std::string& account,
                      std::uint32_t members,
                      std::uint32_t accelerators);
records::Record Submitted(const std::string& job, const records::JobSpec& spec);
records::Record Cancelled(const std::string& job);
records::Record Placed(const std::string& job,
                       std::uint32_t attempt,
                       const std::vector<records::Member>& members,
                       bool borrowed,
                       const std::vector<std::string>& victims = {});
records::Member On(const std::string& worker,
                   std::uint32_t first,
                   std::uint32_t count,
                   std::uint64_t incarnation = 1);
records::Record Committed(const std::string& job, std::uint32_t attempt);
records::Record Started(const std::string& job, std::uint32_t attempt);
records::Record StopRequested(const std::string& job,
                              std::uint32_t attempt,
                              records::StopReason reason);
records::Record Ended(const std::string& job,
                      std::uint32_t attempt,
                      records::GangOutcome outcome,
                      const std::vector<std::string>& failed = {},
                      const std::string& checkpoint = "");
records::Record Corrected(const std::string& account,
                          const std::string& kind,
                          std::uint32_t cores_milli,
                          std::uint32_t memory_mb);

/// A policy that guarantees the given cells to accounts `a` and `b`.
Policy TwoAccounts(std::vector<GuaranteedCells> a,
                   std::vector<GuaranteedCells> b);

/// A cluster with a clock and a log offset. Workers w0, w1, ... are in racks of
/// two (r0, r1, ...); each has 4 accelerators, 4,000 millicores and 4,000 MiB.
struct ClusterFixture {
  explicit ClusterFixture(std::uint32_t workers = 4,
                          ClusterSettings settings = {});

  records::Verdict Apply(const records::Record& record);
  /// Submits, places, commits and starts a gang.
  records::Verdict Run(const std::string& job,
                       const records::JobSpec& spec,
                       const std::vector<records::Member>& members,
                       bool borrowed);
  const Job& Get(const std::string& job) const;

  Cluster cluster;
  Instant now{1000};
  Offset offset = 0;
};

}  // namespace carobrill::scheduling

#endif  // TESTS_SCHEDULING_CLUSTER_FIXTURE_H_
