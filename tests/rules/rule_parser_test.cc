#include "packages/rules/rule_parser.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

namespace carobrill::rules {
namespace {

using Kind = RuleErrorKind;

constexpr std::string_view kFile =
    "# rules of deployment A\n"
    "\n"
    "account alpha guarantee=2x8@worker,1@rack quota=48 share=3 "
    "# asked by: A. Mensah\n"
    "account beta\t# asked by: B\r\n"
    "service check partner=p1 short_ms=250 short_slots=3 # asked by: C\n"
    "hardware racks=4 workers_per_rack=3 accelerators=8 # asked by: D\n"
    "withdraw partner=p2 # asked by: E\n"
    "drain worker=w-1 # asked by: F\n"
    "drain endpoint=e.1 # asked by: G";

// A rule must not be parsed into the wrong field or dropped.
TEST_CASE("holds.rules: every kind of rule is parsed into its field") {
  const ParsedRules parsed = ParseRules(kFile);
  REQUIRE(parsed.errors.empty());
  const AccountRule alpha{
      {{2, 8, CellLevel::kWorker}, {1, 0, CellLevel::kRack}},
      48,
      3,
      "A. Mensah"};
  CHECK(parsed.rules.accounts.at(AccountId("alpha")) == alpha);
  CHECK(parsed.rules.accounts.at(AccountId("beta")) ==
        AccountRule{{}, std::nullopt, 1, "B"});
  CHECK(parsed.rules.services.at(ServiceId("check")) ==
        ServiceRule{"p1", 250, 3, "C"});
  CHECK(parsed.rules.hardware == HardwareRule{4, 3, 8});
  CHECK(parsed.rules.withdrawn_partners == std::set<std::string>{"p2"});
  CHECK(parsed.rules.drained_workers == std::set{WorkerId("w-1")});
  CHECK(parsed.rules.drained_endpoints == std::set{EndpointId("e.1")});
}

struct FaultCase {
  std::string line;
  Kind kind;
  std::uint32_t column;
};

// An invalid rule file must not be accepted, and an error must point to the
// right position.
TEST_CASE("holds.rules: each error has its kind and column") {
  const std::string asked_by = " # asked by: A";
  const std::vector<FaultCase> cases = {
      {"account a", Kind::kMissingAskedBy, 10},
      {"account a # because", Kind::kMissingAskedBy, 11},
      {"account a # asked by: ", Kind::kMissingAskedBy, 11},
      {"acount a" + asked_by, Kind::kUnknownKeyword, 1},
      {"account a quotas=1" + asked_by, Kind::kUnknownKey, 11},
      {"account a partner=p" + asked_by, Kind::kUnknownKey, 11},
      {"account a b" + asked_by, Kind::kUnknownKey, 11},
      {"account" + asked_by, Kind::kMissingName, 8},
      {"account quota=1" + asked_by, Kind::kMissingName, 9},
      {"account a/b" + asked_by, Kind::kInvalidName, 9},
      {"withdraw partner=a,b" + asked_by, Kind::kInvalidName, 18},
      {"withdraw" + asked_by, Kind::kMissingKey, 9},
      {"drain" + asked_by, Kind::kMissingKey, 6},
      {"hardware racks=1 accelerators=8" + asked_by, Kind::kMissingKey, 32},
      {"account a quota=" + asked_by, Kind::kMissingValue, 17},
      {"account a quota" + asked_by, Kind::kMissingValue, 16},
      {"account a quota=1 quota=2" + asked_by, Kind::kDuplicateKey, 19},
      {"drain worker=w endpoint=e" + asked_by, Kind::kConflictingKeys, 1},
      {"account a quota=1x" + asked_by, Kind::kNotANumber, 17},
      {"account a quota=-1" + asked_by, Kind::kNotANumber, 17},
      {"account a share=0" + asked_by, Kind::kOutOfRange, 17},
      {"account a quota=99999999999999999999" + asked_by, Kind::kOutOfRange,
       17},
      {"account a guarantee=2x3@worker" + asked_by, Kind::kNotAPowerOfTwo, 23},
      {"account a guarantee=0x2@worker" + asked_by, Kind::kOutOfRange, 21},
      {"hardware racks=1 workers_per_rack=1 accelerators=6" + asked_by,
       Kind::kNotAPowerOfTwo, 50},
      {"account a guarantee=1x2@worker," + asked_by, Kind::kMalformedCells, 32},
      {"account a guarantee=2@worker" + asked_by, Kind::kMalformedCells, 21},
      {"account a guarantee=2x8@rack" + asked_by, Kind::kMalformedCells, 21},
      {"account a guarantee=2x8" + asked_by, Kind::kMalformedCells, 21},
      {"account a guarantee=2x8@room" + asked_by, Kind::kUnknownLevel, 25},
      {"account a guarantee=2x8@worker quota=15" + asked_by,
       Kind::kQuotaBelowGuarantee, 38},
      {"account a \x01" + asked_by, Kind::kInvalidCharacter, 11},
      {"account a \x7f" + asked_by, Kind::kInvalidCharacter, 11},
      {"account a # asked by: \xff", Kind::kInvalidCharacter, 23},
      {std::string(kMaxRuleLineBytes + 1, '#'), Kind::kLineTooLong,
       kMaxRuleLineBytes + 1},
  };
  for (const auto& fault : cases) {
    CAPTURE(fault.line);
    const auto errors = ParseRules("\n" + fault.line + "\n").errors;
    REQUIRE(errors.size() == 1);
    CHECK(NameOf(errors[0].kind) == NameOf(fault.kind));
    CHECK(errors[0].line == 2);
    CHECK(errors[0].column == fault.column);
  }
  const auto large = ParseRules(std::string(kMaxRuleFileBytes + 1, '\n'));
  REQUIRE(large.errors.size() == 1);
  CHECK(large.errors[0].kind == Kind::kFileTooLarge);
}

// An operator must not need one publication per error to find them all.
TEST_CASE("holds.rules: all errors of a file are reported at once") {
  const auto errors = ParseRules(
                          "account a quota=x share=0\n"
                          "account a # asked by: A\n"
                          "drain worker=w # asked by: A\n"
                          "drain worker=w # asked by: A\n"
                          "hardware racks=1 workers_per_rack=1 accelerators=1 "
                          "# asked by: A\n"
                          "hardware racks=1 workers_per_rack=1 accelerators=1 "
                          "# asked by: A\n")
                          .errors;
  const std::vector<RuleError> expected = {
      {Kind::kNotANumber, 1, 17, "x"},
      {Kind::kOutOfRange, 1, 25, "0"},
      {Kind::kMissingAskedBy, 1, 26, ""},
      {Kind::kDuplicateRule, 2, 9, "a"},
      {Kind::kDuplicateRule, 4, 14, "w"},
      {Kind::kDuplicateRule, 6, 1, "hardware"},
  };
  CHECK(errors == expected);
}

// Arbitrary text must not crash the parser or cause an endless loop.
TEST_CASE("holds.rules: arbitrary text is parsed without a crash") {
  const bool passed = rc::check([] {
    const auto words = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>(
            "account", "service", "hardware", "withdraw", "drain", "a", "=",
            "guarantee=", "2x8@worker", "1@rack", "quota=4", ",", "@", "x", "#",
            "asked by: A", "\n", " ", "\t", "\r", "\xc3", "\x01", "9"));
    std::string text;
    for (const auto& word : words) {
      text += word;
    }
    const ParsedRules parsed = ParseRules(text);
    for (const auto& error : parsed.errors) {
      RC_ASSERT(error.line >= 1u);
      RC_ASSERT(error.column >= 1u);
    }
  });
  CHECK(passed);
}

}  // namespace
}  // namespace carobrill::rules
