#include "tests/soak/socket_owner.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <filesystem>
#include <string>
#include <system_error>

namespace carobrill::soak {
namespace {

struct Query {
  nlmsghdr header{};
  inet_diag_req_v2 request{};
};

struct alignas(NLMSG_ALIGNTO) Answer {
  std::array<char, 1024> bytes{};
};

int OpenDiagnostics() {
  const int socket_fd =
      socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (socket_fd < 0) {
    throw std::system_error(errno, std::generic_category(), "sock_diag");
  }
  return socket_fd;
}

Query QueryOf(const Endpoint& local, const Endpoint& remote) {
  const sockaddr_in source = local.Address();
  const sockaddr_in target = remote.Address();
  Query query;
  query.header.nlmsg_len = sizeof(query);
  query.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  query.header.nlmsg_flags = NLM_F_REQUEST;
  query.request.sdiag_family = AF_INET;
  query.request.sdiag_protocol = IPPROTO_TCP;
  query.request.idiag_states = ~0U;
  query.request.id.idiag_sport = source.sin_port;
  query.request.id.idiag_dport = target.sin_port;
  query.request.id.idiag_src[0] = source.sin_addr.s_addr;
  query.request.id.idiag_dst[0] = target.sin_addr.s_addr;
  query.request.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  query.request.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return query;
}

// Name of the socket in /proc/PID/fd. The kernel finds one socket by its
// addresses. /proc/net/tcp has a line for each connection of the machine, also
// for closed ones, and while a proxy reads all of them, connections to it time
// out.
std::optional<std::string> SocketName(const Endpoint& local,
                                      const Endpoint& remote) {
  const int socket_fd = OpenDiagnostics();
  const Query query = QueryOf(local, remote);
  Answer answer;
  ssize_t size = send(socket_fd, &query, sizeof(query), 0);
  if (size >= 0) {
    size = recv(socket_fd, answer.bytes.data(), answer.bytes.size(), 0);
  }
  const int error = errno;
  close(socket_fd);
  if (size < 0) {
    throw std::system_error(error, std::generic_category(), "sock_diag");
  }
  const auto* header = reinterpret_cast<const nlmsghdr*>(answer.bytes.data());
  // A socket that does not exist any more is answered with an error.
  if (!NLMSG_OK(header, static_cast<std::size_t>(size)) ||
      header->nlmsg_type != SOCK_DIAG_BY_FAMILY) {
    return std::nullopt;
  }
  const auto* message = static_cast<const inet_diag_msg*>(NLMSG_DATA(header));
  return "socket:[" + std::to_string(message->idiag_inode) + "]";
}

bool HasSocket(pid_t pid, const std::string& name) {
  std::error_code error;
  const auto folder = "/proc/" + std::to_string(pid) + "/fd";
  for (std::filesystem::directory_iterator at(folder, error), end;
       !error && at != end; at.increment(error)) {
    std::error_code gone;
    if (std::filesystem::read_symlink(at->path(), gone) == name) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::optional<std::size_t> SocketOwner(const Endpoint& local,
                                       const Endpoint& remote,
                                       const std::vector<pid_t>& pids) {
  const auto name = SocketName(local, remote);
  for (std::size_t i = 0; name.has_value() && i < pids.size(); ++i) {
    if (pids[i] > 0 && HasSocket(pids[i], *name)) {
      return i;
    }
  }
  return std::nullopt;
}

}  // namespace carobrill::soak
