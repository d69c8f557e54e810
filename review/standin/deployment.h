// Starts the project's programs as separate processes, as the deploy file does.
#ifndef REVIEW_STANDIN_DEPLOYMENT_H_
#define REVIEW_STANDIN_DEPLOYMENT_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"
#include "runner.h"
#include "store.h"

namespace standin {

// One process of the product; ends with this object.
class Process {
 public:
  Process(std::string name,
          std::string program,
          std::string settings,
          std::string output,
          Record& record)
      : name(std::move(name)),
        program(std::move(program)),
        settings(std::move(settings)),
        output(std::move(output)),
        record(record) {
    this->Start();
  }
  ~Process() {
    if (this->pid > 0) {
      kill(this->pid, SIGCONT);
      this->End(SIGKILL);
    }
  }

  void Start() {
    this->pid = fork();
    if (this->pid == 0) {
      // Ends with the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out =
          open(this->output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      execl(this->program.c_str(), this->program.c_str(), "--settings",
            this->settings.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    this->record.Line(this->name + " is started");
  }
  void Signal(int number) {
    this->record.Line(this->name + " gets signal " + std::to_string(number));
    kill(this->pid, number);
  }
  // Ends the process and waits for its end.
  void End(int number) {
    this->Signal(number);
    int status = 0;
    waitpid(this->pid, &status, 0);
    this->pid = -1;
  }
  bool Ended() {
    if (this->pid <= 0) {
      return true;
    }
    int status = 0;
    if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->pid = -1;
      this->record.Line(this->name + " ended by itself, status " +
                        std::to_string(status));
      return true;
    }
    return false;
  }

 private:
  std::string name;
  std::string program;
  std::string settings;
  std::string output;
  Record& record;
  pid_t pid = -1;
};

struct Gateway {
  std::string name;
  std::uint16_t front = 0;
  std::uint16_t ready = 0;
  std::unique_ptr<Process> process;
};

struct Machine {
  std::string name;
  std::uint16_t control = 0;
  std::unique_ptr<Runner> runner;
  std::unique_ptr<Process> process;
};

// A small deployment: one store, gateways, and workers with their agents.
class Deployment {
 public:
  static constexpr const char* kHost = "host.example";
  static constexpr const char* kPrefix = "/jobs/";
  static constexpr const char* kKey = "key-1";

  Deployment(const std::string& program, Record& record)
      : program(program), record(record), store(record) {
    std::string name =
        (std::filesystem::temp_directory_path() / "carobrill-review-XXXXXX")
            .string();
    this->folder = mkdtemp(name.data());
    // References to the elements stay valid.
    this->gateways.reserve(16);
    this->machines.reserve(32);
  }
  ~Deployment() {
    for (Gateway& gateway : this->gateways) {
      gateway.process.reset();
    }
    for (Machine& machine : this->machines) {
      machine.process.reset();
    }
    this->machines.clear();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(this->folder, ignored);
    }
  }

  // The operator's configuration: one queue and one tenant.
  void Configure(std::uint64_t version, std::uint32_t max_attempts = 3) {
    const nlohmann::json config = {
        {"version", version},
        {"routes",
         {{{"name", "queue-1"},
           {"host", kHost},
           {"path_prefix", kPrefix},
           {"service", "svc"},
           {"priority", 1},
           {"max_attempts", max_attempts},
           {"stretch", 3.0},
           {"slo_ms", 1000}}}},
        {"services", {{{"name", "svc"}, {"admission_check", false}}}},
        {"tenants", {{{"name", "tenant-1"}, {"api_keys", {kKey}}}}},
        {"limits", {{"max_body_bytes", 262144}}}};
    this->store.Put("keyed.op", "config", config.dump());
    this->record.Line("configuration " + std::to_string(version));
  }

  Gateway& AddGateway(const std::string& name) {
    Gateway gateway;
    gateway.name = name;
    gateway.front = FreePort();
    gateway.ready = FreePort();
    const nlohmann::json settings = {
        {"role", "gateway"},
        {"instance",
         {{"id", name},
          {"failure_domain", "zone-a"},
          {"region", "region-a"},
          {"processor_share", 0.25},
          {"rpc", {{"address", "127.0.0.1"}, {"port", FreePort()}}},
          {"http", {{"address", "127.0.0.1"}, {"port", FreePort()}}}}},
        {"gateway",
         {{"front", "127.0.0.1:" + std::to_string(gateway.front)},
          {"ready", "127.0.0.1:" + std::to_string(gateway.ready)},
          {"store", this->store.Address()},
          {"task_stop_ms", 200},
          {"task_lease_limit_ms", 6000},
          {"key_revocation_ms", 5000},
          {"job_status_s", 120}}}};
    gateway.process = this->StartProcess(name, settings);
    this->gateways.push_back(std::move(gateway));
    return this->gateways.back();
  }

  Machine& AddMachine(const std::string& name,
                      RunnerSettings runner,
                      Runner::WorkOf work_of) {
    Machine machine;
    machine.name = name;
    machine.control = FreePort();
    runner.id = runner.id.empty() ? "runner-" + name : runner.id;
    machine.runner = std::make_unique<Runner>(
        runner, machine.control, this->record, this->runs, std::move(work_of));
    const nlohmann::json settings = {
        {"role", "worker_agent"},
        {"instance",
         {{"id", name},
          {"failure_domain", "zone-a"},
          {"region", "region-a"},
          {"rpc", {{"address", "127.0.0.1"}, {"port", FreePort()}}},
          {"http", {{"address", "127.0.0.1"}, {"port", FreePort()}}}}},
        {"worker_agent",
         {{"heartbeat", "127.0.0.1:" + std::to_string(machine.control)},
          {"worker", machine.runner->Address()},
          {"store", this->store.Address()}}}};
    machine.process = this->StartProcess(name, settings);
    this->machines.push_back(std::move(machine));
    this->machines.back().runner->StartHeartbeats();
    return this->machines.back();
  }

  // Waits until each gateway is ready.
  bool WaitReady(std::int64_t limit_ms = 15'000) {
    const std::int64_t until = NowMs() + limit_ms;
    for (const Gateway& gateway : this->gateways) {
      while (Call(gateway.ready, "GET", "/ready", {{"Host", "x"}}, "", 500)
                 .status != 200) {
        if (NowMs() > until) {
          return false;
        }
        SleepMs(100);
      }
    }
    return true;
  }

  Response CallGateway(const Gateway& gateway,
                       const std::string& method,
                       const std::string& job,
                       const std::string& body,
                       std::int64_t deadline_ms = 3'000) {
    this->record.Line("client -> " + gateway.name + ": " + method + " " + job);
    const Response response =
        Call(gateway.front, method, kPrefix + job,
             {{"Host", kHost},
              {"Authorization", std::string("Bearer ") + kKey},
              {"Deadline-Ms", std::to_string(deadline_ms)},
              {"Content-Type", "application/json"}},
             body, deadline_ms);
    this->record.Line("client <- " + gateway.name + ": " + method + " " + job +
                      ": " + std::to_string(response.status) + " " +
                      response.body);
    return response;
  }

  std::string State(const Gateway& gateway, const std::string& job) {
    const Response response = this->CallGateway(gateway, "GET", job, "");
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    return response.status == 200 && body.is_object()
               ? body.value("state", std::string())
               : std::to_string(response.status);
  }

  const std::string program;
  Record& record;
  std::string folder;
  Store store;
  RunLog runs;
  std::vector<Gateway> gateways;
  std::vector<Machine> machines;

 private:
  std::unique_ptr<Process> StartProcess(const std::string& name,
                                        const nlohmann::json& settings) {
    const std::string path = this->folder + "/" + name + ".json";
    std::ofstream(path) << settings.dump(2);
    return std::make_unique<Process>(name, this->program, path,
                                     this->folder + "/" + name + ".log",
                                     this->record);
  }
};

// The body of a job of `count` small tasks.
inline std::string JobBody(int count, std::int64_t estimate_ms) {
  return nlohmann::json{{"task_spec", "work"},
                        {"steps",
                         {{{"count", count},
                           {"cpu", 1000},
                           {"mem_mb", 100},
                           {"estimate_ms", estimate_ms}}}}}
      .dump();
}

// The name of job number `number` of a case.
inline std::string JobName(int number) {
  char name[17];
  std::snprintf(name, sizeof name, "%016x", 0xa0 + number);
  return name;
}

}  // namespace standin

#endif  // REVIEW_STANDIN_DEPLOYMENT_H_
