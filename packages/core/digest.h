#ifndef PACKAGES_CORE_DIGEST_H_
#define PACKAGES_CORE_DIGEST_H_

#include <string>
#include <string_view>

namespace carobrill {

/// Returns the stable hash of `text` as 16 hexadecimal digits. Together with
/// the length it detects a truncated or altered answer; it does not protect
/// against forgery.
std::string DigestOf(std::string_view text);

}  // namespace carobrill

#endif  // PACKAGES_CORE_DIGEST_H_
