#ifndef PACKAGES_DAEMON_ENTRY_ROLE_H_
#define PACKAGES_DAEMON_ENTRY_ROLE_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "packages/core/result.h"
#include "packages/daemon/settings.h"

namespace carobrill::daemon {

/// The entry role: accepts requests and jobs, applies the log and plans
/// placements.
class EntryRole {
 public:
  explicit EntryRole(const Settings& settings);

  /// Ends immediately. Requests in progress are aborted.
  ~EntryRole();

  EntryRole(const EntryRole&) = delete;
  EntryRole& operator=(const EntryRole&) = delete;

  /// Starts to listen and to recover the state. Fails with ChartError,
  /// rpc::RpcListenError or http::HttpListenError.
  Result<void> Start();

  /// Refuses new work, finishes work in progress, hands over planning, then
  /// calls `on_drained` once on a thread of the role.
  void BeginShutdown(std::function<void()> on_drained);

  /// Port of the gRPC service Entry. Valid after Start.
  std::uint16_t RpcPort() const;

  /// Port of the HTTP API. Valid after Start.
  std::uint16_t HttpPort() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_ENTRY_ROLE_H_
