#include "packages/cli/rules_commands.h"

#include <cstdint>
#include <string>
#include <utility>

#include "packages/cli/output.h"

namespace carobrill::cli {
namespace {

using nlohmann::json;

std::string StringField(const json& body, const char* field) {
  const auto found = body.find(field);
  return found != body.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

Result<std::string> BuildRuleRequestBody(const std::string& path, json body) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  body["text"] = std::move(text);
  try {
    return body.dump();
  } catch (const json::type_error&) {
    return Fail(
        CliError{CliExit::kInput, path + ": the file is not valid UTF-8"});
  }
}

/// Sends the rule file of the command line to an entry for validation.
Result<json> CheckRuleFile(const CommandContext& context) {
  ApiRequest request;
  request.method = "POST";
  request.path = "/v1/rules/check";
  BOOST_LEAF_ASSIGN(request.body, BuildRuleRequestBody(context.line.argument,
                                                       json::object()));
  return context.api.Call(request);
}

bool IsValid(const json& check) {
  const auto valid = check.find("valid");
  return valid != check.end() && valid->is_boolean() && valid->get<bool>();
}

std::string FormatFaults(const std::string& path, const json& check) {
  std::string lines;
  const auto faults = check.find("faults");
  if (faults == check.end() || !faults->is_array()) {
    return lines;
  }
  for (const auto& fault : *faults) {
    lines += path + ":" + FormatField(fault, "line") + ": " +
             FormatField(fault, "message") + " [" + FormatField(fault, "kind") +
             "]\n";
  }
  return lines;
}

std::string FormatDiff(const json& check) {
  std::string diff = StringField(check, "diff");
  if (diff.empty()) {
    return "no difference to version " +
           FormatField(check, "version_in_force") + "\n";
  }
  return diff + (diff.ends_with('\n') ? "" : "\n");
}

// Without --base, the base is the version that the printed diff was computed
// against, so that the user overwrites no rules without having seen them.
Result<std::uint64_t> BaseVersion(const CommandContext& context) {
  BOOST_LEAF_AUTO(base, context.line.Integer("base", 0, INT64_MAX));
  if (base.has_value()) {
    return static_cast<std::uint64_t>(*base);
  }
  BOOST_LEAF_AUTO(check, CheckRuleFile(context));
  if (!IsValid(check)) {
    return Fail(CliError{CliExit::kInput,
                         "the rule file has faults\n" +
                             FormatFaults(context.line.argument, check)});
  }
  if (!context.PrintsJson()) {
    context.Print(check, FormatDiff(check));
  }
  const auto version = check.find("version_in_force");
  if (version == check.end() || !version->is_number_unsigned()) {
    return Fail(CliError{CliExit::kInternal,
                         "the response does not give the version in force"});
  }
  return version->get<std::uint64_t>();
}

}  // namespace

Result<CliExit> CheckRules(const CommandContext& context) {
  BOOST_LEAF_AUTO(check, CheckRuleFile(context));
  context.Print(check, IsValid(check)
                           ? context.line.argument + ": the rules are valid\n"
                           : FormatFaults(context.line.argument, check));
  return IsValid(check) ? CliExit::kOk : CliExit::kInput;
}

Result<CliExit> DiffRules(const CommandContext& context) {
  BOOST_LEAF_AUTO(check, CheckRuleFile(context));
  const std::string faults = FormatFaults(context.line.argument, check);
  context.Print(check, faults + FormatDiff(check));
  return IsValid(check) ? CliExit::kOk : CliExit::kInput;
}

// Not retried after it may have been sent: if the first attempt took effect, a
// retry would be reported as a conflict with that attempt.
Result<CliExit> PublishRulesCommand(const CommandContext& context) {
  BOOST_LEAF_AUTO(base, BaseVersion(context));
  ApiRequest request;
  request.method = "POST";
  request.path = "/v1/rules";
  request.retry_policy = RetryPolicy::kOnlyIfNotSent;
  request.mutating = true;
  BOOST_LEAF_ASSIGN(
      request.body,
      BuildRuleRequestBody(
          context.line.argument,
          json{{"base_version", base},
               {"author", context.line.Value("author").value_or(UserName())}}));
  BOOST_LEAF_AUTO(rules, context.api.Call(request));
  context.Print(rules,
                "version " + FormatField(rules, "version") + " is in force\n");
  return CliExit::kOk;
}

Result<CliExit> ShowRules(const CommandContext& context) {
  ApiRequest request;
  request.path = "/v1/rules";
  BOOST_LEAF_AUTO(rules, context.api.Call(request));
  const std::string text = StringField(rules, "text");
  context.Print(rules, "# version " + FormatField(rules, "version") + " by " +
                           FormatField(rules, "author") + "\n" + text +
                           (text.ends_with('\n') ? "" : "\n"));
  return CliExit::kOk;
}

}  // namespace carobrill::cli
