#ifndef PACKAGES_DAEMON_ENTRY_ROLE_H_
#define PACKAGES_DAEMON_ENTRY_ROLE_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "packages/core/result.h"
#include "packages/daemon/settings.h"

namespace carobrill::daemon {

/// The entry role: accepts requests and jobs, follows the log and plans.
class EntryRole {
 public:
  explicit EntryRole(const Settings& settings);

  /// Ends at once; requests in progress are cut off.
  ~EntryRole();

  EntryRole(const EntryRole&) = delete;
  EntryRole& operator=(const EntryRole&) = delete;

  /// Listens and starts to recover the state. Fails with ChartError,
  /// rpc::RpcListenError or http::ListenError.
  Result<void> Start();

  /// Refuses new work, finishes what is in progress, hands over planning, then
  /// runs `drained` once on a thread of the role.
  void BeginShutdown(std::function<void()> drained);

  /// The port of the Entry service after Start.
  std::uint16_t RpcPort() const;

  /// The port of the HTTP API after Start.
  std::uint16_t HttpPort() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_ENTRY_ROLE_H_
