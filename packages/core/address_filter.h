#ifndef PACKAGES_CORE_ADDRESS_FILTER_H_
#define PACKAGES_CORE_ADDRESS_FILTER_H_

#include <gio/gio.h>

#include <string>
#include <vector>

namespace carobrill {

/// Networks whose clients may connect.
class AddressFilter {
 public:
  /// Networks as "ADDRESS/BITS", or "ADDRESS" for one address. Without networks
  /// all clients may connect. A text that IsNetwork() rejects stands for no
  /// address.
  explicit AddressFilter(const std::vector<std::string>& networks);

  ~AddressFilter();

  AddressFilter(const AddressFilter&) = delete;
  AddressFilter& operator=(const AddressFilter&) = delete;

  /// Whether a client with this address may connect.
  bool Allows(GSocketAddress* client) const;

  /// Whether `text` is a network. No bit beyond BITS may be set.
  static bool IsNetwork(const std::string& text);

 private:
  bool restricted;
  std::vector<GInetAddressMask*> masks;
};

}  // namespace carobrill

#endif  // PACKAGES_CORE_ADDRESS_FILTER_H_
