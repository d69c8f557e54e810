#include "packages/core/state_chart.h"

#include <doctest/doctest.h>

namespace carobrill {
namespace {

enum class Light { kRed, kGreen };
enum class Signal { kGo, kStop };

constexpr auto NamesOf(Light) {
  return MakeNameTable<Light>({{Light::kRed, "red"}, {Light::kGreen, "green"}});
}

constexpr auto NamesOf(Signal) {
  return MakeNameTable<Signal>({{Signal::kGo, "go"}, {Signal::kStop, "stop"}});
}

using LightChart = StateChart<Light, Signal>;

ChartErrorKind KindOf(std::string_view text) {
  const auto error =
      ErrorFrom<ChartError>([&] { return LightChart::Parse("light", text); });
  REQUIRE(error.has_value());
  return error->kind;
}

TEST_CASE("a chart allows exactly the listed transitions") {
  const auto chart = LightChart::Parse("light", R"({"initial": "red", // comment
        "states": {"red": {"go": "green"}, "green": {"stop": "red"}}})");
  REQUIRE(chart.has_value());
  CHECK(chart->Initial() == Light::kRed);
  CHECK(chart->Next(Light::kRed, Signal::kGo) == Light::kGreen);
  CHECK_FALSE(chart->Next(Light::kRed, Signal::kStop).has_value());
}

TEST_CASE("an invalid chart is rejected with the kind of error") {
  CHECK(KindOf("{") == ChartErrorKind::kMalformed);
  CHECK(KindOf(R"({"initial":"red","states":{"red":{"go":"blue"}}})") ==
        ChartErrorKind::kMissingState);
  CHECK(KindOf(
            R"({"initial":"red","states":{"red":{"go":"blue"},"green":{}}})") ==
        ChartErrorKind::kUnknownState);
  CHECK(
      KindOf(
          R"({"initial":"red","states":{"red":{"run":"green"},"green":{}}})") ==
      ChartErrorKind::kUnknownEvent);
  CHECK(
      KindOf(
          R"({"initial":"red","states":{"red":{"go":"green"},"green":{}}})") ==
      ChartErrorKind::kMissingEvent);
  CHECK(KindOf(R"({"initial":"red","states":{"red":{"go":"red","stop":"red"},
      "green":{}}})") == ChartErrorKind::kUnreachableState);
}

}  // namespace
}  // namespace carobrill
