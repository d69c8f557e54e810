#include "tests/soak/child.h"

#include <fcntl.h>
#include <linux/close_range.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace carobrill::soak {

Child::Child(std::string name,
             std::string program,
             std::string settings_path,
             std::string log_path,
             standin::Record& record)
    : name(std::move(name)),
      program(std::move(program)),
      settings_path(std::move(settings_path)),
      log_path(std::move(log_path)),
      record(record) {}

Child::~Child() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
}

void Child::Start() {
  const pid_t child = fork();
  if (child < 0) {
    throw std::system_error(errno, std::generic_category(), "fork");
  }
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // An inherited socket would keep connections of the stand-ins open.
    close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    const int output = open(this->log_path.c_str(),
                            O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(this->program.c_str(), this->program.c_str(), "--settings",
          this->settings_path.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  this->pid = child;
  this->record.Line(this->name + " starts, pid " + std::to_string(child));
}

void Child::Signal(int number) {
  if (this->pid > 0) {
    this->record.Line(this->name + " gets signal " + std::to_string(number));
    kill(this->pid, number);
  }
}

std::optional<int> Child::Reap() {
  int status = 0;
  if (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) != this->pid) {
    return std::nullopt;
  }
  this->pid = -1;
  this->record.Line(this->name + " has ended, wait status " +
                    std::to_string(status));
  return status;
}

}  // namespace carobrill::soak
