#include "packages/cli/explain_command.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <vector>

namespace carobrill::cli {
namespace {

using Json = nlohmann::ordered_json;

/// One log line.
struct LogEntry {
  std::int64_t time_ms = 0;
  std::string instance;
  std::string message;
  Json fields;
};

/// Messages that determine the outcome of a job, the most decisive first.
constexpr const char* kOutcomeMessages[] = {
    "task_given_up", "job_ended",      "run_lost",
    "task_stalled",  "task_preempted", "start_withdrawn",
    "run_ended",     "call_answered",  "task_assigned"};

constexpr const char* kEvacuated = "domain_evacuated";
constexpr const char* kRestored = "domain_restored";

bool IsAboutDomain(const LogEntry& entry) {
  return entry.message == kEvacuated || entry.message == kRestored;
}

// Lines may have a prefix before the JSON object, such as the name of the
// process that wrote them.
std::optional<LogEntry> ParseLogLine(const std::string& job,
                                     const std::string& line) {
  const std::size_t brace = line.find('{');
  const bool relevant = line.find(job) != std::string::npos ||
                        line.find(kEvacuated) != std::string::npos ||
                        line.find(kRestored) != std::string::npos;
  if (brace == std::string::npos || !relevant) {
    return std::nullopt;
  }
  const Json fields = Json::parse(line.substr(brace), nullptr, false);
  if (!fields.is_object()) {
    return std::nullopt;
  }
  LogEntry entry{fields.value("time_ms", std::int64_t{0}),
                 fields.value("instance", ""), fields.value("message", ""),
                 fields};
  if (fields.value("job", "") != job && !IsAboutDomain(entry)) {
    return std::nullopt;
  }
  return entry;
}

// The time after which the job waited no more: its last assignment, if nothing
// followed that returned a task to the queue.
std::int64_t EndOfWait(const std::vector<LogEntry>& entries) {
  std::int64_t last_assigned_ms = entries.front().time_ms;
  for (const LogEntry& entry : entries) {
    if (entry.message == "task_assigned") {
      last_assigned_ms = entry.time_ms;
    }
  }
  const std::string& last = entries.back().message;
  return last == "task_assigned" || last == "job_ended"
             ? last_assigned_ms
             : std::numeric_limits<std::int64_t>::max();
}

// Every gateway writes a line for each change that it reads, at a time of its
// own. Returns the lines that change the state of their domain, and leaves out
// those of gateways that have read older records.
std::vector<LogEntry> DomainChanges(std::vector<LogEntry> entries) {
  struct Domain {
    std::string state;
    std::uint64_t offset = 0;
  };
  std::map<std::string, Domain> domains;
  std::erase_if(entries, [&](const LogEntry& entry) {
    Domain& domain = domains[entry.fields.value("domain", "")];
    std::uint64_t offset = 0;
    std::istringstream(entry.fields.value("offset", "0")) >> offset;
    const std::string known =
        domain.state.empty() ? std::string(kRestored) : domain.state;
    if (entry.message == known || offset < domain.offset) {
      return true;
    }
    domain = {entry.message, offset};
    return false;
  });
  return entries;
}

// Returns the changes of the domains that were evacuated while the job waited.
std::vector<LogEntry> ChangesDuringWait(const std::vector<LogEntry>& changes,
                                        std::int64_t from_ms,
                                        std::int64_t until_ms) {
  std::vector<LogEntry> result;
  for (auto change = changes.begin(); change != changes.end(); ++change) {
    if (change->message != kEvacuated || change->time_ms > until_ms) {
      continue;
    }
    const auto restored =
        std::find_if(change, changes.end(), [&](const LogEntry& other) {
          return other.message == kRestored &&
                 other.fields.value("domain", "") ==
                     change->fields.value("domain", "");
        });
    if (restored != changes.end() && restored->time_ms < from_ms) {
      continue;
    }
    result.push_back(*change);
    if (restored != changes.end()) {
      result.push_back(*restored);
    }
  }
  return result;
}

std::string FormatEntry(const LogEntry& entry, std::int64_t start_ms) {
  const std::int64_t since_ms = entry.time_ms - start_ms;
  std::string text = (since_ms < 0 ? "" : "+") + std::to_string(since_ms) +
                     " ms  " + entry.instance + "  " + entry.message;
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
  std::vector<LogEntry> domain_entries;
  for (std::string line; std::getline(input, line);) {
    if (auto entry = ParseLogLine(job, line)) {
      auto& list = IsAboutDomain(*entry) ? domain_entries : entries;
      list.push_back(std::move(*entry));
    }
  }
  if (entries.empty()) {
    return {};
  }
  std::ranges::stable_sort(entries, {}, &LogEntry::time_ms);
  std::ranges::stable_sort(domain_entries, {}, &LogEntry::time_ms);
  const std::int64_t start_ms = entries.front().time_ms;
  const auto changes = ChangesDuringWait(
      DomainChanges(std::move(domain_entries)), start_ms, EndOfWait(entries));
  entries.insert(entries.end(), changes.begin(), changes.end());
  std::ranges::stable_sort(entries, {}, &LogEntry::time_ms);
  std::string text;
  for (const LogEntry& entry : entries) {
    text += FormatEntry(entry, start_ms);
  }
  if (const LogEntry* outcome_entry = FindOutcomeEntry(entries)) {
    text += "decided by: " + FormatEntry(*outcome_entry, start_ms);
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
