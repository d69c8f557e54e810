#ifndef PACKAGES_LEDGER_RECOVERY_H_
#define PACKAGES_LEDGER_RECOVERY_H_

#include <string>

#include "packages/core/ids.h"
#include "packages/core/name_table.h"
#include "packages/core/result.h"
#include "packages/core/state_chart.h"
#include "packages/core/time.h"
#include "packages/records/records.pb.h"

namespace carobrill::ledger {

/// States of a replica from its start until it follows the log.
enum class RecoveryState {
  kStarting,
  kLoadingSnapshot,
  kTailing,
  kFollowing,
  kFetchingFromPeer,
  kWaiting,
  kLineageChanged,
};

constexpr auto NamesOf(RecoveryState) {
  return MakeNameTable<RecoveryState>({
      {RecoveryState::kStarting, "starting"},
      {RecoveryState::kLoadingSnapshot, "loading_snapshot"},
      {RecoveryState::kTailing, "tailing"},
      {RecoveryState::kFollowing, "following"},
      {RecoveryState::kFetchingFromPeer, "fetching_from_peer"},
      {RecoveryState::kWaiting, "waiting"},
      {RecoveryState::kLineageChanged, "lineage_changed"},
  });
}

/// Events of a replica that recovers or follows the log.
enum class RecoveryEvent {
  kStart,
  kSnapshotLoaded,
  kReplayFromStart,
  kNoUsableSnapshot,
  kStoreUnavailable,
  kPeerStateLoaded,
  kPeerUnavailable,
  kRetry,
  kCaughtUp,
  kOffsetExpired,
  kLineageChanged,
  kLineageStarted,
};

constexpr auto NamesOf(RecoveryEvent) {
  return MakeNameTable<RecoveryEvent>({
      {RecoveryEvent::kStart, "start"},
      {RecoveryEvent::kSnapshotLoaded, "snapshot_loaded"},
      {RecoveryEvent::kReplayFromStart, "replay_from_start"},
      {RecoveryEvent::kNoUsableSnapshot, "nothing_usable"},
      {RecoveryEvent::kStoreUnavailable, "store_unavailable"},
      {RecoveryEvent::kPeerStateLoaded, "peer_state_loaded"},
      {RecoveryEvent::kPeerUnavailable, "peer_unavailable"},
      {RecoveryEvent::kRetry, "retry"},
      {RecoveryEvent::kCaughtUp, "caught_up"},
      {RecoveryEvent::kOffsetExpired, "offset_expired"},
      {RecoveryEvent::kLineageChanged, "lineage_changed"},
      {RecoveryEvent::kLineageStarted, "lineage_started"},
  });
}

using RecoveryChart = StateChart<RecoveryState, RecoveryEvent>;

/// Position of a replica in the log; `lineage` is empty when it has no state. A
/// lineage identifies one history of the log: the log service changes it when
/// it restarts empty or is restored, and offsets of different lineages are not
/// comparable.
struct ReplicaPosition {
  std::string lineage;
  Offset next_offset = 0;
  Instant log_time;
};

/// State machine of the recovery of one replica, defined by the state chart
/// `recovery`, and the rules for which state may replace the current one.
class Recovery {
 public:
  /// Loads the state chart from `directory`.
  static Result<Recovery> Load(const std::string& directory);

  explicit Recovery(const RecoveryChart& chart);

  /// Processes an event. Returns false and keeps the state if the chart has no
  /// such transition.
  bool Handle(RecoveryEvent event);

  RecoveryState State() const { return this->state; }

  /// Whether the replicated state may be used to serve requests. It stays true
  /// during an outage of the log.
  bool Ready() const { return this->ready; }

  /// Whether a snapshot read from the log may replace the state at `position`,
  /// given the current lineage of the log. An older state never replaces a
  /// newer one.
  static bool MayLoad(const ReplicaPosition& position,
                      const std::string& log_lineage,
                      const records::Snapshot& snapshot);

  /// The same for a peer's full state; `log_lineage` is empty until the log
  /// service has answered.
  static bool MayLoadFromPeer(const ReplicaPosition& position,
                              const std::string& log_lineage,
                              const records::Snapshot& snapshot);

 private:
  RecoveryChart chart;
  RecoveryState state;
  bool ready = false;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_RECOVERY_H_
