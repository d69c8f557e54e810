#include <csignal>
#include <string>
#include <vector>

#include "packages/cli/run.h"

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return static_cast<int>(
      carobrill::cli::Run(std::vector<std::string>(argv, argv + argc)));
}
