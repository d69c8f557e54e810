#include "tests/process/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <system_error>
#include <utility>

#include "packages/core/time.h"

extern char** environ;

namespace carobrill::process {
namespace {

constexpr std::string_view kListening = "listening on ";
constexpr auto kPollInterval = std::chrono::milliseconds(5);

std::optional<std::uint16_t> PortFrom(std::string_view text) {
  std::uint16_t port = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), port);
  return result.ec == std::errc() ? std::optional(port) : std::nullopt;
}

/// Starts the program in its own process group, with its standard output
/// redirected to `output`. Returns 0 or an error number.
int Spawn(const std::string& program,
          std::vector<std::string>& arguments,
          int output,
          pid_t& pid) {
  std::vector<char*> argv = {const_cast<char*>(program.c_str())};
  for (auto& argument : arguments) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETPGROUP);
  posix_spawnattr_setpgroup(&attributes, 0);
  const int error = posix_spawn(&pid, program.c_str(), &actions, &attributes,
                                argv.data(), environ);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  return error;
}

}  // namespace

// The pipe is closed on exec, so that no other child inherits it and keeps it
// open.
Result<std::unique_ptr<Process>> Process::Start(
    const std::string& program,
    std::vector<std::string> arguments) {
  std::array<int, 2> pipe_ends{};
  if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
    return Fail(SpawnError{program, errno});
  }
  pid_t pid = 0;
  const int error = Spawn(program, arguments, pipe_ends[1], pid);
  close(pipe_ends[1]);
  if (error != 0) {
    close(pipe_ends[0]);
    return Fail(SpawnError{program, error});
  }
  return std::unique_ptr<Process>(new Process(pid, pipe_ends[0]));
}

Process::Process(pid_t pid, int output)
    : pid(pid), reader([this, output] { this->ReadLines(output); }) {}

// Kills the whole process group, since a child of the program would keep the
// pipe open. The group id cannot be reused before waitpid().
Process::~Process() {
  kill(-this->pid, SIGKILL);
  waitpid(this->pid, nullptr, 0);
  this->reader.join();
}

std::optional<std::string> Process::WaitForLine(std::string_view part,
                                                std::int64_t limit_ms) {
  const auto limit =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(limit_ms);
  std::unique_lock lock(this->mutex);
  std::size_t checked = 0;
  while (true) {
    for (; checked < this->lines.size(); ++checked) {
      if (this->lines[checked].find(part) != std::string::npos) {
        return this->lines[checked];
      }
    }
    if (this->output_ended ||
        this->changed.wait_until(lock, limit) == std::cv_status::timeout) {
      // A line may have arrived with the last wake-up.
      if (checked == this->lines.size()) {
        return std::nullopt;
      }
    }
  }
}

std::optional<std::uint16_t> Process::WaitForPort(std::int64_t limit_ms) {
  const auto line = this->WaitForLine(kListening, limit_ms);
  if (!line.has_value()) {
    return std::nullopt;
  }
  const auto at = line->find(kListening) + kListening.size();
  return PortFrom(std::string_view(*line).substr(at));
}

std::optional<std::uint16_t> Process::WaitForReady(
    const std::string& port_field,
    std::int64_t limit_ms) {
  const auto line = this->WaitForLine("\"message\":\"ready\"", limit_ms);
  if (!line.has_value()) {
    return std::nullopt;
  }
  const auto json = nlohmann::json::parse(*line, nullptr, false);
  const auto found = json.is_object() ? json.find(port_field) : json.end();
  if (found == json.end() || !found->is_string()) {
    return std::nullopt;
  }
  return PortFrom(found->get_ref<const std::string&>());
}

void Process::Signal(int signal) {
  kill(this->pid, signal);
}

void Process::Kill() {
  this->Signal(SIGKILL);
}

void Process::Suspend() {
  this->Signal(SIGSTOP);
}

void Process::Resume() {
  this->Signal(SIGCONT);
}

std::optional<ExitStatus> Process::Wait(std::int64_t limit_ms) {
  const Instant limit = BootClock{}.Now().After(limit_ms);
  while (!this->status.has_value()) {
    siginfo_t info{};
    // WNOWAIT leaves the child in a waitable state; the destructor reaps it.
    waitid(P_PID, static_cast<id_t>(this->pid), &info,
           WEXITED | WNOHANG | WNOWAIT);
    if (info.si_pid == this->pid) {
      this->status = info.si_code == CLD_EXITED
                         ? ExitStatus{info.si_status, 0}
                         : ExitStatus{-1, info.si_status};
    } else if (BootClock{}.Now() >= limit) {
      break;
    } else {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return this->status;
}

std::vector<std::string> Process::Lines() {
  const std::lock_guard lock(this->mutex);
  return this->lines;
}

void Process::ReadLines(int output) {
  std::string pending;
  std::array<char, 4096> buffer{};
  while (true) {
    const ssize_t size = read(output, buffer.data(), buffer.size());
    if (size < 0 && errno == EINTR) {
      continue;
    }
    const std::lock_guard lock(this->mutex);
    if (size <= 0) {
      this->output_ended = true;
      this->changed.notify_all();
      break;
    }
    pending.append(buffer.data(), static_cast<std::size_t>(size));
    for (auto end = pending.find('\n'); end != std::string::npos;
         end = pending.find('\n')) {
      this->lines.push_back(pending.substr(0, end));
      pending.erase(0, end + 1);
    }
    this->changed.notify_all();
  }
  close(output);
}

TemporaryDirectory::TemporaryDirectory() {
  std::string name =
      (std::filesystem::temp_directory_path() / "carobrill_XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::system_error(errno, std::generic_category(), name);
  }
  this->path = name;
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  std::filesystem::remove_all(this->path, ignored);
}

std::string TemporaryDirectory::Write(const std::string& name,
                                      std::string_view text) const {
  const auto file = this->path / name;
  std::ofstream(file) << text;
  return file.string();
}

}  // namespace carobrill::process
