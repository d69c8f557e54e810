#include "packages/cli/list_commands.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "packages/cli/output.h"

namespace carobrill::cli {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxItems = 1'000'000'000;
constexpr std::int64_t kPageSize = 1000;

struct Column {
  const char* title;
  const char* field;
  FieldFormat format = FieldFormat::kPlain;
};

struct ListDescription {
  std::string_view command;
  const char* path;
  /// Name of the array in the response.
  const char* items;
  /// Query parameters that the command always sends.
  const char* query;
  std::vector<Column> columns;
};

const std::vector<ListDescription>& AllLists() {
  using enum FieldFormat;
  static const std::vector<ListDescription> lists = {
      {"queue",
       "/v1/jobs",
       "jobs",
       "&state=queued",
       {{"JOB", "job"},
        {"ACCOUNT", "account"},
        {"CLASS", "class"},
        {"KIND", "kind"},
        {"PLACE", "queue_position"},
        {"SUBMITTED", "submitted_at_ms", kTime},
        {"WHY IT WAITS", "waiting_reason"}}},
      {"jobs",
       "/v1/jobs",
       "jobs",
       "",
       {{"JOB", "job"},
        {"ACCOUNT", "account"},
        {"CLASS", "class"},
        {"KIND", "kind"},
        {"STATE", "state"},
        {"ATTEMPT", "attempt"},
        {"SUBMITTED", "submitted_at_ms", kTime},
        {"REASON", "reason"}}},
      {"rules history",
       "/v1/rules/history",
       "versions",
       "",
       {{"VERSION", "version"},
        {"PUBLISHED", "published_at_ms", kTime},
        {"AUTHOR", "author"},
        {"DIFFERENCE", "diff"}}},
      {"accounts",
       "/v1/accounts",
       "accounts",
       "",
       {{"ACCOUNT", "account"},
        {"GUARANTEE", "guarantee"},
        {"QUOTA", "quota"},
        {"SHARE", "share"},
        {"GUARANTEED", "used_guaranteed"},
        {"BORROWED", "used_borrowed"},
        {"QUEUED", "jobs_queued"},
        {"RUNNING", "jobs_running"},
        {"AT RISK", "at_risk"},
        {"REASON", "at_risk_reason"}}},
      {"workers",
       "/v1/workers",
       "workers",
       "",
       {{"WORKER", "worker"},
        {"STATE", "state"},
        {"RACK", "rack"},
        {"DOMAIN", "failure_domain"},
        {"REGION", "region"},
        {"ACCELERATORS", "accelerators"},
        {"USED", "accelerators_used"},
        {"CORES", "cores"},
        {"MEMORY MIB", "memory_mb"},
        {"REASON", "reason"}}},
      {"endpoints",
       "/v1/endpoints",
       "endpoints",
       "",
       {{"ENDPOINT", "endpoint"},
        {"SERVICE", "service"},
        {"PARTNER", "partner"},
        {"STATE", "state"},
        {"DOMAIN", "failure_domain"},
        {"SLOTS", "slots"},
        {"USED", "slots_used"},
        {"CONNECTIONS", "connections"},
        {"USED", "connections_used"},
        {"HEARD AGO", "heard_ms_ago", kMilliseconds}}},
      {"instances",
       "/v1/instances",
       "instances",
       "",
       {{"INSTANCE", "instance"},
        {"ROLE", "role"},
        {"STATE", "state"},
        {"PLANNER", "planner"},
        {"ADDRESS", "address"},
        {"DOMAIN", "failure_domain"},
        {"REGION", "region"},
        {"OFFSET", "applied_offset"},
        {"RULES", "rules_version"},
        {"HEARD AGO", "heard_ms_ago", kMilliseconds}}},
      {"audit",
       "/v1/audit",
       "changes",
       "",
       {{"OFFSET", "offset"},
        {"TIME", "appended_at_ms", kTime},
        {"ACTOR", "actor"},
        {"INSTANCE", "instance"},
        {"CHANGE", "change"},
        {"SUBJECT", "subject"},
        {"VERDICT", "verdict"}}},
  };
  return lists;
}

std::string FilterQuery(const CommandLine& line) {
  std::string filter;
  for (const char* option : {"account", "class", "state"}) {
    if (const auto value = line.Value(option)) {
      filter += "&" + std::string(option) + "=" + PercentEncode(*value);
    }
  }
  return filter;
}

std::string NextCursor(const json& page) {
  const auto next = page.find("next");
  return next != page.end() && next->is_string() ? next->get<std::string>()
                                                 : std::string();
}

// Fetches pages until the end of the list or until --limit items are read.
Result<json> FetchAll(const CommandContext& context,
                      const ListDescription& list) {
  BOOST_LEAF_AUTO(limit, context.line.Integer("limit", 1, kMaxItems));
  std::int64_t remaining = limit.value_or(kMaxItems);
  const std::string filter = list.query + FilterQuery(context.line);
  json items = json::array();
  std::string cursor;
  Progress progress;
  do {
    ApiRequest request;
    request.path = std::string(list.path) +
                   "?limit=" + std::to_string(std::min(remaining, kPageSize)) +
                   filter;
    request.path += cursor.empty() ? "" : "&after=" + PercentEncode(cursor);
    BOOST_LEAF_AUTO(page, context.api.Call(request));
    const auto found = page.find(list.items);
    if (found == page.end() || !found->is_array()) {
      return Fail(CliError{
          CliExit::kInternal,
          std::string("the response has no list '") + list.items + "'"});
    }
    const std::string next = NextCursor(page);
    if (next == cursor && !next.empty()) {
      return Fail(CliError{CliExit::kInternal,
                           "the server returned the same page twice"});
    }
    cursor = next;
    items.insert(items.end(), found->begin(), found->end());
    remaining -= static_cast<std::int64_t>(found->size());
    progress.Show(std::to_string(items.size()) + " " + list.items);
  } while (!cursor.empty() && remaining > 0);
  return items;
}

Result<CliExit> RunList(const CommandContext& context,
                        const ListDescription& list) {
  BOOST_LEAF_AUTO(items, FetchAll(context, list));
  std::vector<std::string> header;
  for (const auto& column : list.columns) {
    header.emplace_back(column.title);
  }
  TextTable table(std::move(header));
  for (const auto& item : items) {
    std::vector<std::string> row;
    for (const auto& column : list.columns) {
      row.push_back(FormatField(item, column.field, column.format));
    }
    table.Add(std::move(row));
  }
  context.Print(json{{list.items, items}}, table.Render());
  return CliExit::kOk;
}

}  // namespace

std::optional<Result<CliExit>> RunListCommand(std::string_view command,
                                              const CommandContext& context) {
  for (const auto& list : AllLists()) {
    if (list.command == command) {
      return RunList(context, list);
    }
  }
  return std::nullopt;
}

}  // namespace carobrill::cli
