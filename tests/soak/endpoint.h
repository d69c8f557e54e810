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
