#include "tests/soak/client.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace carobrill::soak {
namespace {

constexpr std::int64_t kDeadlineMs = 3'000;
constexpr int kAttempts = 5;
constexpr std::int64_t kRetryMs = 300;
/// Only the newest jobs are asked for.
constexpr std::size_t kRecentJobs = 30;

}  // namespace

Client::Client(Site& site,
               JobBook& book,
               std::uint64_t seed,
               std::int64_t pause_ms)
    : site(site), book(book), random(seed), pause_ms(pause_ms) {
  for (const GatewayNode& gateway : site.gateways) {
    this->connections.push_back(
        std::make_unique<HttpConnection>(gateway.front));
  }
  this->thread = std::thread([this] { this->Run(); });
}

Client::~Client() {
  this->Stop();
}

void Client::RequestStop() {
  this->stopping = true;
}

void Client::Stop() {
  this->RequestStop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void Client::Run() {
  while (!this->stopping) {
    if (this->jobs.empty() || this->Chance(0.4)) {
      this->Submit();
    } else {
      const std::size_t recent = std::min(this->jobs.size(), kRecentJobs);
      const JobEntry& job =
          this->jobs[this->jobs.size() - 1 - this->random() % recent];
      if (this->Chance(0.06)) {
        this->Cancel(job);
      } else if (this->Chance(0.06)) {
        this->Post(job);
      } else {
        this->Query(this->AnyGateway(), job);
      }
    }
    this->Pause(
        this->pause_ms / 2 +
        static_cast<std::int64_t>(this->random() %
                                  static_cast<std::uint64_t>(this->pause_ms)));
  }
}

void Client::Pause(std::int64_t ms) {
  constexpr std::int64_t kSliceMs = 50;
  const std::int64_t until = standin::NowMs() + ms;
  while (!this->stopping && standin::NowMs() < until) {
    standin::SleepMs(kSliceMs);
  }
}

void Client::Submit() {
  const JobEntry job = this->book.Create(this->random);
  this->jobs.push_back(job);
  this->Post(job);
}

void Client::Post(const JobEntry& job) {
  for (int i = 0; i < kAttempts && !this->stopping; ++i) {
    const int status =
        this->Call(this->AnyGateway(), "POST", job, SubmissionBody(job)).status;
    this->book.OnSubmitted(job.id, status);
    if (status >= 200 && status < 300) {
      return;
    }
    this->Pause(kRetryMs);
  }
}

void Client::Cancel(const JobEntry& job) {
  this->book.OnCancelSent(job.id);
  this->Call(this->AnyGateway(), "DELETE", job, "");
}

std::string Client::Query(std::size_t gateway, const JobEntry& job) {
  const standin::Response response = this->Call(gateway, "GET", job, "");
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  std::string state = response.status == 200 && body.is_object()
                          ? body.value("state", std::string())
                          : std::to_string(response.status);
  this->book.OnState(job.id, gateway, response.status, state);
  return state;
}

standin::Response Client::Call(std::size_t gateway,
                               const std::string& method,
                               const JobEntry& job,
                               const std::string& body) {
  standin::Response response = this->connections[gateway]->Call(
      method, job.prefix + job.id,
      {{"Host", kHost},
       {"Authorization", std::string("Bearer ") + kKey},
       {"Deadline-Ms", std::to_string(kDeadlineMs)},
       {"Content-Type", "application/json"}},
      body, kDeadlineMs);
  this->site.record.Line("client " + method + " " + job.id + " at gateway-" +
                         std::to_string(gateway) + ": " +
                         std::to_string(response.status) + " " + response.body);
  return response;
}

std::size_t Client::AnyGateway() {
  return this->random() % this->connections.size();
}

bool Client::Chance(double share) {
  return std::uniform_real_distribution<>(0, 1)(this->random) < share;
}

}  // namespace carobrill::soak
