#include "packages/requests/claim_table.h"

#include <algorithm>
#include <utility>

#include "packages/core/hash.h"

namespace carobrill::requests {
namespace {

using records::Verdict;

// The nodes of a claim in the three indexes take about 400 bytes.
constexpr std::size_t kClaimOverheadBytes = 400;
constexpr std::size_t kPercent = 100;

// The key is stored in the table, the set of open claims and the expiry index.
constexpr std::size_t kKeyCopies = 3;

std::size_t EstimateBytes(const ClaimKey& key, const Claim& claim) {
  return kClaimOverheadBytes +
         kKeyCopies * (key.account.value.size() + key.key.size()) +
         claim.service.value.size() + claim.payload_digest.size() +
         claim.entry.value.size() + claim.endpoint.value.size() +
         claim.agent.value.size() + claim.answer.size();
}

std::uint64_t HashClaim(const ClaimKey& key, const Claim& claim) {
  StableHash hash;
  hash.Add(key.account.value);
  hash.Add(key.key);
  hash.Add(static_cast<std::uint64_t>(claim.state));
  hash.Add(claim.offset);
  hash.Add(claim.service.value);
  hash.Add(claim.payload_digest);
  hash.Add(claim.entry.value);
  hash.Add(claim.entry_incarnation);
  hash.Add(claim.endpoint.value);
  hash.Add(claim.agent.value);
  hash.Add(claim.agent_incarnation);
  hash.Add(claim.proposal);
  hash.Add(claim.answer);
  hash.Add(claim.answer_omitted);
  hash.Add(claim.expires_at.ms);
  return hash.Value();
}

std::optional<ClaimEvent> EventOf(records::ClaimOutcome outcome) {
  switch (outcome) {
    case records::CLAIM_OUTCOME_COMPLETED:
      return ClaimEvent::kComplete;
    case records::CLAIM_OUTCOME_NOT_RUN:
      return ClaimEvent::kNotRun;
    case records::CLAIM_OUTCOME_UNKNOWN:
      return ClaimEvent::kMarkUnknown;
    default:
      return std::nullopt;
  }
}

records::ClaimOutcome OutcomeOf(ClaimState state) {
  switch (state) {
    case ClaimState::kCompleted:
      return records::CLAIM_OUTCOME_COMPLETED;
    case ClaimState::kNotRun:
      return records::CLAIM_OUTCOME_NOT_RUN;
    case ClaimState::kUnknown:
      return records::CLAIM_OUTCOME_UNKNOWN;
    case ClaimState::kOpen:
      break;
  }
  return records::CLAIM_OUTCOME_UNSPECIFIED;
}

std::optional<ClaimState> StateOf(records::ClaimOutcome outcome) {
  switch (outcome) {
    case records::CLAIM_OUTCOME_UNSPECIFIED:
      return ClaimState::kOpen;
    case records::CLAIM_OUTCOME_COMPLETED:
      return ClaimState::kCompleted;
    case records::CLAIM_OUTCOME_NOT_RUN:
      return ClaimState::kNotRun;
    case records::CLAIM_OUTCOME_UNKNOWN:
      return ClaimState::kUnknown;
    default:
      return std::nullopt;
  }
}

records::ClaimEntry EntryOf(const ClaimKey& key, const Claim& claim) {
  records::ClaimEntry entry;
  entry.set_account(key.account.value);
  entry.set_key(key.key);
  entry.set_outcome(OutcomeOf(claim.state));
  entry.set_offset(claim.offset);
  entry.set_service(claim.service.value);
  entry.set_payload_digest(claim.payload_digest);
  entry.set_entry(claim.entry.value);
  entry.set_entry_incarnation(claim.entry_incarnation);
  entry.set_endpoint(claim.endpoint.value);
  entry.set_agent(claim.agent.value);
  entry.set_agent_incarnation(claim.agent_incarnation);
  entry.set_proposal(claim.proposal);
  entry.set_answer(claim.answer);
  entry.set_answer_omitted(claim.answer_omitted);
  entry.set_expires_at_ms(claim.expires_at.ms);
  return entry;
}

std::optional<Claim> ClaimOf(const records::ClaimEntry& entry) {
  const auto state = StateOf(entry.outcome());
  if (!state || entry.account().empty() || entry.key().empty()) {
    return std::nullopt;
  }
  Claim claim;
  claim.state = *state;
  claim.offset = entry.offset();
  claim.service = ServiceId(entry.service());
  claim.payload_digest = entry.payload_digest();
  claim.entry = InstanceId(entry.entry());
  claim.entry_incarnation = entry.entry_incarnation();
  claim.endpoint = EndpointId(entry.endpoint());
  claim.agent = InstanceId(entry.agent());
  claim.agent_incarnation = entry.agent_incarnation();
  claim.proposal = entry.proposal();
  claim.answer = entry.answer();
  claim.answer_omitted = entry.answer_omitted();
  claim.expires_at = Instant{entry.expires_at_ms()};
  return claim;
}

}  // namespace

ClaimTable::ClaimTable(const ClaimChart& chart,
                       const ClaimTableSettings& settings)
    : chart(chart), settings(settings) {}

Result<ClaimTable> ClaimTable::Create(const std::string& directory,
                                      const ClaimTableSettings& settings) {
  BOOST_LEAF_AUTO(chart, ClaimChart::Load(directory, "claim"));
  return ClaimTable(chart, settings);
}

Verdict ClaimTable::Apply(const records::Record& record,
                          Offset offset,
                          Instant appended_at) {
  this->log_time = std::max(this->log_time, appended_at);
  this->RemoveExpired(this->log_time);
  switch (record.body_case()) {
    case records::Record::kRequestClaimed:
      return this->ApplyClaimed(record.request_claimed(), offset,
                                this->log_time);
    case records::Record::kClaimSettled:
      return this->ApplySettled(record.claim_settled(), this->log_time);
    default:
      return Verdict::kIgnored;
  }
}

Verdict ClaimTable::ApplyClaimed(const records::RequestClaimed& record,
                                 Offset offset,
                                 Instant appended_at) {
  if (record.account().empty() || record.key().empty() ||
      record.key().size() > this->settings.key_limit_bytes ||
      record.entry().empty() || record.agent().empty() ||
      record.payload_digest().empty()) {
    return Verdict::kMalformed;
  }
  const ClaimKey key{AccountId(record.account()), record.key()};
  Claim claim;
  claim.state = this->chart.Initial();
  if (const Claim* known = this->Find(key)) {
    if (known->payload_digest != record.payload_digest() ||
        known->service.value != record.service()) {
      return Verdict::kKeyReused;
    }
    const auto next = this->chart.Next(known->state, ClaimEvent::kClaim);
    if (!next) {
      return Verdict::kDuplicate;
    }
    claim.state = *next;
  }
  claim.offset = offset;
  claim.service = ServiceId(record.service());
  claim.payload_digest = record.payload_digest();
  claim.entry = InstanceId(record.entry());
  claim.entry_incarnation = record.entry_incarnation();
  claim.endpoint = EndpointId(record.endpoint());
  claim.agent = InstanceId(record.agent());
  claim.agent_incarnation = record.agent_incarnation();
  claim.proposal = record.proposal();
  claim.expires_at = appended_at.After(this->settings.open_retention_ms);
  if (!this->HasCapacity(key, claim)) {
    return Verdict::kAboveQuota;
  }
  this->Insert(key, std::move(claim));
  return Verdict::kAccepted;
}

Verdict ClaimTable::ApplySettled(const records::ClaimSettled& record,
                                 Instant appended_at) {
  const ClaimKey key{AccountId(record.account()), record.key()};
  const Claim* known = this->Find(key);
  if (known == nullptr) {
    return Verdict::kUnknownClaim;
  }
  if (known->offset != record.claim_offset()) {
    return Verdict::kStaleAttempt;
  }
  const auto event = EventOf(record.outcome());
  if (!event) {
    return Verdict::kMalformed;
  }
  const auto next = this->chart.Next(known->state, *event);
  if (!next) {
    return Verdict::kWrongState;
  }
  Claim claim = *known;
  claim.state = *next;
  claim.expires_at =
      appended_at.After(claim.state == ClaimState::kUnknown
                            ? this->settings.open_retention_ms
                            : this->settings.settled_retention_ms);
  if (claim.state == ClaimState::kCompleted) {
    claim.answer = record.answer();
    claim.answer_omitted = record.answer_omitted();
    // A full table still records the outcome, but drops the answer.
    if (claim.answer.size() > this->settings.answer_limit_bytes ||
        !this->HasCapacity(key, claim)) {
      claim.answer.clear();
      claim.answer_omitted = true;
    }
  }
  this->Insert(key, std::move(claim));
  return Verdict::kAccepted;
}

void ClaimTable::Save(records::Snapshot& snapshot) const {
  records::ClaimSection section;
  section.set_log_time_ms(this->log_time.ms);
  for (const auto& [key, claim] : this->claims) {
    *section.add_claims() = EntryOf(key, claim);
  }
  snapshot.set_claims(section.SerializeAsString());
}

bool ClaimTable::Load(const records::Snapshot& snapshot) {
  records::ClaimSection section;
  if (!section.ParseFromString(snapshot.claims())) {
    return false;
  }
  ClaimTable loaded(this->chart, this->settings);
  loaded.log_time = Instant{section.log_time_ms()};
  for (const records::ClaimEntry& entry : section.claims()) {
    auto claim = ClaimOf(entry);
    if (!claim) {
      return false;
    }
    loaded.Insert(ClaimKey{AccountId(entry.account()), entry.key()},
                  std::move(*claim));
  }
  *this = std::move(loaded);
  return true;
}

std::uint64_t ClaimTable::Hash() const {
  StableHash hash;
  hash.Add(this->log_time.ms);
  hash.Add(this->claims.size());
  hash.Add(this->claims_hash);
  return hash.Value();
}

const Claim* ClaimTable::Find(const ClaimKey& key) const {
  const auto found = this->claims.find(key);
  return found == this->claims.end() ? nullptr : &found->second;
}

bool ClaimTable::HasCapacity(const ClaimKey& key, const Claim& claim) const {
  std::size_t added = EstimateBytes(key, claim);
  const Claim* known = this->Find(key);
  const std::size_t replaced =
      known == nullptr ? 0 : EstimateBytes(key, *known);
  added = added > replaced ? added - replaced : 0;
  const auto account = this->account_bytes.find(key.account);
  const std::size_t used =
      account == this->account_bytes.end() ? 0 : account->second;
  const std::size_t limit = this->settings.memory_limit_bytes;
  return this->memory_bytes + added <= limit &&
         used + added <= limit / kPercent * this->settings.account_percent;
}

void ClaimTable::Insert(const ClaimKey& key, Claim claim) {
  this->Remove(key);
  const std::size_t bytes = EstimateBytes(key, claim);
  this->memory_bytes += bytes;
  this->account_bytes[key.account] += bytes;
  this->claims_hash += HashClaim(key, claim);
  this->expiry.emplace(claim.expires_at, key);
  if (claim.state == ClaimState::kOpen) {
    this->open_claims.insert(key);
  }
  this->claims.emplace(key, std::move(claim));
}

void ClaimTable::Remove(const ClaimKey& key) {
  const auto found = this->claims.find(key);
  if (found == this->claims.end()) {
    return;
  }
  const std::size_t bytes = EstimateBytes(key, found->second);
  this->memory_bytes -= bytes;
  const auto account = this->account_bytes.find(key.account);
  account->second -= bytes;
  if (account->second == 0) {
    this->account_bytes.erase(account);
  }
  this->claims_hash -= HashClaim(key, found->second);
  this->expiry.erase({found->second.expires_at, key});
  this->open_claims.erase(key);
  this->claims.erase(found);
}

void ClaimTable::RemoveExpired(Instant now) {
  while (!this->expiry.empty() && this->expiry.begin()->first <= now) {
    const ClaimKey key = this->expiry.begin()->second;
    this->Remove(key);
  }
}

}  // namespace carobrill::requests
