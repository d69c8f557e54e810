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
  /// `log` must outlive this object.
  Registration(Task& task, LogStore& log) : task(task), log(log) {}

  ~Registration() { *this->alive = false; }

  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

  /// Stores `address` under `key`.
  void Start(const std::string& key, const ProcessAddress& address) {
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

 private:
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
      return;
    }
    this->task.PostAt(BootClock{}.Now().After(kRetryDelayMs),
                      [this, alive = this->alive, key, address] {
                        if (*alive) {
                          this->Start(key, address);
                        }
                      });
  }

  Task& task;
  LogStore& log;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace carobrill::gateway

#endif  // PACKAGES_GATEWAY_REGISTRATION_H_
