#include "packages/cli/explain_command.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace carobrill::cli {
namespace {

using Json = nlohmann::ordered_json;

/// One log line about the job.
struct LogEntry {
  std::int64_t time_ms = 0;
  std::string instance;
  std::string message;
  Json fields;
};

/// Messages that determine the outcome of a job, the most decisive first.
constexpr const char* kOutcomeMessages[] = {
    "task_given_up",  "job_ended", "run_lost",      "task_stalled",
    "task_preempted", "run_ended", "call_answered", "task_assigned"};

// Lines may have a prefix before the JSON object, such as the name of the
// process that wrote them.
std::optional<LogEntry> ParseLogLine(const std::string& job,
                                     const std::string& line) {
  const std::size_t brace = line.find('{');
  if (brace == std::string::npos || line.find(job) == std::string::npos) {
    return std::nullopt;
  }
  const Json fields = Json::parse(line.substr(brace), nullptr, false);
  if (!fields.is_object() || fields.value("job", "") != job) {
    return std::nullopt;
  }
  return LogEntry{fields.value("time_ms", std::int64_t{0}),
                  fields.value("instance", ""), fields.value("message", ""),
                  fields};
}

std::string FormatEntry(const LogEntry& entry, std::int64_t start_ms) {
  std::string text = "+" + std::to_string(entry.time_ms - start_ms) + " ms  " +
                     entry.instance + "  " + entry.message;
  for (const auto& [name, value] : entry.fields.items()) {
    if (name != "time_ms" && name != "instance" && name != "message" &&
        name != "level" && name != "job") {
      text += "  " + name + "=" +
              (value.is_string() ? value.get<std::string>() : value.dump());
    }
  }
  return text + "\n";
}

const LogEntry* FindOutcomeEntry(const std::vector<LogEntry>& entries) {
  for (const char* message : kOutcomeMessages) {
    for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
      if (entry->message == message) {
        return &*entry;
      }
    }
  }
  return nullptr;
}

}  // namespace

std::string JobTimeline(const std::string& job, std::istream& input) {
  std::vector<LogEntry> entries;
  for (std::string line; std::getline(input, line);) {
    if (auto entry = ParseLogLine(job, line)) {
      entries.push_back(std::move(*entry));
    }
  }
  if (entries.empty()) {
    return {};
  }
  std::ranges::stable_sort(entries, {}, &LogEntry::time_ms);
  std::string text;
  for (const LogEntry& entry : entries) {
    text += FormatEntry(entry, entries.front().time_ms);
  }
  if (const LogEntry* outcome_entry = FindOutcomeEntry(entries)) {
    text +=
        "decided by: " + FormatEntry(*outcome_entry, entries.front().time_ms);
  }
  return text;
}

Result<CliExit> ExplainJob(const CommandLine& line) {
  std::string text;
  if (const auto path = line.Value("file")) {
    std::ifstream file(*path);
    if (!file) {
      return Fail(CliError{CliExit::kInput, "cannot read " + *path});
    }
    text = JobTimeline(line.argument, file);
  } else {
    text = JobTimeline(line.argument, std::cin);
  }
  if (text.empty()) {
    return Fail(
        CliError{CliExit::kInput, "no log line mentions job " + line.argument});
  }
  std::fputs(text.c_str(), stdout);
  return CliExit::kOk;
}

}  // namespace carobrill::cli
