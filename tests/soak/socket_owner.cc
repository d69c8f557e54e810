#include "tests/soak/socket_owner.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace carobrill::soak {
namespace {

// The address in hexadecimal digits, a colon and the port.
bool HasPort(const std::string& address, std::uint16_t port) {
  const auto colon = address.rfind(':');
  return colon != std::string::npos &&
         std::stoul(address.substr(colon + 1), nullptr, 16) == port;
}

// Name of the socket in /proc/PID/fd.
std::optional<std::string> SocketName(std::uint16_t local_port,
                                      std::uint16_t remote_port) {
  for (const char* table : {"/proc/net/tcp", "/proc/net/tcp6"}) {
    std::ifstream lines(table);
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line)) {
      std::istringstream fields(line);
      std::string number;
      std::string local;
      std::string remote;
      std::string other;
      std::string inode;
      fields >> number >> local >> remote;
      if (!HasPort(local, local_port) || !HasPort(remote, remote_port)) {
        continue;
      }
      // State, queues, timer, retransmits, user and timeout.
      for (int i = 0; i < 6; ++i) {
        fields >> other;
      }
      fields >> inode;
      return "socket:[" + inode + "]";
    }
  }
  return std::nullopt;
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

std::optional<std::size_t> SocketOwner(std::uint16_t local_port,
                                       std::uint16_t remote_port,
                                       const std::vector<pid_t>& pids) {
  const auto name = SocketName(local_port, remote_port);
  for (std::size_t i = 0; name.has_value() && i < pids.size(); ++i) {
    if (pids[i] > 0 && HasSocket(pids[i], *name)) {
      return i;
    }
  }
  return std::nullopt;
}

}  // namespace carobrill::soak
