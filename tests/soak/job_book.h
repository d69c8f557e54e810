#ifndef TESTS_SOAK_JOB_BOOK_H_
#define TESTS_SOAK_JOB_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace carobrill::soak {

struct JobStep {
  std::size_t tasks = 1;
  int accelerators = 1;
  int cpu_millis = 1'000;
  bool gang = false;
  /// All tasks of the previous step must be done first.
  bool after_previous = false;
};

/// What clients have sent and seen of a job. Times are 0 if it has not
/// happened.
struct JobEntry {
  std::string id;
  std::string prefix;
  std::vector<JobStep> steps;
  std::int64_t accepted_ms = 0;
  std::int64_t cancelled_ms = 0;
  /// An attempt to submit the job had no definite answer.
  bool maybe_accepted = false;
  /// When each state was shown first.
  std::map<std::string, std::int64_t> shown_ms;
};

/// An answer that the job is not known.
struct UnknownAnswer {
  std::string job;
  std::size_t gateway = 0;
  std::int64_t at_ms = 0;
};

/// The jobs of all clients. Thread-safe.
class JobBook {
 public:
  /// `wide_percent` of the jobs have hundreds of tasks.
  explicit JobBook(int wide_percent) : wide_percent(wide_percent) {}

  /// Adds a random job.
  JobEntry Create(std::mt19937_64& random);
  /// Applies an answer to a POST; status 0 if there was none.
  void OnSubmitted(const std::string& id, int status);
  void OnCancelSent(const std::string& id);
  /// Applies an answer to a GET.
  void OnState(const std::string& id,
               std::size_t gateway,
               int status,
               const std::string& state);

  std::map<std::string, JobEntry> Jobs();
  std::vector<UnknownAnswer> UnknownAnswers();

 private:
  int wide_percent;
  std::mutex mutex;
  std::map<std::string, JobEntry> jobs;
  std::vector<UnknownAnswer> unknown;
};

/// The body of the POST that submits the job.
std::string SubmissionBody(const JobEntry& job);

/// The same for a schedule of 8,640 occurrences, of which the first is due in
/// an hour.
std::string ScheduleBody();

}  // namespace carobrill::soak

#endif  // TESTS_SOAK_JOB_BOOK_H_
