#ifndef TESTS_REQUESTS_SIMULATION_H_
#define TESTS_REQUESTS_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "packages/requests/claim_table.h"
#include "packages/requests/request_dispatcher.h"

namespace carobrill::requests {

/// Probabilities, in percent, of network faults per message.
struct Faults {
  int loss = 0;
  int delay = 0;
  int duplicate = 0;
  int misroute = 0;
  int truncate = 0;
};

/// Parameters of a simulation.
struct SimulationOptions {
  DispatcherSettings dispatcher;
  std::uint32_t slots = 2;
  std::int64_t max_delay_ms = 20;
  /// Run time of a request by its kind; random if not set.
  std::function<std::int64_t(const std::string& kind, std::mt19937_64& random)>
      run_ms;
};

/// A call and the answers it got.
struct Call {
  CallId id = 0;
  std::size_t entry = 0;
  std::string key;
  std::string payload;
  std::string kind;
  Instant start;
  Instant deadline;
  /// When it was answered or cancelled, or its entry died.
  Instant end = Instant::Never();
  std::vector<Answer> answers;
  bool abandoned = false;
};

/// Simulates entries with their own copies of the claim table, agents, a log
/// and a network on a virtual clock with a seeded random number generator.
class Simulation {
 public:
  Simulation(std::size_t entry_count,
             std::size_t agent_count,
             std::uint64_t seed,
             SimulationOptions simulation_options = {});

  void Submit(std::size_t entry,
              const std::string& key,
              std::int64_t deadline_ms,
              bool hold,
              const std::string& kind = "");
  void CancelCall(std::size_t index);
  void RestartAgent(std::size_t agent);
  void SetLeaving(std::size_t agent, bool leaving);
  void SetReachable(std::size_t agent, std::size_t entry, bool reachable);
  void RestartEntry(std::size_t entry);
  void SetLogAvailable(std::size_t entry, bool available);
  void SetFaults(const Faults& new_faults) { this->faults = new_faults; }
  void Advance(std::int64_t ms);

  /// Ends all faults and advances the clock by 60 s, so that everything
  /// settles.
  void Heal();

  /// Describes a wrong answer, or returns an empty string.
  std::string AnswerViolation() const;
  /// Describes a wrong `ran: no` answer, or returns an empty string.
  std::string NotRunViolation() const;
  /// Describes a key that ran more than once, or returns an empty string.
  std::string DuplicateRunViolation() const;
  /// Describes an attempt sent to an endpoint known as leaving, or returns an
  /// empty string.
  const std::string& LeavingViolation() const {
    return this->leaving_violation;
  }
  /// Describes what is not settled after Heal, or returns an empty string.
  std::string QuiescenceViolation() const;

  std::size_t Executions() const { return this->executions.size(); }
  const std::vector<Call>& Calls() const { return this->calls; }

 private:
  struct Execution {
    std::string payload;
    Instant at;
  };

  struct Agent {
    InstanceId id;
    Incarnation incarnation = 1;
    bool leaving = false;
    std::uint32_t running = 0;
    std::set<Offset> refused;
    /// Claims that started here with their answers, empty while running.
    std::map<Offset, std::string> started;
    std::set<std::size_t> unreachable_from;
  };

  struct Entry {
    InstanceId id;
    Incarnation incarnation = 1;
    std::unique_ptr<ClaimTable> table;
    std::unique_ptr<RequestDispatcher> dispatcher;
    std::size_t applied = 0;
    bool log_available = true;
    bool apply_scheduled = false;
    std::map<InstanceId, ServingEndpoint> known_endpoints;
    std::set<std::string> unanswered;
  };

  struct Event {
    Instant at;
    std::uint64_t sequence = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.sequence) <
             std::tie(this->at, this->sequence);
    }
  };

  using EntryCallback = std::function<void(Entry&)>;

  void Schedule(std::int64_t delay_ms, std::function<void()> run);
  /// Runs `callback` later unless the entry has been restarted by then.
  void ScheduleAt(std::size_t entry,
                  std::int64_t delay_ms,
                  EntryCallback callback);
  bool Chance(int percent);
  std::int64_t Delay();
  void StartEntry(std::size_t entry);
  void PublishState();
  void Perform(std::size_t entry, const Actions& actions);
  void Propose(std::size_t entry, const records::Record& record);
  void Append(std::size_t entry,
              Incarnation incarnation,
              const records::Record& record);
  void ScheduleApply(std::size_t entry);
  void ApplyLog(std::size_t entry);
  void SendAttemptTo(std::size_t entry, const SendAttempt& send);
  void SendFenceTo(std::size_t entry, const SendFence& send);
  void Execute(std::size_t entry, std::size_t agent, const SendAttempt& send);
  void Reply(std::size_t entry,
             std::size_t agent,
             const SendAttempt& send,
             rpc::ExecuteReply reply);
  rpc::FenceClaimReply Fence(Agent& agent, const SendFence& send);
  std::optional<std::size_t> FindAgent(const InstanceId& id) const;
  ServingEndpoint Describe(const Agent& agent) const;
  void ArmTimer(std::size_t entry);

  std::int64_t RunMs(const std::string& payload);

  SimulationOptions options;
  std::mt19937_64 random;
  Instant now{1'000};
  std::uint64_t next_sequence = 0;
  std::priority_queue<Event> events;
  std::vector<Entry> entries;
  std::vector<Agent> agents;
  std::vector<std::pair<records::Record, Instant>> log;
  std::vector<Execution> executions;
  std::vector<Call> calls;
  std::optional<rpc::ExecuteReply> last_reply;
  Faults faults;
  std::string leaving_violation;
};

}  // namespace carobrill::requests

#endif  // TESTS_REQUESTS_SIMULATION_H_
