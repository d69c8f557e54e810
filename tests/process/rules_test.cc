#include <doctest/doctest.h>

#include <string>

#include "tests/process/deployment.h"

namespace carobrill::process {
namespace {

// Limit for a rule file to take effect at all entries (docs/design.md,
// section 1.1).
constexpr std::int64_t kInForceLimitMs = 7'000;
constexpr std::int64_t kReadyLimitMs = 10'000;
constexpr int kEntries = 3;

std::string RulesWithShare(int share) {
  return Deployment::Rules() +
         "account dealers quota=8 share=" + std::to_string(share) +
         "   # asked by: K. Boateng\n";
}

bool InForceEverywhere(Deployment& deployment,
                       int version,
                       const std::string& text) {
  for (int i = 0; i < kEntries; ++i) {
    const auto rules = deployment.Get(i, "/v1/rules");
    if (!rules.is_object() || rules.value("version", 0) != version ||
        rules.value("text", "") != text) {
      return false;
    }
  }
  return true;
}

TEST_CASE("holds.rules: two operators publish on the same version") {
  // Guards against two versions in force at the same time, against an edit that
  // is lost silently, and against a restart that reverts to an older version.
  Deployment deployment({kEntries, 0, 0});
  int version = 1;
  std::string text;
  for (int round = 0; round < 3; ++round) {
    const std::string texts[] = {RulesWithShare(2 + 2 * round),
                                 RulesWithShare(3 + 2 * round)};
    auto first = deployment.Publish(0, version, "A. Mensah", texts[0]);
    auto second = deployment.Publish(1, version, "K. Boateng", texts[1]);
    const http::HttpClientResult replies[] = {first.get(), second.get()};
    CAPTURE(replies[0].body);
    CAPTURE(replies[1].body);
    REQUIRE(replies[0].Ok() != replies[1].Ok());
    const int winner = replies[0].Ok() ? 0 : 1;
    const auto& rejected = replies[1 - winner];
    CHECK(rejected.status == 409);
    const auto problem = nlohmann::json::parse(rejected.body, nullptr, false);
    REQUIRE(problem.is_object());
    CHECK(problem.value("type", "") == "urn:carobrill:error:rules_conflict");
    CHECK(problem.value("diff", "").find("share=") != std::string::npos);
    ++version;
    text = texts[winner];
    CHECK(
        WaitUntil([&] { return InForceEverywhere(deployment, version, text); },
                  kInForceLimitMs));
  }
  for (int i = 0; i < kEntries; ++i) {
    deployment.Entry(i).Kill();
  }
  for (int i = 0; i < kEntries; ++i) {
    deployment.RestartEntry(i);
  }
  // No entry may report an older version while it recovers.
  bool version_decreased = false;
  CHECK(WaitUntil(
      [&] {
        for (int i = 0; i < kEntries; ++i) {
          const auto rules = deployment.Get(i, "/v1/rules");
          version_decreased =
              version_decreased ||
              (rules.is_object() && rules.value("version", 0) < version);
        }
        return InForceEverywhere(deployment, version, text);
      },
      kReadyLimitMs));
  CHECK_FALSE(version_decreased);
}

}  // namespace
}  // namespace carobrill::process
