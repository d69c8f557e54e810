#ifndef PACKAGES_CORE_DIGEST_H_
#define PACKAGES_CORE_DIGEST_H_

#include <string>
#include <string_view>

namespace carobrill {

/// The stable hash of `text` as 16 hexadecimal digits; goes with the length of
/// an answer to detect a cut or changed one. Not safe against forgery.
std::string DigestOf(std::string_view text);

}  // namespace carobrill

#endif  // PACKAGES_CORE_DIGEST_H_
