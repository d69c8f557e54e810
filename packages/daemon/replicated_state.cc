#include "packages/daemon/replicated_state.h"

#include "packages/core/hash.h"
#include "packages/scheduling/charts.h"

namespace carobrill::daemon {
namespace {

using records::Verdict;

scheduling::AccountPolicy AccountPolicyOf(const rules::AccountRule& rule) {
  scheduling::AccountPolicy policy;
  for (const auto& cells : rule.guarantee) {
    policy.guarantee.push_back({cells.count, cells.accelerators,
                                cells.level == rules::CellLevel::kRack});
  }
  policy.quota = rule.quota;
  policy.share = rule.share;
  return policy;
}

}  // namespace

scheduling::Policy PolicyOf(const rules::RuleSet& rules) {
  scheduling::Policy policy;
  for (const auto& [account, rule] : rules.accounts) {
    policy.accounts[account] = AccountPolicyOf(rule);
  }
  policy.drained_workers = rules.drained_workers;
  if (rules.hardware.has_value()) {
    policy.hardware = {rules.hardware->racks, rules.hardware->workers_per_rack,
                       rules.hardware->accelerators};
  }
  return policy;
}

Result<ReplicatedState> ReplicatedState::Create(
    const std::string& charts_directory) {
  BOOST_LEAF_AUTO(charts, scheduling::Charts::Load(charts_directory));
  BOOST_LEAF_AUTO(claims, requests::ClaimTable::Create(charts_directory));
  return ReplicatedState(scheduling::Cluster(charts), std::move(claims));
}

Verdict ReplicatedState::Apply(const records::Record& record,
                               Offset offset,
                               Instant appended_at) {
  if (record.has_rules_published()) {
    return this->ApplyRules(record.rules_published(), offset, appended_at);
  }
  const Verdict verdict = this->cluster.Apply(record, offset, appended_at);
  if (verdict != Verdict::kIgnored) {
    return verdict;
  }
  return this->claims.Apply(record, offset, appended_at);
}

void ReplicatedState::Save(records::Snapshot& out) const {
  this->rules.Save(out);
  this->cluster.Save(out);
  this->claims.Save(out);
}

bool ReplicatedState::Load(const records::Snapshot& in) {
  return this->rules.Load(in) && this->cluster.Load(in) &&
         this->claims.Load(in);
}

std::uint64_t ReplicatedState::Hash() const {
  StableHash hash;
  hash.Add(this->rules.Hash());
  hash.Add(this->cluster.Hash());
  hash.Add(this->claims.Hash());
  return hash.Value();
}

Verdict ReplicatedState::CheckRules(const records::RulesPublished& published,
                                    rules::RuleSet* parsed) const {
  const Verdict verdict = this->rules.Check(published, parsed);
  if (verdict != Verdict::kAccepted) {
    return verdict;
  }
  return this->cluster.CheckPolicy(PolicyOf(*parsed));
}

Verdict ReplicatedState::ApplyRules(const records::RulesPublished& published,
                                    Offset offset,
                                    Instant appended_at) {
  rules::RuleSet parsed;
  const Verdict verdict = this->CheckRules(published, &parsed);
  if (verdict != Verdict::kAccepted) {
    return verdict;
  }
  this->cluster.SetPolicy(PolicyOf(parsed), appended_at);
  this->rules.Publish(published, std::move(parsed), offset, appended_at);
  return Verdict::kAccepted;
}

}  // namespace carobrill::daemon
