// Entry of a case: arguments, record and exit status.
#ifndef REVIEW_STANDIN_CASE_H_
#define REVIEW_STANDIN_CASE_H_

#include <cstdlib>
#include <exception>
#include <functional>
#include <string>

#include "deployment.h"

namespace standin {

enum Verdict { kHeld = 0, kBroken = 1, kCannotRun = 2 };

// Runs `play(deployment, record, trouble)` and returns its verdict. Arguments:
// PROGRAM RECORD. Without the disruption if TROUBLE=0.
inline int RunCase(
    int argc,
    char** argv,
    const std::function<Verdict(Deployment&, Record&, bool)>& play) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s PROGRAM RECORD\n", argv[0]);
    return kCannotRun;
  }
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  Record record(argv[2]);
  record.Line(trouble ? "with the disruption" : "without the disruption");
  Verdict verdict = kCannotRun;
  try {
    Deployment deployment(argv[1], record);
    verdict = play(deployment, record, trouble);
  } catch (const std::exception& error) {
    record.Line(std::string("cannot run: ") + error.what());
  }
  record.Line(verdict == kHeld     ? "verdict: the rule held"
              : verdict == kBroken ? "verdict: the rule was broken"
                                   : "verdict: the case could not run");
  return verdict;
}

}  // namespace standin

#endif  // REVIEW_STANDIN_CASE_H_
