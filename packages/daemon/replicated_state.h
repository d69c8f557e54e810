#ifndef PACKAGES_DAEMON_REPLICATED_STATE_H_
#define PACKAGES_DAEMON_REPLICATED_STATE_H_

#include <cstdint>
#include <string>
#include <utility>

#include "packages/core/result.h"
#include "packages/records/replicated_component.h"
#include "packages/requests/claim_table.h"
#include "packages/rules/rule_book.h"
#include "packages/scheduling/cluster.h"

namespace carobrill::daemon {

/// Converts the scheduling rules of a rule file to a scheduling policy.
scheduling::Policy PolicyOf(const rules::RuleSet& rules);

/// The replicated state of an entry, which results from applying the log
/// records in order: rules, cluster and claims.
class ReplicatedState {
 public:
  ReplicatedState(scheduling::Cluster cluster, requests::ClaimTable claims)
      : cluster(std::move(cluster)), claims(std::move(claims)) {}

  /// Creates an empty state with the state charts in `charts_directory`. Fails
  /// with ChartError.
  static Result<ReplicatedState> Create(const std::string& charts_directory);

  /// Applies one record to the component that handles its type.
  records::Verdict Apply(const records::Record& record,
                         Offset offset,
                         Instant appended_at);
  void Save(records::Snapshot& out) const;
  bool Load(const records::Snapshot& in);
  std::uint64_t Hash() const;

  /// Returns the verdict that `Apply` would return for `published` in the
  /// current state, without changing the state.
  records::Verdict CheckRules(const records::RulesPublished& published,
                              rules::RuleSet* parsed) const;

  const rules::RuleBook& Rules() const { return this->rules; }
  const scheduling::Cluster& GetCluster() const { return this->cluster; }
  const requests::ClaimTable& Claims() const { return this->claims; }

 private:
  records::Verdict ApplyRules(const records::RulesPublished& published,
                              Offset offset,
                              Instant appended_at);

  rules::RuleBook rules;
  scheduling::Cluster cluster;
  requests::ClaimTable claims;
};

static_assert(records::ReplicatedComponent<ReplicatedState>);

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_REPLICATED_STATE_H_
