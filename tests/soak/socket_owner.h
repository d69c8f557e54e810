#ifndef TESTS_SOAK_SOCKET_OWNER_H_
#define TESTS_SOAK_SOCKET_OWNER_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace carobrill::soak {

/// Returns the index of the process among `pids` that has a TCP socket from
/// `local_port` to `remote_port`.
std::optional<std::size_t> SocketOwner(std::uint16_t local_port,
                                       std::uint16_t remote_port,
                                       const std::vector<pid_t>& pids);

}  // namespace carobrill::soak

#endif  // TESTS_SOAK_SOCKET_OWNER_H_
