#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <ostream>
#include <string>
#include <vector>

#include "tests/requests/simulation.h"

namespace carobrill::requests {
namespace {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kAgents = 3;

enum class Step {
  kSubmitKeyed,
  kSubmitIdempotent,
  kAdvance,
  kRestartAgent,
  kStartLeaving,
  kStopLeaving,
  kRestartEntry,
  kLogDown,
  kLogUp,
  kSetFaults,
  kDisconnect,
  kReconnect,
  kCancelCall,
};

struct Command {
  Step step = Step::kAdvance;
  int target = 0;
  int value = 0;
};

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << static_cast<int>(command.step) << "(" << command.target << ","
             << command.value << ")";
}

rc::Gen<Command> AnyCommand() {
  const auto step =
      rc::gen::weightedElement<Step>({{12, Step::kSubmitKeyed},
                                      {6, Step::kSubmitIdempotent},
                                      {12, Step::kAdvance},
                                      {2, Step::kRestartAgent},
                                      {1, Step::kStartLeaving},
                                      {2, Step::kStopLeaving},
                                      {2, Step::kRestartEntry},
                                      {2, Step::kLogDown},
                                      {3, Step::kLogUp},
                                      {3, Step::kSetFaults},
                                      {1, Step::kDisconnect},
                                      {2, Step::kReconnect},
                                      {1, Step::kCancelCall}});
  return rc::gen::build<Command>(
      rc::gen::set(&Command::step, step),
      rc::gen::set(&Command::target, rc::gen::inRange(0, 12)),
      rc::gen::set(&Command::value, rc::gen::inRange(0, 100)));
}

Faults FaultsOf(int value) {
  const int level = value % 3 * 10;
  return Faults{level, level, level, level, level};
}

void Apply(Simulation& simulation, const Command& command) {
  const auto target = static_cast<std::size_t>(command.target);
  const std::size_t entry = target % kEntries;
  const std::size_t agent = target / kEntries % kAgents;
  switch (command.step) {
    case Step::kSubmitKeyed:
      // About four calls per key, so that several entries use a key while it is
      // new.
      simulation.Submit(entry,
                        "key " + std::to_string(simulation.Calls().size() / 8) +
                            "." + std::to_string(agent % 2),
                        100 + command.value * 30, command.value % 2 == 0);
      break;
    case Step::kSubmitIdempotent:
      simulation.Submit(entry, "", 100 + command.value * 30, false);
      break;
    case Step::kAdvance:
      simulation.Advance(command.value * command.target);
      break;
    case Step::kRestartAgent:
      simulation.RestartAgent(agent);
      break;
    case Step::kStartLeaving:
      simulation.SetLeaving(agent, true);
      break;
    case Step::kStopLeaving:
      simulation.SetLeaving(agent, false);
      break;
    case Step::kRestartEntry:
      simulation.RestartEntry(entry);
      break;
    case Step::kLogDown:
      simulation.SetLogAvailable(entry, false);
      break;
    case Step::kLogUp:
      simulation.SetLogAvailable(entry, true);
      break;
    case Step::kSetFaults:
      simulation.SetFaults(FaultsOf(command.value));
      break;
    case Step::kDisconnect:
      simulation.SetReachable(agent, entry, false);
      break;
    case Step::kReconnect:
      simulation.SetReachable(agent, entry, true);
      break;
    case Step::kCancelCall:
      simulation.CancelCall(static_cast<std::size_t>(command.value));
      break;
  }
}

/// Runs random histories and fails if `find_violation` reports one at the end.
template <typename FindViolation>
void CheckHistories(const std::string& name, FindViolation find_violation) {
  const bool passed = rc::check(name, [&find_violation] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto commands = *rc::gen::scale(
        3, rc::gen::container<std::vector<Command>>(AnyCommand()));
    Simulation simulation(kEntries, kAgents, seed);
    simulation.Advance(200);
    for (const Command& command : commands) {
      Apply(simulation, command);
    }
    simulation.Heal();
    const std::string violation = find_violation(simulation);
    if (!violation.empty()) {
      RC_FAIL(violation);
    }
  });
  CHECK(passed);
}

// Guards against answers of other calls, truncated answers and second answers.
TEST_CASE("holds.own_answer: a caller gets its own whole answer, once") {
  CheckHistories("own answer", [](const Simulation& simulation) {
    return simulation.AnswerViolation();
  });
}

// Guards against reporting "not run" for a request that an entry, or a dead
// entry before it, has sent or may still send.
TEST_CASE(
    "holds.not_run_is_true: whatever is reported as not run has not run") {
  CheckHistories("not run", [](const Simulation& simulation) {
    return simulation.NotRunViolation();
  });
}

// Guards against running a key twice: after a retry, after an entry resumes
// although its claim was taken over, or when entries race for the key.
TEST_CASE("holds.at_most_once: a key runs at most once") {
  CheckHistories("at most once", [](const Simulation& simulation) {
    return simulation.DuplicateRunViolation();
  });
}

// Guards against sending requests to an endpoint that the entry knows to be
// leaving, gone or restarted, also if the endpoint was chosen before.
TEST_CASE("holds.leaving: nothing is sent to an endpoint known as leaving") {
  CheckHistories("leaving", [](const Simulation& simulation) -> std::string {
    return simulation.LeavingViolation();
  });
}

// Guards against calls without an answer, claims that stay open and replicas
// that diverge.
TEST_CASE("everything settles once the faults are over") {
  CheckHistories("quiescence", [](const Simulation& simulation) {
    return simulation.QuiescenceViolation();
  });
}

}  // namespace
}  // namespace carobrill::requests
