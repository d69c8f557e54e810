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

/// How a program ended.
struct ExitStatus {
  /// Exit code; -1 when a signal ended it.
  int code = -1;
  /// Signal that ended it; 0 for none.
  int signal = 0;
};

/// A program that runs beside the test. Its standard output is read all the
/// time; it is killed when this object ends.
class Process {
 public:
  /// Starts `program` with `arguments` (without the program's name). Fails with
  /// SpawnError.
  static Result<std::unique_ptr<Process>> Start(
      const std::string& program,
      std::vector<std::string> arguments);

  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for a line that contains `part`; nothing if none came within
  /// `limit_ms` or before the end of the output.
  std::optional<std::string> WaitForLine(std::string_view part,
                                         std::int64_t limit_ms);

  /// Waits for "listening on PORT", as the fakes print it.
  std::optional<std::uint16_t> WaitForPort(std::int64_t limit_ms);

  /// Waits for the ready line of carobrilld and returns one of its fields, for
  /// example "http_port".
  std::optional<std::uint16_t> WaitForReady(const std::string& port_field,
                                            std::int64_t limit_ms);

  /// Sends a signal, for example SIGTERM.
  void Signal(int signal);

  /// Ends the program without notice (SIGKILL).
  void Kill();

  /// Freezes the program (SIGSTOP).
  void Freeze();

  /// Lets a frozen program go on (SIGCONT).
  void Resume();

  /// Waits for the end; nothing if it still runs after `limit_ms`.
  std::optional<ExitStatus> Wait(std::int64_t limit_ms);

  /// Lines of the standard output so far.
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

/// A directory that is removed with all it holds when this object ends.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();

  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  /// Writes a file, for example of settings, and returns its path.
  std::string Write(const std::string& name, std::string_view text) const;

  const std::filesystem::path& Path() const { return this->path; }

 private:
  std::filesystem::path path;
};

}  // namespace carobrill::process

#endif  // TESTS_PROCESS_PROCESS_H_
