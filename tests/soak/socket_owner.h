#ifndef TESTS_SOAK_SOCKET_OWNER_H_
#define TESTS_SOAK_SOCKET_OWNER_H_

#include <sys/types.h>

#include <cstddef>
#include <optional>
#include <vector>

#include "tests/soak/endpoint.h"

namespace carobrill::soak {

/// Returns the index of the process among `pids` that has a TCP socket from
/// `local` to `remote`. Throws std::system_error if the kernel can't be asked.
std::optional<std::size_t> SocketOwner(const Endpoint& local,
                                       const Endpoint& remote,
                                       const std::vector<pid_t>& pids);

}  // namespace carobrill::soak

#endif  // TESTS_SOAK_SOCKET_OWNER_H_
