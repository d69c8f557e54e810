#ifndef PACKAGES_CORE_ADDRESS_H_
#define PACKAGES_CORE_ADDRESS_H_

#include <string_view>

namespace carobrill {

/// Returns whether the text is a port from 1 to 65535, without a sign.
bool IsPort(std::string_view text);

/// Returns whether the text has the form "host:port". The host is not resolved;
/// it is not empty and contains visible ASCII characters only.
bool IsHostAndPort(std::string_view text);

/// Returns whether the text is not empty and contains visible ASCII characters
/// only, so that it can stand in a header and in a protobuf string.
bool IsVisibleAscii(std::string_view text);

}  // namespace carobrill

#endif  // PACKAGES_CORE_ADDRESS_H_
