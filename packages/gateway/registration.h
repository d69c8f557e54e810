#ifndef PACKAGES_GATEWAY_REGISTRATION_H_
#define PACKAGES_GATEWAY_REGISTRATION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "packages/core/keyed_log.h"
#include "packages/core/log.h"
#include "packages/core/task.h"
#include "packages/gateway/planner_records.h"
#include "packages/gateway/topics.h"

namespace carobrill::gateway {

/// Stores the address of a process in the log, retrying until it is stored. The
/// entry is not removed when the process exits.
template <KeyedLog LogStore>
class Registration {
 public:
  /// `log` must outlive this object. `silence_ms` as in OnContact(); 0 to store
  /// the entry only once.
  Registration(Task& task, LogStore& log, std::int64_t silence_ms = 0)
      : task(task), log(log), silence_ms(silence_ms) {}

  ~Registration() { *this->alive = false; }

  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

  /// Stores `address` under `key`.
  void Start(const std::string& key, const ProcessAddress& address) {
    this->Store(key, address);
  }

  /// A reader of the entry has used the address. The entry is stored again
  /// whenever `silence_ms` pass without a call, because another writer may have
  /// replaced it.
  void OnContact() {
    this->silent_at = BootClock{}.Now().After(this->silence_ms);
  }

 private:
  void Store(const std::string& key, const ProcessAddress& address) {
    KeyedAppend append;
    append.topic = kAgentTopic;
    append.entries = {{key, EncodeAddress(address)}};
    append.deadline = BootClock{}.Now().After(kAppendTimeoutMs);
    this->log.Append(append, [this, alive = this->alive, key,
                              address](const KeyedAppendReply& reply) {
      if (*alive) {
        this->OnReply(key, address, reply.failure);
      }
    });
  }

  /// Timeout of one append. The slowest supported stores answer after about 700
  /// ms.
  static constexpr std::int64_t kAppendTimeoutMs = 1'200;
  static constexpr std::int64_t kRetryDelayMs = 300;

  void OnReply(const std::string& key,
               const ProcessAddress& address,
               KeyedLogFailure failure) {
    Log(LogLevel::kInfo, "address_registered",
        {{"key", key},
         {"address", address.rpc_address},
         {"outcome", std::string(NameOf(failure))}});
    if (failure == KeyedLogFailure::kNone) {
      if (this->silence_ms > 0) {
        this->OnContact();
        this->CheckSilence(key, address);
      }
      return;
    }
    this->task.PostAt(BootClock{}.Now().After(kRetryDelayMs),
                      [this, alive = this->alive, key, address] {
                        if (*alive) {
                          this->Store(key, address);
                        }
                      });
  }

  void CheckSilence(const std::string& key, const ProcessAddress& address) {
    this->task.PostAt(this->silent_at,
                      [this, alive = this->alive, key, address] {
                        if (!*alive) {
                          return;
                        }
                        if (BootClock{}.Now() < this->silent_at) {
                          this->CheckSilence(key, address);
                        } else {
                          this->Store(key, address);
                        }
                      });
  }

  Task& task;
  LogStore& log;
  std::int64_t silence_ms;
  /// Boot clock. The entry is stored again from then on.
  Instant silent_at;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_REGISTRATION_H_
