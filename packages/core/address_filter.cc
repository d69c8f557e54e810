#include "packages/core/address_filter.h"

#include <algorithm>
#include <array>

namespace carobrill {
namespace {

/// Returns the IPv4 address of a client that a socket for both families shows
/// as ::ffff:a.b.c.d (RFC 4291, section 2.5.5.2); otherwise the same address.
/// The caller owns the result.
GInetAddress* WithoutMapping(GInetAddress* address) {
  constexpr std::array<guint8, 12> kPrefix = {0, 0, 0, 0, 0,    0,
                                              0, 0, 0, 0, 0xff, 0xff};
  const guint8* bytes = g_inet_address_to_bytes(address);
  const bool mapped =
      g_inet_address_get_family(address) == G_SOCKET_FAMILY_IPV6 &&
      std::equal(kPrefix.begin(), kPrefix.end(), bytes);
  return mapped ? g_inet_address_new_from_bytes(bytes + kPrefix.size(),
                                                G_SOCKET_FAMILY_IPV4)
                : G_INET_ADDRESS(g_object_ref(address));
}

}  // namespace

AddressFilter::AddressFilter(const std::vector<std::string>& networks)
    : restricted(!networks.empty()) {
  for (const std::string& network : networks) {
    if (GInetAddressMask* mask =
            g_inet_address_mask_new_from_string(network.c_str(), nullptr)) {
      this->masks.push_back(mask);
    }
  }
}

AddressFilter::~AddressFilter() {
  for (GInetAddressMask* mask : this->masks) {
    g_object_unref(mask);
  }
}

bool AddressFilter::Allows(GSocketAddress* client) const {
  if (!this->restricted) {
    return true;
  }
  if (G_IS_INET_SOCKET_ADDRESS(client) == FALSE) {
    return false;
  }
  GInetAddress* address = WithoutMapping(
      g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(client)));
  const bool allowed =
      std::ranges::any_of(this->masks, [address](GInetAddressMask* mask) {
        return g_inet_address_mask_matches(mask, address) != FALSE;
      });
  g_object_unref(address);
  return allowed;
}

bool AddressFilter::IsNetwork(const std::string& text) {
  GInetAddressMask* mask =
      g_inet_address_mask_new_from_string(text.c_str(), nullptr);
  if (mask == nullptr) {
    return false;
  }
  g_object_unref(mask);
  return true;
}

}  // namespace carobrill
