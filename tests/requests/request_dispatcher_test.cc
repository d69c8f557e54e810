#include "packages/requests/request_dispatcher.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "packages/core/digest.h"

namespace carobrill::requests {
namespace {

/// One dispatcher with its claim table and the actions that are not yet done.
class Bench {
 public:
  Bench()
      : table(ClaimTable::Create(std::string(CAROBRILL_SOURCE_DIRECTORY) +
                                 "/charts")
                  .value()),
        dispatcher(Settings(), this->table) {
    this->Take(this->dispatcher.OnLogState(true, this->now));
    this->Tell({Endpoint("x", 1)});
    this->dispatcher.OnEntries({{InstanceId("e"), 5}}, true, this->now);
  }

  static DispatcherSettings Settings() {
    DispatcherSettings settings;
    settings.self = InstanceId("e");
    settings.self_incarnation = 5;
    return settings;
  }

  static ServingEndpoint Endpoint(const std::string& agent,
                                  Incarnation incarnation) {
    ServingEndpoint endpoint;
    endpoint.endpoint = EndpointId("at " + agent);
    endpoint.service = ServiceId("s");
    endpoint.agent = InstanceId(agent);
    endpoint.agent_incarnation = incarnation;
    endpoint.routable = true;
    endpoint.slots = 8;
    return endpoint;
  }

  static Request Ask(CallId call, const std::string& key) {
    Request request;
    request.call = call;
    request.account = AccountId("a");
    request.service = ServiceId("s");
    request.idempotent = key.empty();
    request.idempotency_key = key;
    request.deadline = Instant{10'000};
    request.payload = "p";
    return request;
  }

  void Take(Actions actions) {
    for (Action& action : actions) {
      if (auto* propose = std::get_if<ProposeRecord>(&action)) {
        this->proposals.push_back(propose->record);
      } else if (auto* send = std::get_if<SendAttempt>(&action)) {
        this->sends.push_back(*send);
      } else if (auto* fence = std::get_if<SendFence>(&action)) {
        this->fences.push_back(*fence);
      } else if (auto* answer = std::get_if<AnswerCaller>(&action)) {
        this->answers.push_back(*answer);
      }
    }
  }

  void Tell(const std::vector<ServingEndpoint>& endpoints) {
    this->Take(this->dispatcher.OnEndpoints(endpoints, this->now));
  }

  void Submit(Request request) {
    this->Take(this->dispatcher.OnRequest(std::move(request), this->now));
  }

  /// Appends and applies the records proposed so far.
  void Commit() {
    const std::vector<records::Record> batch = std::exchange(proposals, {});
    for (const records::Record& record : batch) {
      this->Apply(record);
    }
  }

  void Apply(const records::Record& record) {
    const Offset offset = this->next_offset++;
    const auto verdict = this->table.Apply(record, offset, this->now);
    this->Take(
        this->dispatcher.OnRecordApplied(record, offset, verdict, this->now));
  }

  void At(std::int64_t ms) {
    this->now = Instant{ms};
    this->Take(this->dispatcher.OnTimer(this->now));
  }

  rpc::ExecuteReply ReplyTo(const SendAttempt& send,
                            rpc::Ran ran,
                            rpc::Refusal refusal) const {
    rpc::ExecuteReply reply;
    rpc::Peers& peers = *reply.mutable_peers();
    peers.set_sender(send.agent.value);
    peers.set_sender_incarnation(send.request.peers().receiver_incarnation());
    peers.set_receiver("e");
    peers.set_receiver_incarnation(5);
    reply.set_attempt(send.attempt.value);
    reply.set_ran(ran);
    reply.set_refusal(refusal);
    reply.set_answer("ok");
    reply.set_answer_length(2);
    reply.set_answer_digest(DigestOf("ok"));
    return reply;
  }

  void Reply(const SendAttempt& send,
             rpc::Ran ran,
             rpc::Refusal refusal = rpc::REFUSAL_NONE) {
    this->Take(this->dispatcher.OnExecuteReply(
        send.attempt, this->ReplyTo(send, ran, refusal), this->now));
  }

  void Fence(const SendFence& send, rpc::Ran ran, Incarnation incarnation) {
    rpc::FenceClaimReply reply;
    rpc::Peers& peers = *reply.mutable_peers();
    peers.set_sender(send.agent.value);
    peers.set_sender_incarnation(incarnation);
    peers.set_receiver("e");
    peers.set_receiver_incarnation(5);
    reply.set_ran(ran);
    reply.set_claim_offset(send.request.claim_offset());
    this->Take(this->dispatcher.OnFenceReply(send.fence, reply, this->now));
  }

  Instant now{1'000};
  Offset next_offset = 1;
  ClaimTable table;
  RequestDispatcher dispatcher;
  std::vector<records::Record> proposals;
  std::vector<SendAttempt> sends;
  std::vector<SendFence> fences;
  std::vector<AnswerCaller> answers;
};

// Guards against a send before the claim is in the log, or without its fence.
TEST_CASE("a non-idempotent request is sent once its claim is accepted") {
  Bench bench;
  bench.Submit(Bench::Ask(1, "k"));
  REQUIRE(bench.proposals.size() == 1);
  CHECK(bench.sends.empty());
  CHECK(bench.proposals[0].request_claimed().agent() == "x");
  bench.Commit();
  REQUIRE(bench.sends.size() == 1);
  CHECK(bench.sends[0].request.claim_offset() == 1);
  bench.Reply(bench.sends[0], rpc::RAN_YES);
  REQUIRE(bench.answers.size() == 1);
  CHECK(bench.answers[0].answer ==
        Answer{Ran::kYes, RequestError::kNone, "ok"});
  bench.Commit();
  bench.Submit(Bench::Ask(2, "k"));
  CHECK(bench.answers.at(1).answer.answer == "ok");
  CHECK(bench.sends.size() == 1);
  CHECK(bench.dispatcher.Idle());
}

// Guards against a promise of an earlier claim that outlives the next send.
TEST_CASE("holds.not_run_is_true: a refused claim says nothing of the next") {
  Bench bench;
  bench.Submit(Bench::Ask(1, "k"));
  bench.Commit();
  bench.Reply(bench.sends.at(0), rpc::RAN_NO, rpc::REFUSAL_FENCED);
  bench.Commit();
  bench.Commit();
  REQUIRE(bench.sends.size() == 2);
  bench.Take(
      bench.dispatcher.OnExecuteFailed(bench.sends[1].attempt, bench.now));
  bench.At(10'000);
  REQUIRE(bench.answers.size() == 1);
  CHECK(bench.answers[0].answer.ran == Ran::kUnknown);
}

// Guards against taking the refusal of a second copy for a promise about the
// first, which may be running.
TEST_CASE("holds.not_run_is_true: a refused duplicate may have run") {
  Bench bench;
  bench.Submit(Bench::Ask(1, "k"));
  bench.Commit();
  bench.Reply(bench.sends.at(0), rpc::RAN_NO, rpc::REFUSAL_DUPLICATE);
  CHECK(bench.proposals.empty());
  CHECK(bench.fences.size() == 1);
}

// Guards against the new process of an agent answering for the old one, which
// may have run the claim.
TEST_CASE("holds.not_run_is_true: only the claim's own agent can promise") {
  Bench bench;
  bench.Submit(Bench::Ask(1, "k"));
  bench.Commit();
  bench.Take(
      bench.dispatcher.OnExecuteFailed(bench.sends.at(0).attempt, bench.now));
  bench.Fence(bench.fences.at(0), rpc::RAN_NO, 2);
  CHECK(bench.proposals.empty());
  bench.Tell({Bench::Endpoint("x", 2)});
  bench.At(2'000);
  REQUIRE(bench.proposals.size() == 1);
  CHECK(bench.proposals[0].claim_settled().outcome() ==
        records::CLAIM_OUTCOME_UNKNOWN);
}

// Guards against a send long after the caller was told that nothing ran.
TEST_CASE("holds.not_run_is_true: a claim accepted too late is not sent") {
  Bench bench;
  bench.Submit(Bench::Ask(1, "k"));
  bench.At(10'000);
  REQUIRE(bench.answers.size() == 1);
  CHECK(bench.answers[0].answer.ran == Ran::kNo);
  bench.Commit();
  CHECK(bench.sends.empty());
  REQUIRE(bench.proposals.size() == 1);
  CHECK(bench.proposals[0].claim_settled().outcome() ==
        records::CLAIM_OUTCOME_NOT_RUN);
  // The deadline has passed when the verdict arrives before the timer fires.
  bench.now = Instant{1'000};
  bench.Submit(Bench::Ask(2, "l"));
  bench.now = Instant{10'001};
  bench.Commit();
  CHECK(bench.sends.empty());
}

// Guards against "not run" for a call while another call may still run the key.
TEST_CASE("holds.not_run_is_true: calls that share work are told unknown") {
  Bench bench;
  bench.Submit(Bench::Ask(1, "k"));
  Request later = Bench::Ask(2, "k");
  later.deadline = Instant{20'000};
  bench.Submit(std::move(later));
  bench.At(10'000);
  REQUIRE(bench.answers.size() == 1);
  CHECK(bench.answers[0].answer.ran == Ran::kUnknown);
}

// Guards against the answer of one payload for another one with the same key,
// under way here, claimed by another entry, or completed.
TEST_CASE("holds.own_answer: a key with another payload is rejected") {
  Bench bench;
  bench.Submit(Bench::Ask(1, "k"));
  Request other = Bench::Ask(2, "k");
  other.payload = "q";
  bench.Submit(other);
  REQUIRE(bench.answers.size() == 1);
  CHECK(bench.answers[0].answer ==
        Answer{Ran::kNo, RequestError::kKeyReused, ""});
  bench.Commit();
  bench.Reply(bench.sends.at(0), rpc::RAN_YES);
  bench.Commit();
  other.call = 3;
  bench.Submit(other);
  CHECK(bench.answers.at(2).answer.error == RequestError::kKeyReused);
}

// Guards against a lost race that leaves a slot or the caller behind.
TEST_CASE("an entry that loses the race for a key waits for the winner") {
  Bench bench;
  bench.dispatcher.OnEntries({{InstanceId("e"), 5}, {InstanceId("f"), 1}},
                             false, bench.now);
  for (CallId call = 1; call <= 20; ++call) {
    const std::string key = std::to_string(call);
    bench.Submit(Bench::Ask(call, key));
    REQUIRE(bench.proposals.size() == 1);
    records::Record rival = bench.proposals[0];
    rival.mutable_request_claimed()->set_entry("f");
    rival.mutable_request_claimed()->set_entry_incarnation(1);
    bench.Apply(rival);
    const Offset offset = bench.next_offset - 1;
    bench.Commit();
    CHECK(bench.sends.empty());
    CHECK(bench.fences.empty());
    records::Record settled;
    settled.mutable_claim_settled()->set_account("a");
    settled.mutable_claim_settled()->set_key(key);
    settled.mutable_claim_settled()->set_claim_offset(offset);
    settled.mutable_claim_settled()->set_outcome(
        records::CLAIM_OUTCOME_COMPLETED);
    settled.mutable_claim_settled()->set_answer("theirs");
    bench.Apply(settled);
    REQUIRE(bench.answers.size() == call);
    CHECK(bench.answers.back().answer.answer == "theirs");
  }
  CHECK(bench.dispatcher.Idle());
}

// Guards against callers that wait past their deadline for a silent endpoint.
TEST_CASE("a call is answered at its deadline") {
  Bench bench;
  bench.Submit(Bench::Ask(1, ""));
  REQUIRE(bench.sends.size() == 1);
  CHECK(bench.dispatcher.NextDeadline() <= Instant{10'000});
  bench.At(10'000);
  REQUIRE(bench.answers.size() == 1);
  CHECK(bench.answers[0].answer ==
        Answer{Ran::kUnknown, RequestError::kDeadlinePassed, ""});
}

// Guards against untrue or missing answers while the log is unavailable.
TEST_CASE("without the log, requests are refused or held as asked") {
  Bench bench;
  bench.Take(bench.dispatcher.OnLogState(false, bench.now));
  bench.Submit(Bench::Ask(1, "k"));
  CHECK(bench.answers.at(0).answer ==
        Answer{Ran::kNo, RequestError::kLogUnavailable, ""});
  Request repeat = Bench::Ask(2, "l");
  repeat.repeat = true;
  bench.Submit(repeat);
  CHECK(bench.answers.at(1).answer.ran == Ran::kUnknown);
  Request held = Bench::Ask(3, "m");
  held.hold_during_outage = true;
  bench.Submit(held);
  CHECK(bench.answers.size() == 2);
  bench.Submit(Bench::Ask(4, ""));
  CHECK(bench.sends.size() == 1);
  bench.Take(bench.dispatcher.OnLogState(true, bench.now));
  CHECK(bench.proposals.size() == 1);
}

// Guards against work that hangs when a snapshot has taken the place of the
// records it waits for.
TEST_CASE("a replaced claim table stands for the records it covers") {
  Bench bench;
  bench.Submit(Bench::Ask(1, "k"));
  bench.table.Apply(bench.proposals.at(0), 9, bench.now);
  bench.Take(bench.dispatcher.OnClaimsReplaced(bench.now));
  REQUIRE(bench.sends.size() == 1);
  bench.Reply(bench.sends[0], rpc::RAN_YES);
  bench.table.Apply(bench.proposals.at(1), 10, bench.now);
  bench.Take(bench.dispatcher.OnClaimsReplaced(bench.now));
  CHECK(bench.dispatcher.Idle());
}

// Guards against retries that multiply the load of a failing service.
TEST_CASE("retries stay within the budget") {
  Bench bench;
  std::size_t failed = 0;
  for (CallId call = 1; call <= 500; ++call) {
    bench.Submit(Bench::Ask(call, ""));
    while (failed < bench.sends.size()) {
      bench.Take(bench.dispatcher.OnExecuteFailed(bench.sends[failed++].attempt,
                                                  bench.now));
    }
  }
  // 10% of the requests and the reserve of 10.
  CHECK(bench.sends.size() <= 500 + 50 + 10);
  CHECK(bench.sends.size() >= 500 + 50);
  CHECK(bench.answers.size() == 500);
}

// Guards against a graceful shutdown that interrupts what was accepted.
TEST_CASE("a draining dispatcher finishes what it has accepted") {
  Bench bench;
  bench.Submit(Bench::Ask(1, ""));
  bench.dispatcher.Drain();
  bench.Submit(Bench::Ask(2, ""));
  CHECK(bench.answers.at(0).answer ==
        Answer{Ran::kNo, RequestError::kDraining, ""});
  CHECK_FALSE(bench.dispatcher.Idle());
  bench.Reply(bench.sends.at(0), rpc::RAN_YES);
  CHECK(bench.answers.at(1).answer.ran == Ran::kYes);
  CHECK(bench.dispatcher.Idle());
}

}  // namespace
}  // namespace carobrill::requests
