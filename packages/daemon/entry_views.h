#ifndef PACKAGES_DAEMON_ENTRY_VIEWS_H_
#define PACKAGES_DAEMON_ENTRY_VIEWS_H_

#include <string>
#include <vector>

#include "packages/daemon/api_types.h"
#include "packages/membership/directory.h"
#include "packages/rules/rule_book.h"
#include "packages/scheduling/cluster.h"

namespace carobrill::daemon {

/// Converts a job to its API view.
JobView ViewOf(const scheduling::Cluster& cluster, const scheduling::Job& job);

/// Converts a worker to its API view.
WorkerView ViewOf(const scheduling::Cluster& cluster,
                  const scheduling::Worker& worker);

/// Converts an account to its API view. `rule` is the account's current rule.
AccountView ViewOf(const scheduling::AccountStatus& status,
                   const rules::AccountRule& rule);

/// Converts the current rule file to its API view.
RulesView ViewOf(const rules::RuleBook& rules);

/// Converts a published version of the rule file to its API view.
RuleVersionView ViewOf(const rules::RuleVersion& version);

/// Converts a service endpoint, as known at `now`, to its API view.
EndpointView ViewOf(const ServingEndpoint& endpoint, Instant now);

/// Converts an entry, as known to this entry, to its API view.
InstanceView ViewOf(const membership::KnownEntry& entry);

/// Formats a diff with one line per change, prefixed with "-" or "+".
std::string Describe(const rules::RuleDiff& diff);

/// Formats a guarantee in the syntax of the rule file.
std::string Describe(const std::vector<rules::GuaranteeCells>& guarantee);

/// Returns the page of `items` that `query` selects. `items` must be sorted by
/// `key_of(item)`.
template <typename View, typename KeyOf>
Page<View> PageOf(std::vector<View> items,
                  const PageQuery& query,
                  KeyOf&& key_of) {
  Page<View> page;
  for (auto& item : items) {
    if (!query.after.empty() && !(query.after < key_of(item))) {
      continue;
    }
    if (page.items.size() == query.limit) {
      page.next = key_of(page.items.back());
      break;
    }
    page.items.push_back(std::move(item));
  }
  return page;
}

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_ENTRY_VIEWS_H_
