#ifndef PACKAGES_CORE_STATE_CHART_H_
#define PACKAGES_CORE_STATE_CHART_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "packages/core/name_table.h"
#include "packages/core/result.h"

namespace carobrill {

/// Why a state chart was rejected.
enum class ChartErrorKind {
  kUnreadable,
  kMalformed,
  kUnknownState,
  kUnknownEvent,
  kMissingState,
  kMissingEvent,
  kUnreachableState,
};

constexpr auto NamesOf(ChartErrorKind) {
  return MakeNameTable<ChartErrorKind>({
      {ChartErrorKind::kUnreadable, "unreadable"},
      {ChartErrorKind::kMalformed, "malformed"},
      {ChartErrorKind::kUnknownState, "unknown_state"},
      {ChartErrorKind::kUnknownEvent, "unknown_event"},
      {ChartErrorKind::kMissingState, "missing_state"},
      {ChartErrorKind::kMissingEvent, "missing_event"},
      {ChartErrorKind::kUnreachableState, "unreachable_state"},
  });
}

/// An error in a chart file; `name` is the state, event or file that it is
/// about.
struct ChartError {
  ChartErrorKind kind = ChartErrorKind::kMalformed;
  std::string chart;
  std::string name;
};

namespace detail {

/// A parsed chart file, before its names are mapped to enum values.
struct ChartSource {
  struct Transition {
    std::string from;
    std::string event;
    std::string to;
  };
  std::string name;
  std::string initial;
  std::vector<std::string> states;
  std::vector<Transition> transitions;
};

Result<ChartSource> ParseChart(std::string_view name, std::string_view text);
Result<ChartSource> ReadChart(const std::string& directory,
                              std::string_view name);
Result<void> CheckReachable(const ChartSource& source);

}  // namespace detail

/// A finite state machine read from a JSON file:
///   {"initial": "a", "states": {"a": {"event": "b"}, "b": {}}}
/// The file must list exactly the states of `State` and use every event of
/// `Event`, and every state must be reachable from the initial one.
template <NamedEnum State, NamedEnum Event>
class StateChart {
 public:
  /// Reads `directory`/`name`.json.
  static Result<StateChart> Load(const std::string& directory,
                                 std::string_view name) {
    BOOST_LEAF_AUTO(source, detail::ReadChart(directory, name));
    return Bind(source);
  }

  /// Parses a chart from `text`; `name` is used in errors.
  static Result<StateChart> Parse(std::string_view name,
                                  std::string_view text) {
    BOOST_LEAF_AUTO(source, detail::ParseChart(name, text));
    return Bind(source);
  }

  /// Returns the initial state.
  State Initial() const { return this->initial; }

  /// Returns the state that follows `event` in `state`, or nothing when the
  /// event is not allowed there.
  std::optional<State> Next(State state, Event event) const {
    return this->next[Index(state)][Index(event)];
  }

  /// True when no event is allowed in `state`.
  bool IsFinal(State state) const {
    for (const auto& target : this->next[Index(state)]) {
      if (target.has_value()) {
        return false;
      }
    }
    return true;
  }

 private:
  static constexpr std::size_t kStates = NamesOf(State{}).entries.size();
  static constexpr std::size_t kEvents = NamesOf(Event{}).entries.size();

  // Enum values start at zero and are contiguous, so they serve as indexes.
  template <typename Enum>
  static std::size_t Index(Enum value) {
    return static_cast<std::size_t>(value);
  }

  static Result<State> StateNamed(const detail::ChartSource& source,
                                  const std::string& name) {
    if (const auto state = FindByName<State>(name)) {
      return *state;
    }
    return Fail(ChartError{ChartErrorKind::kUnknownState, source.name, name});
  }

  static Result<Event> EventNamed(const detail::ChartSource& source,
                                  const std::string& name) {
    if (const auto event = FindByName<Event>(name)) {
      return *event;
    }
    return Fail(ChartError{ChartErrorKind::kUnknownEvent, source.name, name});
  }

  static Result<StateChart> Bind(const detail::ChartSource& source) {
    StateChart chart;
    BOOST_LEAF_ASSIGN(chart.initial, StateNamed(source, source.initial));
    BOOST_LEAF_CHECK(CheckStates(source));
    std::vector<bool> used(kEvents, false);
    for (const auto& transition : source.transitions) {
      BOOST_LEAF_AUTO(from, StateNamed(source, transition.from));
      BOOST_LEAF_AUTO(event, EventNamed(source, transition.event));
      BOOST_LEAF_AUTO(to, StateNamed(source, transition.to));
      chart.next[Index(from)][Index(event)] = to;
      used[Index(event)] = true;
    }
    BOOST_LEAF_CHECK(CheckEvents(source, used));
    BOOST_LEAF_CHECK(detail::CheckReachable(source));
    return chart;
  }

  static Result<void> CheckStates(const detail::ChartSource& source) {
    for (const auto& name : source.states) {
      BOOST_LEAF_CHECK(StateNamed(source, name));
    }
    for (const auto& [state, name] : NamesOf(State{}).entries) {
      bool found = false;
      for (const auto& listed : source.states) {
        found = found || listed == name;
      }
      if (!found) {
        return Fail(ChartError{ChartErrorKind::kMissingState, source.name,
                               std::string(name)});
      }
    }
    return {};
  }

  static Result<void> CheckEvents(const detail::ChartSource& source,
                                  const std::vector<bool>& used) {
    for (const auto& [event, name] : NamesOf(Event{}).entries) {
      if (!used[Index(event)]) {
        return Fail(ChartError{ChartErrorKind::kMissingEvent, source.name,
                               std::string(name)});
      }
    }
    return {};
  }

  State initial{};
  std::array<std::array<std::optional<State>, kEvents>, kStates> next{};
};

}  // namespace carobrill

#endif  // PACKAGES_CORE_STATE_CHART_H_
