#ifndef TESTS_PROCESS_PROCESS_H_
#define TESTS_PROCESS_PROCESS_H_

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "packages/core/result.h"

namespace carobrill::process {

/// Why a program could not be started.
struct SpawnError {
  std::string program;
  int error_number = 0;
};

/// Exit status of a program.
struct ExitStatus {
  /// Exit code; -1 if a signal terminated the program.
  int code = -1;
  /// Terminating signal; 0 if the program exited.
  int signal = 0;
};

/// A child process of the test. Its standard output is read continuously; the
/// destructor kills it.
class Process {
 public:
  /// Starts `program` with `arguments` (excluding argv[0]). Fails with
  /// SpawnError.
  static Result<std::unique_ptr<Process>> Start(
      const std::string& program,
      std::vector<std::string> arguments);

  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for an output line that contains `part`. Returns nothing on timeout
  /// or at the end of the output.
  std::optional<std::string> WaitForLine(std::string_view part,
                                         std::int64_t limit_ms);

  /// Waits for the line "listening on PORT", which the fake services print.
  std::optional<std::uint16_t> WaitForPort(std::int64_t limit_ms);

  /// Waits for the "ready" log line of carobrilld and returns one of its port
  /// fields, for example "http_port".
  std::optional<std::uint16_t> WaitForReady(const std::string& port_field,
                                            std::int64_t limit_ms);

  /// Sends a signal, for example SIGTERM.
  void Signal(int signal);

  /// Kills the program (SIGKILL).
  void Kill();

  /// Suspends the program (SIGSTOP).
  void Suspend();

  /// Resumes a suspended program (SIGCONT).
  void Resume();

  /// Waits for the program to exit. Returns nothing on timeout.
  std::optional<ExitStatus> Wait(std::int64_t limit_ms);

  /// Lines printed to the standard output so far.
  std::vector<std::string> Lines();

  pid_t Pid() const { return this->pid; }

 private:
  Process(pid_t pid, int output);

  void ReadLines(int output);

  const pid_t pid;
  std::optional<ExitStatus> status;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::string> lines;
  bool output_ended = false;
  std::thread reader;
};

/// A temporary directory; the destructor removes it with its content.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();

  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  /// Writes a file into the directory and returns its path.
  std::string Write(const std::string& name, std::string_view text) const;

  const std::filesystem::path& Path() const { return this->path; }

 private:
  std::filesystem::path path;
};

}  // namespace carobrill::process

#endif  // TESTS_PROCESS_PROCESS_H_
