#ifndef PACKAGES_DAEMON_ENTRY_VIEWS_H_
#define PACKAGES_DAEMON_ENTRY_VIEWS_H_

#include <string>
#include <vector>

#include "packages/daemon/api_types.h"
#include "packages/membership/directory.h"
#include "packages/rules/rule_book.h"
#include "packages/scheduling/cluster.h"

namespace carobrill::daemon {

/// A job for the API.
JobView ViewOf(const scheduling::Cluster& cluster, const scheduling::Job& job);

/// A worker for the API.
WorkerView ViewOf(const scheduling::Cluster& cluster,
                  const scheduling::Worker& worker);

/// An account for the API; `rule` is its rule in force.
AccountView ViewOf(const scheduling::AccountStatus& status,
                   const rules::AccountRule& rule);

/// The rule file in force.
RulesView ViewOf(const rules::RuleBook& rules);

/// One published version.
RuleVersionView ViewOf(const rules::RuleVersion& version);

/// A service endpoint as heard at `now`.
EndpointView ViewOf(const ServingEndpoint& endpoint, Instant now);

/// An entry as this one hears it.
InstanceView ViewOf(const membership::KnownEntry& entry);

/// A difference with one line a change, marked "-" or "+".
std::string Describe(const rules::RuleDiff& diff);

/// A guarantee in the notation of the rule file.
std::string Describe(const std::vector<rules::GuaranteeCells>& guarantee);

/// Cuts the page that `query` asks for out of `items`, which are in order of
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
