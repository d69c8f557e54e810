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
#include "packages/records/foldable.h"
#include "packages/testing/log_store.h"

namespace carobrill::ledger {

inline constexpr std::string_view kRecords = "carobrill.records";
inline constexpr std::string_view kSnapshots = "carobrill.snapshots";

/// Virtual time; messages run in the order of their deadlines.
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

/// One client's access to a LogStore, with faults. Each call draws its fate
/// from `draw`, a number source that tests provide.
class FaultyStore {
 public:
  FaultyStore(testing::LogStore& log, VirtualScheduler& scheduler)
      : log(log), scheduler(scheduler) {}

  void Append(const std::string& stream,
              std::vector<std::string> records,
              Instant deadline,
              AppendCallback callback) {
    const bool lost_request = this->outage || this->Fails(this->lost_requests);
    const bool lost_answer = this->Fails(this->lost_answers);
    const bool late = lost_answer && this->Fails(this->late_writes);
    if (late) {
      // The call times out; the service takes the batch after that.
      this->scheduler.PostAt(deadline.After(this->late_by_ms), [=, this] {
        this->log.Append(stream, records, this->scheduler.Now());
      });
    }
    const Instant done = lost_answer ? deadline : this->Arrival();
    const Instant written = lost_answer ? this->scheduler.Now() : done;
    this->scheduler.PostAt(written, [=, this, call = std::move(callback)] {
      AppendReply reply;
      if (lost_request || this->outage) {
        reply.failure = StoreFailure::kUnavailable;
      } else if (!late) {
        reply = this->log.Append(stream, records, this->scheduler.Now());
      }
      if (lost_answer) {
        reply.failure = StoreFailure::kNoAnswer;
      }
      this->scheduler.PostAt(done, [=] { call(reply); });
    });
  }

  void Read(const ReadQuery& query, Instant /*deadline*/, ReadCallback call) {
    const bool lost = this->Fails(this->lost_requests);
    this->AnswerRead(query, this->scheduler.Now().After(query.wait_ms), lost,
                     call);
  }

  bool outage = false;
  /// Chances in percent.
  int lost_requests = 0;
  int lost_answers = 0;
  int late_writes = 0;
  std::int64_t late_by_ms = 500;
  std::function<int()> draw = [] { return 99; };

 private:
  bool Fails(int percent) { return percent > 0 && this->draw() < percent; }

  Instant Arrival() { return this->scheduler.Now().After(1); }

  void AnswerRead(const ReadQuery& query,
                  Instant until,
                  bool lost,
                  ReadCallback call) {
    // Only the switch `outage` is polled; the log wakes reads by itself.
    constexpr std::int64_t kStepMs = 500;
    this->scheduler.PostAt(this->Arrival(), [=, this] {
      ReadReply reply;
      if (this->outage || lost) {
        reply.failure = StoreFailure::kUnavailable;
        call(reply);
        return;
      }
      reply = this->log.Read(query);
      if (reply.failure != StoreFailure::kNone || !reply.records.empty() ||
          this->scheduler.Now() >= until) {
        call(reply);
        return;
      }
      const auto retry = [=, this, open = std::make_shared<bool>(true)] {
        if (std::exchange(*open, false)) {
          this->AnswerRead(query, until, lost, call);
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

/// A fold that keeps the names it was given, in order, and counts repeats.
struct NameFold {
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

  void Save(records::Snapshot& out) const {
    std::string joined;
    for (const auto& name : this->names) {
      joined += name + '\n';
    }
    out.set_scheduling(joined);
  }

  bool Load(const records::Snapshot& in) {
    std::size_t begin = 0;
    while (begin < in.scheduling().size()) {
      const auto end = in.scheduling().find('\n', begin);
      if (end == std::string::npos) {
        return false;
      }
      this->names.push_back(in.scheduling().substr(begin, end - begin));
      this->known.insert(this->names.back());
      begin = end + 1;
    }
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

static_assert(records::Foldable<NameFold>);
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

/// One entry: a session with its own access to the log.
template <typename Fold>
struct BasicNode {
  using Session = LogSession<FaultyStore, Fold, VirtualScheduler>;

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
    hooks.on_state_regressed = [this] { ++this->regressions; };
    hooks.on_state_replaced = [this] { ++this->replaced; };
    hooks.on_folded = [this](const FoldedRecord& folded) {
      this->folded.push_back(folded.offset);
    };
    hooks.writes_snapshots = [this] { return this->plans; };
    hooks.fetch_from_peer = [this](const PeerQuery& query, PeerCallback call) {
      std::optional<PeerState> answer;
      if (this->peer != nullptr) {
        answer = this->peer->session->Serve(query);
      }
      this->partial_answers += answer.has_value() && !answer->IsFull() ? 1 : 0;
      this->scheduler.PostAt(this->scheduler.Now().After(1),
                             [=] { call(answer); });
    };
    this->session = std::make_unique<Session>(
        settings, WriterNamed(instance, incarnation), LoadRecovery(),
        this->store, scheduler, std::move(hooks));
    this->session->Start();
  }

  /// Proposes a name and notes the result.
  ProposalId Propose(const std::string& name) {
    return this->Propose(name, NamedRecord(name));
  }

  /// Proposes a record and notes the result under `name`.
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

  const Fold& State() const { return this->session->State(); }
  std::uint64_t Hash() const { return this->session->CurrentReplica().Hash(); }

  VirtualScheduler& scheduler;
  FaultyStore store;
  BasicNode* peer = nullptr;
  bool plans = false;
  int regressions = 0;
  int partial_answers = 0;
  int replaced = 0;
  std::size_t proposed = 0;
  std::vector<Divergence> divergences;
  std::vector<Offset> folded;
  std::map<std::string, ProposalResult> results;
  std::unique_ptr<Session> session;
};

using Node = BasicNode<NameFold>;

/// `data` with one byte changed, removed, or added, or cut short.
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
