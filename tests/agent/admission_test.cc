#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/agent/request_admission.h"
#include "tests/agent/fixtures.h"

namespace carobrill::agent {
namespace {

constexpr Instant kStart{1'000'000};

rpc::ExecuteRequest RequestOf(const Identity& to, int attempt, int claim) {
  rpc::ExecuteRequest request;
  *request.mutable_peers() = PeersFromEntry(to);
  request.set_attempt("attempt-" + std::to_string(attempt));
  request.set_service("service");
  request.set_idempotent(claim < 0);
  request.set_claim_offset(claim < 0 ? 0 : static_cast<Offset>(claim));
  request.set_remaining_ms(1'000);
  return request;
}

// Guards against a lease that is measured from the receipt of the reply: a
// frozen or slow agent would hold it for longer than the entry process assumes.
TEST_CASE("a lease ends two seconds after the announcement was sent") {
  LeaseHolder lease(7);
  CHECK_FALSE(lease.Holds(kStart));
  CHECK_FALSE(lease.Grant({6, kStart, 2'000}));
  CHECK_FALSE(lease.Holds(kStart));
  CHECK(lease.Grant({7, kStart, 2'000}));
  CHECK(lease.Holds(kStart.After(1'999)));
  CHECK_FALSE(lease.Holds(kStart.After(2'000)));
  lease.Grant({7, kStart, 60'000});
  CHECK_FALSE(lease.Holds(kStart.After(2'000)));
  // An older grant that is read late must not shorten a newer one.
  lease.Grant({7, kStart.After(500), 2'000});
  lease.Grant({7, kStart.After(100), 2'000});
  CHECK(lease.Holds(kStart.After(2'499)));
}

// Guards against new work on an endpoint that is leaving, in any order of added
// and removed causes, and against more work than there are slots.
TEST_CASE("holds.leaving: a gate accepts work only while serving") {
  CHECK(rc::check([](const std::vector<std::pair<unsigned, bool>>& steps) {
    const GateLimits limits{4, 60, 2};
    EndpointGate gate(TestGateChart(), limits);
    std::set<unsigned> causes;
    bool ready = false;
    std::uint32_t used = 0;
    std::uint32_t used_long = 0;
    for (const auto& [kind, flag] : steps) {
      const unsigned cause = kind % 8;
      if (cause < 4) {
        gate.SetLeaving(static_cast<LeaveCause>(cause), flag);
        if (flag) {
          causes.insert(cause);
          ready = false;
        } else if (cause >= 2) {
          causes.erase(cause);
        }
      } else if (cause == 4) {
        gate.SetReady();
        ready = ready || causes.empty();
      } else if (cause == 5 && used > 0) {
        const bool is_long = used_long == used;
        gate.Release(is_long);
        --used;
        used_long -= is_long ? 1 : 0;
      } else {
        const bool taken = gate.Acquire(flag) == rpc::REFUSAL_NONE;
        const bool fits = used < 4 && (!flag || used_long < 2);
        RC_ASSERT(taken == (ready && causes.empty() && fits));
        used += taken ? 1 : 0;
        used_long += taken && flag ? 1 : 0;
      }
      RC_ASSERT(gate.SlotsUsed() == used);
      RC_ASSERT((gate.State() == GateState::kServing) ==
                (ready && causes.empty()));
    }
  }));
}

TEST_CASE("an endpoint without free connections refuses despite free slots") {
  EndpointGate gate(TestGateChart(), GateLimits{8, 2, 6});
  gate.SetReady();
  CHECK(gate.Acquire(false) == rpc::REFUSAL_NONE);
  CHECK(gate.Acquire(false) == rpc::REFUSAL_NO_CONNECTION);
}

/// One agent under a random sequence of repeated messages, completions, fences,
/// time jumps, and changes of the lease and the gate. Records which attempts
/// ran and checks every reply against them.
struct AdmissionModel {
  explicit AdmissionModel(const AttemptLimits& limits)
      : admission(this->self,
                  this->admission_state.gate,
                  this->admission_state.lease,
                  limits) {}

  void Step(unsigned kind, unsigned number) {
    switch (kind % 8) {
      case 0:
        this->now = this->now.After(number % 5 == 0 ? 90'000 : 100);
        this->admission.Tick(this->now);
        return;
      case 1:
        this->admission_state.GrantLease(this->self, this->now);
        return;
      case 2:
        if (!this->running.empty()) {
          this->End(this->running.begin()->first, number);
        }
        return;
      case 3:
        this->Fence(static_cast<int>(number % 6));
        return;
      case 4:
        if (number % 8 == 0) {
          this->admission_state.gate.SetLeaving(LeaveCause::kRule,
                                                number % 16 == 0);
          this->admission_state.gate.SetReady();
        }
        return;
      default:
        this->Execute(static_cast<int>(number % 12));
    }
  }

  // Attempts 0..5 are idempotent; 6..11 carry the claims 0..5.
  void Execute(int number) {
    const auto request = RequestOf(this->self, number, number - 6);
    const bool may_start =
        this->admission_state.lease.Holds(this->now) &&
        this->admission_state.gate.State() == GateState::kServing;
    const rpc::Refusal refusal = this->admission.Admit(request, this->now);
    if (refusal == rpc::REFUSAL_NONE) {
      RC_ASSERT(may_start);
      RC_ASSERT(this->ran.insert(number).second);
      RC_ASSERT(!this->denied.contains(number));
      this->running[number] = RequestAdmission::AttemptOf(request, this->now);
      return;
    }
    const auto reply = this->admission.RefusalOf(request, refusal);
    if (reply.ran() == rpc::RAN_NO) {
      RC_ASSERT(!this->ran.contains(number));
      this->denied.insert(number);
    }
  }

  void End(int number, unsigned outcome) {
    const bool answered = outcome % 2 == 0;
    this->admission.End(
        this->running.at(number),
        {answered ? rpc::RAN_YES : rpc::RAN_UNKNOWN, std::to_string(number)},
        this->now);
    this->running.erase(number);
    this->answered[number] = answered;
  }

  void Fence(int claim) {
    rpc::FenceClaimRequest request;
    *request.mutable_peers() = PeersFromEntry(this->self);
    request.set_claim_offset(static_cast<Offset>(claim));
    const auto reply = this->admission.Fence(request, this->now);
    const int number = claim + 6;
    RC_ASSERT(reply.running() == this->running.contains(number));
    if (reply.ran() == rpc::RAN_NO) {
      RC_ASSERT(!this->ran.contains(number));
      this->denied.insert(number);
    }
    if (reply.ran() == rpc::RAN_YES) {
      RC_ASSERT(this->answered.at(number));
      RC_ASSERT(reply.answer() == std::to_string(number));
    }
  }

  Identity self = IdentityOf(1);
  AdmissionState admission_state{this->self};
  RequestAdmission admission;
  Instant now = kStart;
  std::map<int, AdmittedAttempt> running;
  std::set<int> ran;
  std::set<int> denied;
  std::map<int, bool> answered;
};

// Guards against a second run of an attempt or claim, a run after "not run" was
// reported, a run without a lease, and a wrong answer to FenceClaim. The low
// limit on claims forces evictions, so that `fenced_below` is tested too.
TEST_CASE("holds.at_most_once: repeated messages and fences in any order") {
  CHECK(rc::check([](const std::vector<std::pair<unsigned, unsigned>>& steps) {
    AttemptLimits limits;
    limits.max_claims = 2;
    // The model repeats attempts indefinitely, so their records must not
    // expire.
    limits.attempt_retention_ms = 1'000'000'000;
    AdmissionModel model(limits);
    for (const auto& [kind, number] : steps) {
      model.Step(kind, number);
    }
  }));
}

// Guards against old messages that an agent reads from its sockets after a
// freeze: the records that detect duplicates must not expire during the freeze.
TEST_CASE("holds.at_most_once: records do not expire during a freeze") {
  AdmissionModel model({});
  model.admission_state.GrantLease(model.self, model.now);
  model.Execute(1);
  model.End(1, 0);
  model.now = model.now.After(3'600'000);
  model.admission.Tick(model.now);
  model.admission_state.GrantLease(model.self, model.now);
  CHECK(model.admission.Admit(RequestOf(model.self, 1, -1), model.now) ==
        rpc::REFUSAL_DUPLICATE);
}

// Guards against memory use that grows with the uptime of the process.
TEST_CASE("attempts, claims and answers stay within their limits") {
  AttemptLimits limits;
  limits.max_claims = 50;
  limits.max_answer_bytes = 1'000;
  AttemptTable table(limits);
  Instant now = kStart;
  for (int i = 0; i < 5'000; ++i) {
    now = now.After(100);
    const AttemptKey key{AttemptId(std::to_string(i)), static_cast<Offset>(i),
                         now.After(1'000)};
    REQUIRE(table.Begin(key, now) == rpc::REFUSAL_NONE);
    table.End(key, {rpc::RAN_YES, std::string(100, 'x')}, now);
    CHECK(table.Size() <= 50 + 120);
    CHECK(table.AnswerBytes() <= 1'000);
  }
  // Evicted claims are refused, and their outcome is reported as unknown.
  CHECK(table.Begin({AttemptId("late"), Offset{3}, now.After(1'000)}, now) ==
        rpc::REFUSAL_FENCED);
  CHECK(table.Fence(3, now).ran == rpc::RAN_UNKNOWN);
  // The length of a dropped answer is still known.
  const ClaimStatus old = table.Fence(4'960, now);
  CHECK(old.ran == rpc::RAN_YES);
  CHECK(old.answer.empty());
  CHECK(old.answer_length == 100);
}

// Guards against an agent that runs work, or fences a claim, on behalf of an
// earlier incarnation.
TEST_CASE("messages to another incarnation or service are refused") {
  AdmissionModel model({});
  model.admission_state.GrantLease(model.self, model.now);
  Identity earlier = model.self;
  --earlier.incarnation;
  const auto request = RequestOf(earlier, 1, 5);
  CHECK(model.admission.Admit(request, model.now) ==
        rpc::REFUSAL_WRONG_INCARNATION);
  rpc::FenceClaimRequest fence;
  *fence.mutable_peers() = PeersFromEntry(earlier);
  CHECK(model.admission.Fence(fence, model.now).ran() == rpc::RAN_UNKNOWN);
  auto other = RequestOf(model.self, 1, -1);
  other.set_service("other");
  CHECK(model.admission.Admit(other, model.now) ==
        rpc::REFUSAL_WRONG_INCARNATION);
  auto late = RequestOf(model.self, 2, -1);
  late.set_remaining_ms(0);
  CHECK(model.admission.Admit(late, model.now) == rpc::REFUSAL_DEADLINE_PASSED);
  // A refused claim is reported as "not run" and must not run under another
  // attempt id either.
  auto claimed = RequestOf(model.self, 3, 4);
  claimed.set_remaining_ms(0);
  const auto refusal = model.admission.Admit(claimed, model.now);
  CHECK(model.admission.RefusalOf(claimed, refusal).ran() == rpc::RAN_NO);
  CHECK(model.admission.Admit(RequestOf(model.self, 4, 4), model.now) ==
        rpc::REFUSAL_FENCED);
}

}  // namespace
}  // namespace carobrill::agent
