#ifndef PACKAGES_MEMBERSHIP_RENDEZVOUS_H_
#define PACKAGES_MEMBERSHIP_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobrill::membership {

/// Returns the rendezvous hashing weight of `node` for `key`. The node with the
/// highest weight is the preferred one.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view node);

/// Returns `nodes` by descending weight for `key`.
std::vector<std::string> RendezvousRank(std::string_view key,
                                        std::vector<std::string> nodes);

}  // namespace carobrill::membership

#endif  // PACKAGES_MEMBERSHIP_RENDEZVOUS_H_
