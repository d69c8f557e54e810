#include "packages/cli/rules_commands.h"

#include <cstdint>
#include <string>
#include <utility>

#include "packages/cli/output.h"

namespace carobrill::cli {
namespace {

using nlohmann::json;

std::string TextOf(const json& body, const char* field) {
  const auto found = body.find(field);
  return found != body.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

Result<std::string> RuleBody(const std::string& path, json body) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  body["text"] = std::move(text);
  try {
    return body.dump();
  } catch (const json::type_error&) {
    return Fail(
        CliError{CliExit::kInput, path + ": the file is not valid UTF-8"});
  }
}

/// Has the entry check the file that the command names.
Result<json> Check(const Session& session) {
  ApiCall call;
  call.method = "POST";
  call.path = "/v1/rules/check";
  BOOST_LEAF_ASSIGN(call.body, RuleBody(session.line.argument, json::object()));
  return session.caller.Call(call);
}

bool IsValid(const json& check) {
  const auto valid = check.find("valid");
  return valid != check.end() && valid->is_boolean() && valid->get<bool>();
}

std::string FaultLines(const std::string& path, const json& check) {
  std::string lines;
  const auto faults = check.find("faults");
  if (faults == check.end() || !faults->is_array()) {
    return lines;
  }
  for (const auto& fault : *faults) {
    lines += path + ":" + FieldText(fault, "line") + ": " +
             FieldText(fault, "message") + " [" + FieldText(fault, "kind") +
             "]\n";
  }
  return lines;
}

std::string DiffText(const json& check) {
  std::string diff = TextOf(check, "diff");
  if (diff.empty()) {
    return "no difference to version " + FieldText(check, "version_in_force") +
           "\n";
  }
  return diff + (diff.ends_with('\n') ? "" : "\n");
}

// Without --base, the version is the one that the difference on the screen was
// made against, so that nothing unseen is overwritten.
Result<std::uint64_t> BaseVersion(const Session& session) {
  BOOST_LEAF_AUTO(base, session.line.Integer("base", 0, INT64_MAX));
  if (base.has_value()) {
    return static_cast<std::uint64_t>(*base);
  }
  BOOST_LEAF_AUTO(check, Check(session));
  if (!IsValid(check)) {
    return Fail(CliError{CliExit::kInput,
                         "the rule file has faults\n" +
                             FaultLines(session.line.argument, check)});
  }
  if (!session.Json()) {
    session.Print(check, DiffText(check));
  }
  const auto version = check.find("version_in_force");
  if (version == check.end() || !version->is_number_unsigned()) {
    return Fail(
        CliError{CliExit::kInternal, "the answer names no version in force"});
  }
  return version->get<std::uint64_t>();
}

}  // namespace

Result<CliExit> CheckRules(const Session& session) {
  BOOST_LEAF_AUTO(check, Check(session));
  session.Print(check, IsValid(check)
                           ? session.line.argument + ": the rules are valid\n"
                           : FaultLines(session.line.argument, check));
  return IsValid(check) ? CliExit::kOk : CliExit::kInput;
}

Result<CliExit> DiffRules(const Session& session) {
  BOOST_LEAF_AUTO(check, Check(session));
  const std::string faults = FaultLines(session.line.argument, check);
  session.Print(check, faults + DiffText(check));
  return IsValid(check) ? CliExit::kOk : CliExit::kInput;
}

// A repeat of a publication that took effect unseen would be answered as a
// conflict with itself, so it is not repeated.
Result<CliExit> PublishRules(const Session& session) {
  BOOST_LEAF_AUTO(base, BaseVersion(session));
  ApiCall call;
  call.method = "POST";
  call.path = "/v1/rules";
  call.repeat = Repeat::kOnlyIfNotSent;
  call.changes = true;
  BOOST_LEAF_ASSIGN(
      call.body,
      RuleBody(
          session.line.argument,
          json{{"base_version", base},
               {"author", session.line.Value("author").value_or(UserName())}}));
  BOOST_LEAF_AUTO(rules, session.caller.Call(call));
  session.Print(rules,
                "version " + FieldText(rules, "version") + " is in force\n");
  return CliExit::kOk;
}

Result<CliExit> ShowRules(const Session& session) {
  ApiCall call;
  call.path = "/v1/rules";
  BOOST_LEAF_AUTO(rules, session.caller.Call(call));
  const std::string text = TextOf(rules, "text");
  session.Print(rules, "# version " + FieldText(rules, "version") + " by " +
                           FieldText(rules, "author") + "\n" + text +
                           (text.ends_with('\n') ? "" : "\n"));
  return CliExit::kOk;
}

}  // namespace carobrill::cli
