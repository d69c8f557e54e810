#ifndef TESTS_CLI_CAPTURE_H_
#define TESTS_CLI_CAPTURE_H_

#include <unistd.h>

#include <cstdio>
#include <string>
#include <vector>

#include "packages/cli/run.h"

namespace carobrill::cli {

/// Redirects one stream of the process into a file until Finish().
class Capture {
 public:
  explicit Capture(FILE* stream)
      : stream(stream), file(std::tmpfile()), saved(dup(fileno(stream))) {
    std::fflush(stream);
    dup2(fileno(this->file), fileno(stream));
  }

  /// Restores the stream and returns what was written.
  std::string Finish() {
    std::fflush(this->stream);
    dup2(this->saved, fileno(this->stream));
    close(this->saved);
    std::rewind(this->file);
    std::string text;
    for (int c = std::fgetc(this->file); c != EOF; c = std::fgetc(this->file)) {
      text += static_cast<char>(c);
    }
    std::fclose(this->file);
    return text;
  }

 private:
  FILE* stream;
  FILE* file;
  int saved;
};

/// Exit code and output of one run of the CLI.
struct Outcome {
  CliExit exit = CliExit::kInternal;
  std::string out;
  std::string err;
};

/// Runs the CLI with `words` as its arguments, without the program name.
inline Outcome RunCli(std::vector<std::string> words) {
  words.insert(words.begin(), "carobrill");
  Capture out(stdout);
  Capture err(stderr);
  Outcome outcome;
  outcome.exit = Run(words);
  outcome.err = err.Finish();
  outcome.out = out.Finish();
  return outcome;
}

}  // namespace carobrill::cli

#endif  // TESTS_CLI_CAPTURE_H_
