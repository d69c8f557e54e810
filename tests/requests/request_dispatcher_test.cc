#include "packages/requests/request_dispatcher.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "packages/core/digest.h"

namespace carobrill::requests {
namespace {

/// A dispatcher with its claim table and the actions it has returned.
class DispatcherFixture {
 public:
  DispatcherFixture()
      : table(ClaimTable::Create(std::string(CAROBRILL_SOURCE_DIRECTORY) +
                                 "/charts")
                  .value()),
        dispatcher(MakeSettings(), this->table) {
    this->CollectActions(this->dispatcher.OnLogAvailability(true, this->now));
    this->SetEndpoints({MakeEndpoint("x", 1)});
    this->dispatcher.OnLiveEntries({{InstanceId("e"), 5}}, true, this->now);
  }

  static DispatcherSettings MakeSettings() {
    DispatcherSettings settings;
    settings.self = InstanceId("e");
    settings.self_incarnation = 5;
    return settings;
  }

  static ServingEndpoint MakeEndpoint(const std::string& agent,
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

  static Request MakeRequest(CallId call, const std::string& key) {
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

  void CollectActions(Actions actions) {
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

  void SetEndpoints(const std::vector<ServingEndpoint>& endpoints) {
    this->CollectActions(this->dispatcher.OnEndpoints(endpoints, this->now));
  }

  void Submit(Request request) {
    this->CollectActions(
        this->dispatcher.OnRequest(std::move(request), this->now));
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
    this->CollectActions(
        this->dispatcher.OnRecordApplied(record, offset, verdict, this->now));
  }

  void AdvanceTo(std::int64_t ms) {
    this->now = Instant{ms};
    this->CollectActions(this->dispatcher.OnTimer(this->now));
  }

  rpc::ExecuteReply MakeReply(const SendAttempt& send,
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

  void ReplyToAttempt(const SendAttempt& send,
                      rpc::Ran ran,
                      rpc::Refusal refusal = rpc::REFUSAL_NONE) {
    this->CollectActions(this->dispatcher.OnExecuteReply(
        send.attempt, this->MakeReply(send, ran, refusal), this->now));
  }

  void ReplyToFence(const SendFence& send,
                    rpc::Ran ran,
                    Incarnation incarnation) {
    rpc::FenceClaimReply reply;
    rpc::Peers& peers = *reply.mutable_peers();
    peers.set_sender(send.agent.value);
    peers.set_sender_incarnation(incarnation);
    peers.set_receiver("e");
    peers.set_receiver_incarnation(5);
    reply.set_ran(ran);
    reply.set_claim_offset(send.request.claim_offset());
    this->CollectActions(
        this->dispatcher.OnFenceReply(send.fence, reply, this->now));
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

// Guards against sending before the claim is in the log or without its fencing
// token.
TEST_CASE("a non-idempotent request is sent once its claim is accepted") {
  DispatcherFixture fixture;
  fixture.Submit(DispatcherFixture::MakeRequest(1, "k"));
  REQUIRE(fixture.proposals.size() == 1);
  CHECK(fixture.sends.empty());
  CHECK(fixture.proposals[0].request_claimed().agent() == "x");
  fixture.Commit();
  REQUIRE(fixture.sends.size() == 1);
  CHECK(fixture.sends[0].request.claim_offset() == 1);
  fixture.ReplyToAttempt(fixture.sends[0], rpc::RAN_YES);
  REQUIRE(fixture.answers.size() == 1);
  CHECK(fixture.answers[0].answer ==
        Answer{Ran::kYes, RequestError::kNone, "ok"});
  fixture.Commit();
  fixture.Submit(DispatcherFixture::MakeRequest(2, "k"));
  CHECK(fixture.answers.at(1).answer.answer == "ok");
  CHECK(fixture.sends.size() == 1);
  CHECK(fixture.dispatcher.Idle());
}

// Guards against applying the "not run" guarantee of an earlier claim to a
// later one.
TEST_CASE("holds.not_run_is_true: a refused claim says nothing of the next") {
  DispatcherFixture fixture;
  fixture.Submit(DispatcherFixture::MakeRequest(1, "k"));
  fixture.Commit();
  fixture.ReplyToAttempt(fixture.sends.at(0), rpc::RAN_NO, rpc::REFUSAL_FENCED);
  fixture.Commit();
  fixture.Commit();
  REQUIRE(fixture.sends.size() == 2);
  fixture.CollectActions(fixture.dispatcher.OnExecuteFailed(
      fixture.sends[1].attempt, fixture.now));
  fixture.AdvanceTo(10'000);
  REQUIRE(fixture.answers.size() == 1);
  CHECK(fixture.answers[0].answer.ran == Ran::kUnknown);
}

// Guards against taking the refusal of a second copy as a guarantee about the
// first, which may be running.
TEST_CASE("holds.not_run_is_true: a refused duplicate may have run") {
  DispatcherFixture fixture;
  fixture.Submit(DispatcherFixture::MakeRequest(1, "k"));
  fixture.Commit();
  fixture.ReplyToAttempt(fixture.sends.at(0), rpc::RAN_NO,
                         rpc::REFUSAL_DUPLICATE);
  CHECK(fixture.proposals.empty());
  CHECK(fixture.fences.size() == 1);
}

// Guards against a restarted agent answering for its earlier process, which may
// have run the claim.
TEST_CASE("holds.not_run_is_true: only the claim's own agent can promise") {
  DispatcherFixture fixture;
  fixture.Submit(DispatcherFixture::MakeRequest(1, "k"));
  fixture.Commit();
  fixture.CollectActions(fixture.dispatcher.OnExecuteFailed(
      fixture.sends.at(0).attempt, fixture.now));
  fixture.ReplyToFence(fixture.fences.at(0), rpc::RAN_NO, 2);
  CHECK(fixture.proposals.empty());
  fixture.SetEndpoints({DispatcherFixture::MakeEndpoint("x", 2)});
  fixture.AdvanceTo(2'000);
  REQUIRE(fixture.proposals.size() == 1);
  CHECK(fixture.proposals[0].claim_settled().outcome() ==
        records::CLAIM_OUTCOME_UNKNOWN);
}

// Guards against sending a request after its caller was told that it did not
// run.
TEST_CASE("holds.not_run_is_true: a claim accepted too late is not sent") {
  DispatcherFixture fixture;
  fixture.Submit(DispatcherFixture::MakeRequest(1, "k"));
  fixture.AdvanceTo(10'000);
  REQUIRE(fixture.answers.size() == 1);
  CHECK(fixture.answers[0].answer.ran == Ran::kNo);
  fixture.Commit();
  CHECK(fixture.sends.empty());
  REQUIRE(fixture.proposals.size() == 1);
  CHECK(fixture.proposals[0].claim_settled().outcome() ==
        records::CLAIM_OUTCOME_NOT_RUN);
  // The deadline passes, but the claim is applied before the timer fires.
  fixture.now = Instant{1'000};
  fixture.Submit(DispatcherFixture::MakeRequest(2, "l"));
  fixture.now = Instant{10'001};
  fixture.Commit();
  CHECK(fixture.sends.empty());
}

// Guards against reporting "not run" to a call while another call may still run
// the key.
TEST_CASE("holds.not_run_is_true: calls that share work are told unknown") {
  DispatcherFixture fixture;
  fixture.Submit(DispatcherFixture::MakeRequest(1, "k"));
  Request later = DispatcherFixture::MakeRequest(2, "k");
  later.deadline = Instant{20'000};
  fixture.Submit(std::move(later));
  fixture.AdvanceTo(10'000);
  REQUIRE(fixture.answers.size() == 1);
  CHECK(fixture.answers[0].answer.ran == Ran::kUnknown);
}

// Guards against returning the answer of one payload for another with the same
// key while the first is pending, claimed by another entry or completed.
TEST_CASE("holds.own_answer: a key with another payload is rejected") {
  DispatcherFixture fixture;
  fixture.Submit(DispatcherFixture::MakeRequest(1, "k"));
  Request other = DispatcherFixture::MakeRequest(2, "k");
  other.payload = "q";
  fixture.Submit(other);
  REQUIRE(fixture.answers.size() == 1);
  CHECK(fixture.answers[0].answer ==
        Answer{Ran::kNo, RequestError::kKeyReused, ""});
  fixture.Commit();
  fixture.ReplyToAttempt(fixture.sends.at(0), rpc::RAN_YES);
  fixture.Commit();
  other.call = 3;
  fixture.Submit(other);
  CHECK(fixture.answers.at(2).answer.error == RequestError::kKeyReused);
}

// Guards against leaking a slot or leaving the caller unanswered after losing a
// race.
TEST_CASE("an entry that loses the race for a key waits for the winner") {
  DispatcherFixture fixture;
  fixture.dispatcher.OnLiveEntries({{InstanceId("e"), 5}, {InstanceId("f"), 1}},
                                   false, fixture.now);
  for (CallId call = 1; call <= 20; ++call) {
    const std::string key = std::to_string(call);
    fixture.Submit(DispatcherFixture::MakeRequest(call, key));
    REQUIRE(fixture.proposals.size() == 1);
    records::Record rival = fixture.proposals[0];
    rival.mutable_request_claimed()->set_entry("f");
    rival.mutable_request_claimed()->set_entry_incarnation(1);
    fixture.Apply(rival);
    const Offset offset = fixture.next_offset - 1;
    fixture.Commit();
    CHECK(fixture.sends.empty());
    CHECK(fixture.fences.empty());
    records::Record settled;
    settled.mutable_claim_settled()->set_account("a");
    settled.mutable_claim_settled()->set_key(key);
    settled.mutable_claim_settled()->set_claim_offset(offset);
    settled.mutable_claim_settled()->set_outcome(
        records::CLAIM_OUTCOME_COMPLETED);
    settled.mutable_claim_settled()->set_answer("theirs");
    fixture.Apply(settled);
    REQUIRE(fixture.answers.size() == call);
    CHECK(fixture.answers.back().answer.answer == "theirs");
  }
  CHECK(fixture.dispatcher.Idle());
}

// Guards against callers waiting past their deadline for an unresponsive
// endpoint.
TEST_CASE("a call is answered at its deadline") {
  DispatcherFixture fixture;
  fixture.Submit(DispatcherFixture::MakeRequest(1, ""));
  REQUIRE(fixture.sends.size() == 1);
  CHECK(fixture.dispatcher.NextDeadline() <= Instant{10'000});
  fixture.AdvanceTo(10'000);
  REQUIRE(fixture.answers.size() == 1);
  CHECK(fixture.answers[0].answer ==
        Answer{Ran::kUnknown, RequestError::kDeadlinePassed, ""});
}

// Guards against wrong or missing answers while the log is unavailable.
TEST_CASE("without the log, requests are refused or held as asked") {
  DispatcherFixture fixture;
  fixture.CollectActions(
      fixture.dispatcher.OnLogAvailability(false, fixture.now));
  fixture.Submit(DispatcherFixture::MakeRequest(1, "k"));
  CHECK(fixture.answers.at(0).answer ==
        Answer{Ran::kNo, RequestError::kLogUnavailable, ""});
  Request repeat = DispatcherFixture::MakeRequest(2, "l");
  repeat.repeat = true;
  fixture.Submit(repeat);
  CHECK(fixture.answers.at(1).answer.ran == Ran::kUnknown);
  Request held = DispatcherFixture::MakeRequest(3, "m");
  held.hold_during_outage = true;
  fixture.Submit(held);
  CHECK(fixture.answers.size() == 2);
  fixture.Submit(DispatcherFixture::MakeRequest(4, ""));
  CHECK(fixture.sends.size() == 1);
  fixture.CollectActions(
      fixture.dispatcher.OnLogAvailability(true, fixture.now));
  CHECK(fixture.proposals.size() == 1);
}

// Guards against requests that hang because a snapshot replaced the records
// they wait for.
TEST_CASE("a replaced claim table stands for the records it covers") {
  DispatcherFixture fixture;
  fixture.Submit(DispatcherFixture::MakeRequest(1, "k"));
  fixture.table.Apply(fixture.proposals.at(0), 9, fixture.now);
  fixture.CollectActions(fixture.dispatcher.OnClaimTableReplaced(fixture.now));
  REQUIRE(fixture.sends.size() == 1);
  fixture.ReplyToAttempt(fixture.sends[0], rpc::RAN_YES);
  fixture.table.Apply(fixture.proposals.at(1), 10, fixture.now);
  fixture.CollectActions(fixture.dispatcher.OnClaimTableReplaced(fixture.now));
  CHECK(fixture.dispatcher.Idle());
}

// Guards against retries that multiply the load of a failing service.
TEST_CASE("retries stay within the budget") {
  DispatcherFixture fixture;
  std::size_t failed = 0;
  for (CallId call = 1; call <= 500; ++call) {
    fixture.Submit(DispatcherFixture::MakeRequest(call, ""));
    while (failed < fixture.sends.size()) {
      fixture.CollectActions(fixture.dispatcher.OnExecuteFailed(
          fixture.sends[failed++].attempt, fixture.now));
    }
  }
  // 10% of the requests plus the reserve of 10.
  CHECK(fixture.sends.size() <= 500 + 50 + 10);
  CHECK(fixture.sends.size() >= 500 + 50);
  CHECK(fixture.answers.size() == 500);
}

// Guards against one request that takes down one endpoint after the other.
TEST_CASE("a request is sent to at most three endpoints that do not answer") {
  DispatcherFixture fixture;
  for (CallId call = 1; call <= 20; ++call) {
    fixture.Submit(DispatcherFixture::MakeRequest(call, ""));
    fixture.ReplyToAttempt(fixture.sends.back(), rpc::RAN_YES);
  }
  const std::size_t before = fixture.sends.size();
  fixture.Submit(DispatcherFixture::MakeRequest(100, ""));
  for (std::size_t lost = before; lost < fixture.sends.size(); ++lost) {
    fixture.CollectActions(fixture.dispatcher.OnExecuteFailed(
        fixture.sends[lost].attempt, fixture.now));
  }
  CHECK(fixture.sends.size() == before + 3);
  CHECK(fixture.answers.back().answer.error == RequestError::kEndpointFailed);
  CHECK(fixture.answers.back().answer.ran == Ran::kUnknown);
  CHECK(fixture.dispatcher.Idle());
}

// Guards against a graceful shutdown that interrupts accepted requests.
TEST_CASE("a draining dispatcher finishes what it has accepted") {
  DispatcherFixture fixture;
  fixture.Submit(DispatcherFixture::MakeRequest(1, ""));
  fixture.dispatcher.Drain();
  fixture.Submit(DispatcherFixture::MakeRequest(2, ""));
  CHECK(fixture.answers.at(0).answer ==
        Answer{Ran::kNo, RequestError::kDraining, ""});
  CHECK_FALSE(fixture.dispatcher.Idle());
  fixture.ReplyToAttempt(fixture.sends.at(0), rpc::RAN_YES);
  CHECK(fixture.answers.at(1).answer.ran == Ran::kYes);
  CHECK(fixture.dispatcher.Idle());
}

}  // namespace
}  // namespace carobrill::requests
