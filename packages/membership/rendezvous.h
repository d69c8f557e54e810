#ifndef PACKAGES_MEMBERSHIP_RENDEZVOUS_H_
#define PACKAGES_MEMBERSHIP_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carobrill::membership {

/// Weight of `node` for `key` (rendezvous hashing): the node with the highest
/// weight is the first choice for the key.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view node);

/// `nodes` in order of their weight for `key`, first choice first.
std::vector<std::string> RendezvousRank(std::string_view key,
                                        std::vector<std::string> nodes);

}  // namespace carobrill::membership

#endif  // PACKAGES_MEMBERSHIP_RENDEZVOUS_H_
