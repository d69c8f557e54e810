#ifndef TESTS_SOAK_ENDPOINT_H_
#define TESTS_SOAK_ENDPOINT_H_

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>
#include <string>

namespace carobrill::soak {

/// An IPv4 address and a port.
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;

  static Endpoint Of(const sockaddr_in& address) {
    char ip[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, ip, sizeof(ip));
    return {ip, ntohs(address.sin_port)};
  }

  std::string Text() const {
    return this->ip + ":" + std::to_string(this->port);
  }

  sockaddr_in Address() const {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, this->ip.c_str(), &address.sin_addr);
    address.sin_port = htons(this->port);
    return address;
  }
};

}  // namespace carobrill::soak

#endif  // TESTS_SOAK_ENDPOINT_H_
