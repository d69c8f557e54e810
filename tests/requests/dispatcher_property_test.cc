#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <ostream>
#include <string>
#include <vector>

#include "tests/requests/world.h"

namespace carobrill::requests {
namespace {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kAgents = 3;

enum class Step {
  kAskKeyed,
  kAskIdempotent,
  kAdvance,
  kRestartAgent,
  kLeave,
  kStay,
  kRestartEntry,
  kLogDown,
  kLogUp,
  kFaults,
  kCutOff,
  kReconnect,
  kCallerLeaves,
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
  const auto step = rc::gen::weightedElement<Step>({{12, Step::kAskKeyed},
                                                    {6, Step::kAskIdempotent},
                                                    {12, Step::kAdvance},
                                                    {2, Step::kRestartAgent},
                                                    {1, Step::kLeave},
                                                    {2, Step::kStay},
                                                    {2, Step::kRestartEntry},
                                                    {2, Step::kLogDown},
                                                    {3, Step::kLogUp},
                                                    {3, Step::kFaults},
                                                    {1, Step::kCutOff},
                                                    {2, Step::kReconnect},
                                                    {1, Step::kCallerLeaves}});
  return rc::gen::build<Command>(
      rc::gen::set(&Command::step, step),
      rc::gen::set(&Command::target, rc::gen::inRange(0, 12)),
      rc::gen::set(&Command::value, rc::gen::inRange(0, 100)));
}

Faults FaultsOf(int value) {
  const int level = value % 3 * 10;
  return Faults{level, level, level, level, level};
}

void Run(World& world, const Command& command) {
  const auto target = static_cast<std::size_t>(command.target);
  const std::size_t entry = target % kEntries;
  const std::size_t agent = target / kEntries % kAgents;
  switch (command.step) {
    case Step::kAskKeyed:
      // About four calls a key, so that entries meet at it while it is new.
      world.Ask(entry,
                "key " + std::to_string(world.Calls().size() / 8) + "." +
                    std::to_string(agent % 2),
                100 + command.value * 30, command.value % 2 == 0);
      break;
    case Step::kAskIdempotent:
      world.Ask(entry, "", 100 + command.value * 30, false);
      break;
    case Step::kAdvance:
      world.Advance(command.value * command.target);
      break;
    case Step::kRestartAgent:
      world.RestartAgent(agent);
      break;
    case Step::kLeave:
      world.SetLeaving(agent, true);
      break;
    case Step::kStay:
      world.SetLeaving(agent, false);
      break;
    case Step::kRestartEntry:
      world.RestartEntry(entry);
      break;
    case Step::kLogDown:
      world.SetLog(entry, false);
      break;
    case Step::kLogUp:
      world.SetLog(entry, true);
      break;
    case Step::kFaults:
      world.SetFaults(FaultsOf(command.value));
      break;
    case Step::kCutOff:
      world.SetReachable(agent, entry, false);
      break;
    case Step::kReconnect:
      world.SetReachable(agent, entry, true);
      break;
    case Step::kCallerLeaves:
      world.LeaveCall(static_cast<std::size_t>(command.value));
      break;
  }
}

/// Runs random histories and fails when `fault` finds something at the end.
template <typename Fault>
void CheckHistories(const std::string& name, Fault fault) {
  const bool passed = rc::check(name, [&fault] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto commands = *rc::gen::scale(
        3, rc::gen::container<std::vector<Command>>(AnyCommand()));
    World world(kEntries, kAgents, seed);
    world.Advance(200);
    for (const Command& command : commands) {
      Run(world, command);
    }
    world.Heal();
    const std::string found = fault(world);
    if (!found.empty()) {
      RC_FAIL(found);
    }
  });
  CHECK(passed);
}

// Guards against answers of other calls, cut answers and second answers.
TEST_CASE("holds.own_answer: a caller gets its own whole answer, once") {
  CheckHistories("own answer",
                 [](const World& world) { return world.AnswerFault(); });
}

// Guards against "not run" for work that an entry, or a dead entry before it,
// has sent or may still send.
TEST_CASE("holds.not_run_is_true: what is said not to have run has not run") {
  CheckHistories("not run",
                 [](const World& world) { return world.NotRunFault(); });
}

// Guards against a second run of a key by a retry, by an entry that resumes
// after its claim was taken from it, or by a race of entries.
TEST_CASE("holds.at_most_once: a key runs at most once") {
  CheckHistories("at most once",
                 [](const World& world) { return world.TwiceRunFault(); });
}

// Guards against work for an endpoint that the entry knows to be leaving, gone
// or restarted, also when it was chosen before that became known.
TEST_CASE("holds.leaving: nothing is sent to an endpoint known as leaving") {
  CheckHistories("leaving", [](const World& world) -> std::string {
    return world.LeavingFault();
  });
}

// Guards against calls without an answer, claims that stay open for ever and
// replicas that disagree.
TEST_CASE("everything comes to rest once the faults are over") {
  CheckHistories("rest", [](const World& world) { return world.RestFault(); });
}

}  // namespace
}  // namespace carobrill::requests
