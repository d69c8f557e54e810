#include "packages/core/state_chart.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace carobrill::detail {
namespace {

using Json = nlohmann::json;

boost::leaf::error_id Malformed(std::string_view chart, std::string_view name) {
  return Fail(ChartError{ChartErrorKind::kMalformed, std::string(chart),
                         std::string(name)});
}

Result<void> AddTransitions(const std::string& state,
                            const Json& events,
                            ChartSource& source) {
  if (!events.is_object()) {
    return Malformed(source.name, state);
  }
  for (const auto& [event, target] : events.items()) {
    if (!target.is_string()) {
      return Malformed(source.name, event);
    }
    source.transitions.push_back({state, event, target.get<std::string>()});
  }
  return {};
}

}  // namespace

Result<ChartSource> ParseChart(std::string_view name, std::string_view text) {
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false,
                                /*ignore_comments=*/true);
  if (!json.is_object() || !json.contains("initial") ||
      !json["initial"].is_string() || !json.contains("states") ||
      !json["states"].is_object()) {
    return Malformed(name, "initial and states");
  }
  ChartSource source;
  source.name = name;
  source.initial = json["initial"].get<std::string>();
  for (const auto& [state, events] : json["states"].items()) {
    source.states.push_back(state);
    BOOST_LEAF_CHECK(AddTransitions(state, events, source));
  }
  return source;
}

Result<ChartSource> ReadChart(const std::string& directory,
                              std::string_view name) {
  const std::string path = directory + "/" + std::string(name) + ".json";
  std::ifstream file(path);
  if (!file) {
    return Fail(
        ChartError{ChartErrorKind::kUnreadable, std::string(name), path});
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseChart(name, text.str());
}

Result<void> CheckReachable(const ChartSource& source) {
  std::set<std::string> reached{source.initial};
  bool changed = true;
  while (changed) {
    changed = false;
    for (const auto& transition : source.transitions) {
      if (reached.contains(transition.from) &&
          reached.insert(transition.to).second) {
        changed = true;
      }
    }
  }
  for (const auto& state : source.states) {
    if (!reached.contains(state)) {
      return Fail(
          ChartError{ChartErrorKind::kUnreachableState, source.name, state});
    }
  }
  return {};
}

}  // namespace carobrill::detail
