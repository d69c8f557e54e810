// Fault soak: plays random faults on real processes and checks the rules on
// what runners and clients see. Exits with 1 if a rule was broken, 2 if the
// soak could not run.
#include <pthread.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "tests/soak/checker.h"
#include "tests/soak/client.h"
#include "tests/soak/fault_series.h"
#include "tests/soak/http_connection.h"
#include "tests/soak/options.h"
#include "tests/soak/site.h"

namespace carobrill::soak {
namespace {

enum ExitCode { kHeld = 0, kBroken = 1, kCannotRun = 2 };

constexpr std::size_t kThreadStackBytes = 512 * 1024;
constexpr std::size_t kClients = 12;
/// Mean pause of a client between two calls, times the number of agents. Keeps
/// some accelerators free also while workers are lost.
constexpr std::int64_t kPauseAgentsMs = 120'000;
constexpr std::int64_t kStartLimitMs = 20'000;
constexpr std::int64_t kWarmUpMs = 3'000;
/// After the last fault: late orders arrive, and all jobs have to end.
constexpr std::int64_t kLateOrdersMs = 12'000;
constexpr std::int64_t kFinishMs = 60'000;
constexpr std::int64_t kQueryRoundMs = 500;

std::string MakeFolder(const Options& options) {
  if (!options.folder.empty()) {
    if (!std::filesystem::create_directories(options.folder)) {
      throw std::runtime_error(options.folder + " exists already");
    }
    return std::filesystem::absolute(options.folder).string();
  }
  std::string name =
      (std::filesystem::temp_directory_path() / "carobrill-soak-XXXXXX")
          .string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create " + name);
  }
  return name;
}

// Asks for all accepted jobs at all gateways in turn. Returns those that have
// not ended in time or are not known.
std::vector<Finding> AwaitJobs(FaultSeries& series,
                               Client& client,
                               JobBook& book,
                               std::size_t gateways) {
  std::map<std::string, std::string> states;
  const std::int64_t until = standin::NowMs() + kFinishMs;
  for (std::size_t round = 0; standin::NowMs() < until; ++round) {
    states.clear();
    for (const auto& [id, job] : book.Jobs()) {
      if (job.accepted_ms != 0 && job.cancelled_ms == 0 &&
          !job.shown_ms.contains("completed")) {
        const std::string state = client.Query(round % gateways, job);
        if (state != "completed") {
          states[id] = state;
        }
      }
    }
    if (states.empty()) {
      break;
    }
    series.Wait(kQueryRoundMs);
  }
  std::vector<Finding> findings;
  findings.reserve(states.size());
  for (const auto& [id, state] : states) {
    std::string text = "job ";
    text.append(id).append(" has not completed: ").append(state);
    findings.push_back({"LOST", std::move(text)});
  }
  return findings;
}

void Report(const Options& options,
            const std::string& folder,
            Site& site,
            JobBook& book,
            const FaultSeries& series,
            const Checker& checker,
            const std::vector<Finding>& findings) {
  std::size_t accepted = 0;
  for (const auto& [id, job] : book.Jobs()) {
    accepted += job.accepted_ms != 0 ? 1 : 0;
  }
  std::map<std::string, std::size_t> ends;
  for (const standin::RunSpan& span : site.runs.Spans()) {
    ++ends[span.how.empty() ? "running" : span.how];
  }
  std::printf(
      "seed %llu, %d gateways, %d agents, %lld s: %zu jobs accepted; runs",
      static_cast<unsigned long long>(options.seed), options.gateways,
      options.agents, static_cast<long long>(options.seconds), accepted);
  for (const auto& [how, count] : ends) {
    std::printf(" %s %zu", how.c_str(), count);
  }
  std::printf(
      "; %zu evacuations, %zu starts during them; "
      "%zu lapses ended late by the stand-ins, at most %lld ms; "
      "%zu findings\n",
      series.Evacuations().size(), checker.EvacuatedStarts(),
      checker.LateLapses(), static_cast<long long>(checker.LatestLapseMs()),
      findings.size());
  for (const Finding& finding : findings) {
    std::printf("seed %llu %s: %s\n",
                static_cast<unsigned long long>(options.seed),
                finding.rule.c_str(), finding.text.c_str());
    site.record.Line("finding " + finding.rule + ": " + finding.text);
  }
  if (!findings.empty() || options.keep_logs) {
    std::printf("logs: %s\n", folder.c_str());
  }
  std::fflush(stdout);
}

// Submits schedules that are not due before the soak ends. Returns whether all
// were accepted.
bool SubmitSchedules(Site& site, const Options& options) {
  constexpr std::int64_t kDeadlineMs = 3'000;
  HttpConnection connection(site.gateways.front().front);
  std::mt19937_64 random(options.seed);
  for (int i = 0; i < options.schedules; ++i) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016llx",
                  static_cast<unsigned long long>(random()));
    const standin::Response response =
        connection.Call("POST", kQueues.front().prefix + std::string(id),
                        {{"Host", kHost},
                         {"Authorization", std::string("Bearer ") + kKey},
                         {"Content-Type", "application/json"}},
                        ScheduleBody(), kDeadlineMs);
    if (response.status != 200) {
      return false;
    }
  }
  return true;
}

bool AnyDone(Site& site) {
  for (const standin::RunSpan& span : site.runs.Spans()) {
    if (span.how == "done") {
      return true;
    }
  }
  return false;
}

ExitCode Play(const Options& options, const std::string& folder) {
  standin::Record record(folder + "/record.txt");
  record.Line("began at Unix time " + std::to_string(standin::UnixMs()) +
              " ms, seed " + std::to_string(options.seed));
  Site site(options, folder, record);
  if (!site.Start(kStartLimitMs)) {
    std::fprintf(stderr, "the gateways are not ready; logs: %s\n",
                 folder.c_str());
    return kCannotRun;
  }
  if (!SubmitSchedules(site, options)) {
    std::fprintf(stderr, "a schedule was not accepted; logs: %s\n",
                 folder.c_str());
    return kCannotRun;
  }
  JobBook book(options.wide_percent);
  std::vector<std::unique_ptr<Client>> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<Client>(
        site, book, (options.seed << 8) + i, kPauseAgentsMs / options.agents));
  }
  FaultSeries series(site, options);
  series.Wait(kWarmUpMs);
  series.Play(options.seconds * 1'000);
  for (const auto& client : clients) {
    client->RequestStop();
  }
  series.Wait(kLateOrdersMs);
  for (const auto& client : clients) {
    client->Stop();
  }
  std::vector<Finding> findings =
      AwaitJobs(series, *clients.front(), book, site.gateways.size());
  Checker checker(site, book, series);
  for (Finding& finding : checker.Check()) {
    findings.push_back(std::move(finding));
  }
  for (const std::string& end : series.OwnEnds()) {
    findings.push_back({"FAULT", "ended by itself: " + end});
  }
  Report(options, folder, site, book, series, checker, findings);
  if (!AnyDone(site)) {
    std::fprintf(stderr, "no task was done; logs: %s\n", folder.c_str());
    return kCannotRun;
  }
  return findings.empty() ? kHeld : kBroken;
}

int Run(int argc, char** argv) {
  const auto options = ParseOptions(argc, argv);
  if (!options.has_value()) {
    return kCannotRun;
  }
  // The stand-ins keep a thread for each connection.
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kThreadStackBytes);
  pthread_setattr_default_np(&attributes);
  pthread_attr_destroy(&attributes);
  try {
    const std::string folder = MakeFolder(*options);
    const ExitCode code = Play(*options, folder);
    if (code == kHeld && !options->keep_logs) {
      std::error_code ignored;
      std::filesystem::remove_all(folder, ignored);
    }
    return code;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cannot run: %s\n", error.what());
    return kCannotRun;
  }
}

}  // namespace
}  // namespace carobrill::soak

int main(int argc, char** argv) {
  return carobrill::soak::Run(argc, argv);
}
