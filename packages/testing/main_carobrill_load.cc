// Load generator: sends a bounded number of short requests to entries on the
// loopback address and prints a report as JSON.
#include <getopt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "packages/core/task.h"
#include "packages/http/http_client.h"
#include "packages/testing/load_plan.h"
#include "packages/testing/load_report.h"

namespace carobrill::testing {
namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr int kUsageExit = 2;
constexpr int kUnansweredExit = 1;
// libsoup scans all pending calls whenever one starts or ends, which saturates
// a core once some hundreds wait for a connection. Each client therefore gets
// no more calls than it opens connections to one entry; the others are queued
// here.
constexpr std::size_t kClients = 4;
constexpr std::size_t kCallsPerClient = 120;
// A response may arrive shortly after the deadline of the request.
constexpr std::int64_t kAnswerMarginMs = 5'000;

constexpr const char* kHelp =
    "Usage: carobrill_load --entry URL [OPTION]...\n"
    "  --entry URL              entry on loopback; may be repeated\n"
    "  --service NAME           service (default checks)\n"
    "  --account NAME           client account (default acme)\n"
    "  --rate N                 requests a second (default 100)\n"
    "  --count N                requests (default 1000)\n"
    "  --mix U,N,B              weights of urgent, normal, batch (default "
    "1,1,1)\n"
    "  --non-idempotent PERCENT share of non-idempotent requests (default 0)\n"
    "  --long PERCENT           share of long requests (default 0)\n"
    "  --run-ms MS              run time of short requests (default 20)\n"
    "  --long-run-ms MS         run time of long requests (default 1000)\n"
    "  --deadline-ms MS         deadline of each request (default 30000)\n"
    "  --seed N                 seed of the plan (default 7)\n"
    "Exit codes: 0 all requests were answered, 1 some were not, 2 wrong "
    "usage.\n";

enum Option {
  kEntry = 1,
  kService,
  kAccount,
  kRate,
  kCount,
  kMix,
  kNonIdempotent,
  kLong,
  kRunMs,
  kLongRunMs,
  kDeadlineMs,
  kSeed,
  kHelpOption,
};

constexpr std::array kOptions = {
    option{"entry", required_argument, nullptr, kEntry},
    option{"service", required_argument, nullptr, kService},
    option{"account", required_argument, nullptr, kAccount},
    option{"rate", required_argument, nullptr, kRate},
    option{"count", required_argument, nullptr, kCount},
    option{"mix", required_argument, nullptr, kMix},
    option{"non-idempotent", required_argument, nullptr, kNonIdempotent},
    option{"long", required_argument, nullptr, kLong},
    option{"run-ms", required_argument, nullptr, kRunMs},
    option{"long-run-ms", required_argument, nullptr, kLongRunMs},
    option{"deadline-ms", required_argument, nullptr, kDeadlineMs},
    option{"seed", required_argument, nullptr, kSeed},
    option{"help", no_argument, nullptr, kHelpOption},
    option{nullptr, 0, nullptr, 0},
};

template <typename T>
bool Read(std::string_view text, T& value) {
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  return result.ec == std::errc() && result.ptr == end;
}

bool ReadMix(std::string_view text, std::array<std::uint32_t, 3>& weights) {
  for (std::size_t i = 0; i < weights.size(); ++i) {
    const auto comma = text.find(',');
    const bool last = i + 1 == weights.size();
    if (last != (comma == std::string_view::npos) ||
        !Read(text.substr(0, comma), weights[i])) {
      return false;
    }
    text.remove_prefix(last ? text.size() : comma + 1);
  }
  return true;
}

bool ApplyOption(int found, const std::string& value, LoadSettings& settings) {
  switch (found) {
    case kEntry:
      settings.urls.push_back(value);
      return true;
    case kService:
      settings.service = value;
      return true;
    case kAccount:
      settings.account = value;
      return true;
    case kRate:
      return Read(value, settings.rate_per_second);
    case kCount:
      return Read(value, settings.count);
    case kMix:
      return ReadMix(value, settings.class_weights);
    case kNonIdempotent:
      return Read(value, settings.non_idempotent_percent);
    case kLong:
      return Read(value, settings.long_percent);
    case kRunMs:
      return Read(value, settings.run_ms);
    case kLongRunMs:
      return Read(value, settings.long_run_ms);
    case kDeadlineMs:
      return Read(value, settings.deadline_ms);
    case kSeed:
      return Read(value, settings.seed);
    default:
      return false;
  }
}

/// Parses the command line. Prints a message and returns nothing on failure and
/// for --help.
std::optional<LoadSettings> ReadSettings(int argc, char** argv) {
  LoadSettings settings;
  while (true) {
    const int found = getopt_long(argc, argv, "", kOptions.data(), nullptr);
    if (found == -1) {
      break;
    }
    if (found == kHelpOption) {
      std::fputs(kHelp, stdout);
      return std::nullopt;
    }
    if (!ApplyOption(found, optarg == nullptr ? "" : optarg, settings)) {
      std::fputs(kHelp, stderr);
      return std::nullopt;
    }
  }
  const std::string error = CheckLoad(settings);
  if (!error.empty() || optind < argc) {
    std::fprintf(stderr, "carobrill_load: %s\n",
                 error.empty() ? "unexpected argument" : error.c_str());
    return std::nullopt;
  }
  return settings;
}

/// An HTTP client with its own thread.
struct LoadClient {
  Task task{"load"};
  http::HttpClient client{this->task};
  std::size_t in_flight = 0;
};

/// Sends the requests of a plan and collects the outcomes.
class LoadRun {
 public:
  explicit LoadRun(const LoadSettings& settings)
      : settings(settings), clients(kClients) {}

  json Run() {
    const auto plan = PlanLoad(this->settings);
    const auto start = Clock::now();
    for (const auto& request : plan) {
      const auto due = start + std::chrono::microseconds(request.due_us);
      std::this_thread::sleep_until(due);
      this->Send(request, due);
    }
    std::unique_lock lock(this->mutex);
    this->all_answered.wait(lock,
                            [&] { return this->answered == plan.size(); });
    const std::chrono::duration<double> took = Clock::now() - start;
    json result = {{"seed", this->settings.seed},
                   {"requests", plan.size()},
                   {"rate_per_second", this->settings.rate_per_second},
                   {"took_s", took.count()},
                   {"unanswered", this->unanswered},
                   {"wrong_request", this->duplicate_responses},
                   {"most_in_flight", this->most_in_flight},
                   {"held_back", this->queued_count}};
    result["classes"] = this->report.ToJson();
    return result;
  }

  std::uint64_t Unanswered() const { return this->unanswered; }

 private:
  http::HttpClientRequest MakeCall(const PlannedRequest& request) const {
    json body = {
        {"account", this->settings.account},
        {"class", kLoadClasses.at(request.class_index)},
        {"idempotent", request.idempotent},
        {"deadline_ms", this->settings.deadline_ms},
        {"kind", request.is_long ? "long" : "short"},
        {"expected_run_ms",
         request.is_long ? this->settings.long_run_ms : this->settings.run_ms},
        {"first_attempt", true},
        {"payload", request.name}};
    http::HttpClientRequest call;
    call.method = "POST";
    call.url = this->settings.urls[request.url_index] + "/v1/services/" +
               this->settings.service + "/requests";
    call.body = body.dump();
    call.headers["X-Request-Id"] = request.name;
    if (!request.idempotent) {
      call.headers["Idempotency-Key"] =
          request.name + "-" + std::to_string(this->run_id);
    }
    call.deadline =
        BootClock{}.Now().After(this->settings.deadline_ms + kAnswerMarginMs);
    return call;
  }

  struct DueRequest {
    PlannedRequest request;
    Clock::time_point due;
  };

  /// Sends a request, or queues it until a client has capacity.
  void Send(const PlannedRequest& request, Clock::time_point due) {
    std::unique_lock lock(this->mutex);
    ++this->sent;
    this->most_in_flight =
        std::max(this->most_in_flight, this->sent - this->answered);
    auto& client = *std::min_element(
        this->clients.begin(), this->clients.end(),
        [](const auto& a, const auto& b) { return a.in_flight < b.in_flight; });
    if (client.in_flight >= kCallsPerClient) {
      this->queued.push_back({request, due});
      ++this->queued_count;
      return;
    }
    ++client.in_flight;
    lock.unlock();
    this->SendWith(client, {request, due});
  }

  void SendWith(LoadClient& client, DueRequest due) {
    auto call = this->MakeCall(due.request);
    client.client.Send(std::move(call),
                       [this, &client, due = std::move(due)](auto reply) {
                         this->HandleReply(client, due, reply);
                       });
  }

  void HandleReply(LoadClient& client,
                   const DueRequest& due,
                   const http::HttpClientResult& reply) {
    const std::chrono::duration<double, std::milli> latency =
        Clock::now() - due.due;
    LoadOutcome outcome;
    outcome.class_name = kLoadClasses.at(due.request.class_index);
    outcome.latency_ms = latency.count();
    this->FillOutcome(reply, outcome);
    std::unique_lock lock(this->mutex);
    this->unanswered += outcome.ran == "unanswered" ? 1 : 0;
    this->report.Add(outcome);
    ++this->answered;
    this->all_answered.notify_one();
    if (this->queued.empty()) {
      --client.in_flight;
      return;
    }
    DueRequest next = std::move(this->queued.front());
    this->queued.pop_front();
    lock.unlock();
    this->SendWith(client, std::move(next));
  }

  static std::string StringField(const json& body, const char* field) {
    const auto found = body.find(field);
    return found != body.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
  }

  void FillOutcome(const http::HttpClientResult& reply, LoadOutcome& outcome) {
    outcome.ran = "unanswered";
    if (reply.failure != http::HttpFailure::kNone) {
      outcome.error = NameOf(reply.failure);
      return;
    }
    const json body = json::parse(reply.body, nullptr, false);
    if (!body.is_object() || StringField(body, "ran").empty()) {
      outcome.error = "malformed_answer";
      return;
    }
    outcome.ran = StringField(body, "ran");
    if (!reply.Ok()) {
      const std::string type = StringField(body, "type");
      outcome.error = type.substr(type.rfind(':') + 1);
      return;
    }
    // Two responses with the same request id mean that a response was delivered
    // to two callers.
    const std::lock_guard lock(this->mutex);
    if (!this->request_ids.insert(StringField(body, "request")).second) {
      ++this->duplicate_responses;
    }
  }

  const LoadSettings settings;
  const std::uint64_t run_id = WallClockMicros();
  std::mutex mutex;
  std::condition_variable all_answered;
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t duplicate_responses = 0;
  std::uint64_t most_in_flight = 0;
  std::uint64_t queued_count = 0;
  std::deque<DueRequest> queued;
  std::set<std::string> request_ids;
  LoadReport report;
  std::vector<LoadClient> clients;
};

int Main(int argc, char** argv) {
  const auto settings = ReadSettings(argc, argv);
  if (!settings.has_value()) {
    return kUsageExit;
  }
  LoadRun run(*settings);
  std::printf("%s\n", run.Run().dump(2).c_str());
  return run.Unanswered() == 0 ? 0 : kUnansweredExit;
}

}  // namespace
}  // namespace carobrill::testing

int main(int argc, char** argv) {
  return carobrill::testing::Main(argc, argv);
}
