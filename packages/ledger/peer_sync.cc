#include "packages/ledger/peer_sync.h"

namespace carobrill::ledger {

std::size_t PeerReply::Bytes() const {
  // Offset and append time, 8 bytes each.
  constexpr std::size_t kBytesPerRecord = 16;
  std::size_t bytes = this->snapshot.size();
  for (const auto& record : this->records) {
    bytes += record.data.size() + kBytesPerRecord;
  }
  return bytes;
}

}  // namespace carobrill::ledger
