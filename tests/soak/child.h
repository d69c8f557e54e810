#ifndef TESTS_SOAK_CHILD_H_
#define TESTS_SOAK_CHILD_H_

#include <sys/types.h>

#include <optional>
#include <string>

#include "review/standin/record.h"

namespace carobrill::soak {

/// A program under test that can be restarted. Its output is appended to a
/// file. The destructor kills it.
class Child {
 public:
  Child(std::string name,
        std::string program,
        std::string settings_path,
        std::string log_path,
        standin::Record& record);
  ~Child();

  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// Must be called by a thread that lives as long as the program, which gets
  /// SIGKILL at the end of that thread.
  void Start();
  /// Has no effect unless the program runs.
  void Signal(int number);
  /// Reaps the program if it has ended. Returns its wait status once.
  std::optional<int> Reap();

  bool Running() const { return this->pid > 0; }
  pid_t Pid() const { return this->pid; }
  const std::string& Name() const { return this->name; }
  const std::string& LogPath() const { return this->log_path; }

 private:
  const std::string name;
  const std::string program;
  const std::string settings_path;
  const std::string log_path;
  standin::Record& record;
  pid_t pid = -1;
};

}  // namespace carobrill::soak

#endif  // TESTS_SOAK_CHILD_H_
