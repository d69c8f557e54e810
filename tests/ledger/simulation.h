#ifndef TESTS_LEDGER_SIMULATION_H_
#define TESTS_LEDGER_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "packages/ledger/log_session.h"
#include "packages/records/replicated_component.h"
#include "packages/testing/log_store.h"

namespace carobrill::ledger {

inline constexpr std::string_view kRecords = "carobrill.records";
inline constexpr std::string_view kSnapshots = "carobrill.snapshots";

/// Scheduler with virtual time; messages run in the order of their deadlines.
class VirtualScheduler {
 public:
  Instant Now() const { return this->now; }

  void PostAt(Instant deadline, std::function<void()> message) {
    this->messages.emplace(std::max(deadline, this->now), std::move(message));
  }

  void RunUntil(Instant end) {
    while (!this->messages.empty() && this->messages.begin()->first <= end) {
      auto next = this->messages.extract(this->messages.begin());
      this->now = next.key();
      next.mapped()();
    }
    this->now = end;
  }

  void RunFor(std::int64_t duration_ms) {
    this->RunUntil(this->now.After(duration_ms));
  }

 private:
  Instant now{1'000'000};
  std::multimap<Instant, std::function<void()>> messages;
};

/// One client's access to a LogStore with fault injection. `draw_percent`
/// returns a number from 0 to 99 that decides whether a fault occurs.
class FaultyStore {
 public:
  FaultyStore(testing::LogStore& log, VirtualScheduler& scheduler)
      : log(log), scheduler(scheduler) {}

  void Append(const std::string& stream,
              std::vector<std::string> records,
              Instant deadline,
              AppendCallback callback) {
    const bool lost_request =
        this->outage || this->Fails(this->lost_request_percent);
    const bool lost_reply = this->Fails(this->lost_reply_percent);
    const bool late = lost_reply && this->Fails(this->late_write_percent);
    if (late) {
      // The call times out, and the service writes the batch after that.
      this->scheduler.PostAt(deadline.After(this->late_by_ms), [=, this] {
        this->log.Append(stream, records, this->scheduler.Now());
      });
    }
    const Instant done = lost_reply ? deadline : this->ArrivalTime();
    const Instant written = lost_reply ? this->scheduler.Now() : done;
    this->scheduler.PostAt(written, [=, this, callback = std::move(callback)] {
      AppendReply reply;
      if (lost_request || this->outage) {
        reply.failure = StoreFailure::kUnavailable;
      } else if (!late) {
        reply = this->log.Append(stream, records, this->scheduler.Now());
      }
      if (lost_reply) {
        reply.failure = StoreFailure::kNoAnswer;
      }
      this->scheduler.PostAt(done, [=] { callback(reply); });
    });
  }

  void Read(const ReadQuery& query,
            Instant /*deadline*/,
            ReadCallback callback) {
    const bool lost = this->Fails(this->lost_request_percent);
    this->AnswerRead(query, this->scheduler.Now().After(query.wait_ms), lost,
                     callback);
  }

  bool outage = false;
  /// Probabilities in percent.
  int lost_request_percent = 0;
  int lost_reply_percent = 0;
  int late_write_percent = 0;
  std::int64_t late_by_ms = 500;
  std::function<int()> draw_percent = [] { return 99; };

 private:
  bool Fails(int percent) {
    return percent > 0 && this->draw_percent() < percent;
  }

  Instant ArrivalTime() { return this->scheduler.Now().After(1); }

  void AnswerRead(const ReadQuery& query,
                  Instant until,
                  bool lost,
                  ReadCallback callback) {
    // Polls only for a change of `outage`; the log itself wakes waiting reads.
    constexpr std::int64_t kStepMs = 500;
    this->scheduler.PostAt(this->ArrivalTime(), [=, this] {
      ReadReply reply;
      if (this->outage || lost) {
        reply.failure = StoreFailure::kUnavailable;
        callback(reply);
        return;
      }
      reply = this->log.Read(query);
      if (reply.failure != StoreFailure::kNone || !reply.records.empty() ||
          this->scheduler.Now() >= until) {
        callback(reply);
        return;
      }
      const auto retry = [=, this, open = std::make_shared<bool>(true)] {
        if (std::exchange(*open, false)) {
          this->AnswerRead(query, until, lost, callback);
        }
      };
      this->log.WaitForChange(retry);
      this->scheduler.PostAt(
          std::min(until, this->scheduler.Now().After(kStepMs)), retry);
    });
  }

  testing::LogStore& log;
  VirtualScheduler& scheduler;
};

/// State that keeps the applied names in order and counts names that were
/// applied twice.
struct NameListState {
  std::vector<std::string> names;
  std::set<std::string> known;
  std::uint64_t applied_twice = 0;

  records::Verdict Apply(const records::Record& record, Offset, Instant) {
    const std::string& name = record.job_cancelled().job();
    if (!this->known.insert(name).second) {
      ++this->applied_twice;
      return records::Verdict::kWrongState;
    }
    this->names.push_back(name);
    return records::Verdict::kAccepted;
  }

  // Stores the names in an unrelated message with a repeated string field,
  // since names may contain any character.
  void Save(records::Snapshot& out) const {
    records::GangPlaced list;
    list.mutable_victims()->Assign(this->names.begin(), this->names.end());
    out.set_scheduling(list.SerializeAsString());
  }

  bool Load(const records::Snapshot& in) {
    records::GangPlaced list;
    if (!list.ParseFromString(in.scheduling())) {
      return false;
    }
    this->names.assign(list.victims().begin(), list.victims().end());
    this->known = {this->names.begin(), this->names.end()};
    return true;
  }

  std::uint64_t Hash() const {
    StableHash hash;
    for (const auto& name : this->names) {
      hash.Add(name);
    }
    return hash.Value();
  }
};

static_assert(records::ReplicatedComponent<NameListState>);
static_assert(Store<FaultyStore>);
static_assert(Scheduler<VirtualScheduler>);

inline records::Record NamedRecord(const std::string& name) {
  records::Record record;
  record.mutable_job_cancelled()->set_job(name);
  return record;
}

inline records::Writer WriterNamed(const std::string& instance,
                                   std::uint64_t incarnation = 1) {
  records::Writer writer;
  writer.set_instance(instance);
  writer.set_incarnation(incarnation);
  return writer;
}

inline Recovery LoadRecovery() {
  return Recovery::Load(std::string(CAROBRILL_SOURCE_DIRECTORY) + "/charts")
      .value();
}

/// An entry: a session with its own access to the log.
template <typename StateType>
struct BasicNode {
  using Session = LogSession<FaultyStore, StateType, VirtualScheduler>;

  BasicNode(const std::string& instance,
            std::uint64_t incarnation,
            testing::LogStore& log,
            VirtualScheduler& scheduler,
            SessionSettings settings = {})
      : scheduler(scheduler), store(log, scheduler) {
    SessionHooks hooks;
    hooks.on_divergence = [this](const Divergence& pair) {
      this->divergences.push_back(pair);
    };
    hooks.on_state_reverted = [this] { ++this->regressions; };
    hooks.on_state_replaced = [this] { ++this->state_replacements; };
    hooks.on_record_applied = [this](const AppliedRecord& applied_record) {
      this->applied_offsets.push_back(applied_record.offset);
    };
    hooks.should_write_snapshots = [this] { return this->is_planner; };
    hooks.fetch_from_peer = [this](const PeerQuery& query,
                                   PeerCallback callback) {
      std::optional<PeerReply> answer;
      if (this->peer != nullptr) {
        answer = this->peer->session->Serve(query);
      }
      this->partial_answers += answer.has_value() && !answer->IsFull() ? 1 : 0;
      this->scheduler.PostAt(this->scheduler.Now().After(1),
                             [=] { callback(answer); });
    };
    this->session = std::make_unique<Session>(
        settings, WriterNamed(instance, incarnation), LoadRecovery(),
        this->store, scheduler, std::move(hooks));
    this->session->Start();
  }

  /// Proposes a record with `name` and stores the result.
  ProposalId Propose(const std::string& name) {
    return this->Propose(name, NamedRecord(name));
  }

  /// Proposes a record and stores the result under `name`.
  ProposalId Propose(const std::string& name, records::Record record) {
    ++this->proposed;
    return this->session->Propose(std::move(record),
                                  [this, name](const ProposalResult& result) {
                                    this->results[name] = result;
                                  });
  }

  bool Accepted(const std::string& name) const {
    const auto found = this->results.find(name);
    return found != this->results.end() &&
           found->second.outcome == ProposalOutcome::kDecided &&
           found->second.verdict == records::Verdict::kAccepted;
  }

  const StateType& State() const { return this->session->State(); }
  std::uint64_t Hash() const { return this->session->CurrentReplica().Hash(); }

  VirtualScheduler& scheduler;
  FaultyStore store;
  BasicNode* peer = nullptr;
  bool is_planner = false;
  int regressions = 0;
  int partial_answers = 0;
  int state_replacements = 0;
  std::size_t proposed = 0;
  std::vector<Divergence> divergences;
  std::vector<Offset> applied_offsets;
  std::map<std::string, ProposalResult> results;
  std::unique_ptr<Session> session;
};

using Node = BasicNode<NameListState>;

/// Returns `data` with one byte inserted, removed or changed, or truncated.
inline std::string Mutated(std::string data, std::mt19937& random) {
  const std::size_t at = data.empty() ? 0 : random() % data.size();
  const char byte = static_cast<char>(random() % 256);
  switch (data.empty() ? 0 : random() % 4) {
    case 0:
      return data.insert(at, 1, byte);
    case 1:
      return data.erase(at, 1);
    case 2:
      return data.substr(0, at);
    default:
      data[at] = byte;
      return data;
  }
}

}  // namespace carobrill::ledger

#endif  // TESTS_LEDGER_SIMULATION_H_
