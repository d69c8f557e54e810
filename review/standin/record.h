// Record of what was sent, answered and run during a case.
#ifndef REVIEW_STANDIN_RECORD_H_
#define REVIEW_STANDIN_RECORD_H_

#include <time.h>

#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>
#include <chrono>

namespace standin {

// CLOCK_BOOTTIME in ms.
inline std::int64_t NowMs() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1'000'000;
}

inline std::int64_t UnixMs() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1'000'000;
}

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

class Record {
 public:
  explicit Record(const std::string& path)
      : file(std::fopen(path.c_str(), "w")), began_ms(NowMs()) {}
  ~Record() { std::fclose(this->file); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  // Writes one line with the time since the start, in ms.
  void Line(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    std::fprintf(this->file, "%8lld %s\n",
                 static_cast<long long>(NowMs() - this->began_ms),
                 text.c_str());
    std::fflush(this->file);
  }

 private:
  std::mutex mutex;
  std::FILE* file;
  std::int64_t began_ms;
};

}  // namespace standin

#endif  // REVIEW_STANDIN_RECORD_H_
