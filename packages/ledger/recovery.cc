#include "packages/ledger/recovery.h"

namespace carobrill::ledger {

Result<Recovery> Recovery::Load(const std::string& directory) {
  BOOST_LEAF_AUTO(chart, RecoveryChart::Load(directory, "recovery"));
  return Recovery(chart);
}

Recovery::Recovery(const RecoveryChart& chart)
    : chart(chart), state(chart.Initial()) {}

bool Recovery::Handle(RecoveryEvent event) {
  const auto next = this->chart.Next(this->state, event);
  if (!next.has_value()) {
    return false;
  }
  this->state = *next;
  switch (event) {
    case RecoveryEvent::kCaughtUp:
    case RecoveryEvent::kPeerStateLoaded:
      this->ready = true;
      break;
    case RecoveryEvent::kOffsetExpired:
      // Unread records have expired, so the state may be arbitrarily old.
      this->ready = false;
      break;
    default:
      break;
  }
  return true;
}

// Offsets are comparable only within one lineage; across lineages the log time
// decides which state is older.
bool Recovery::MayLoad(const ReplicaPosition& position,
                       const std::string& log_lineage,
                       const records::Snapshot& snapshot) {
  if (snapshot.lineage() != log_lineage) {
    return false;
  }
  if (position.lineage.empty()) {
    return true;
  }
  if (position.lineage != snapshot.lineage()) {
    return snapshot.log_time_ms() >= position.log_time.ms;
  }
  return snapshot.covered_offset() > position.next_offset;
}

bool Recovery::MayLoadFromPeer(const ReplicaPosition& position,
                               const std::string& log_lineage,
                               const records::Snapshot& snapshot) {
  if (snapshot.lineage().empty()) {
    return false;
  }
  // A peer may still hold the state of the previous lineage. The current
  // lineage will start from that state, and any state is newer than none.
  if (position.lineage.empty()) {
    return true;
  }
  const std::string& present =
      log_lineage.empty() ? position.lineage : log_lineage;
  return MayLoad(position, present, snapshot);
}

}  // namespace carobrill::ledger
