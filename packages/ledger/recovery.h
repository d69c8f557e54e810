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

/// Where a replica stands between its start and following the log.
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

/// What can happen to a replica that recovers or follows the log.
enum class RecoveryEvent {
  kStart,
  kSnapshotLoaded,
  kReplayFromStart,
  kNothingUsable,
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
      {RecoveryEvent::kNothingUsable, "nothing_usable"},
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

/// Position of a replica; lineage empty when it has no state.
struct ReplicaPosition {
  std::string lineage;
  Offset next_offset = 0;
  Instant log_time;
};

/// The recovery of one replica: its state by the chart `recovery`, and the
/// decisions about which state may replace the current one.
class Recovery {
 public:
  /// Reads the chart from `directory`.
  static Result<Recovery> Load(const std::string& directory);

  explicit Recovery(const RecoveryChart& chart);

  /// Takes an event; false, with the state unchanged, when the chart does not
  /// allow it.
  bool Handle(RecoveryEvent event);

  RecoveryState State() const { return this->state; }

  /// True when the state may be used to serve; it stays true in an outage.
  bool Ready() const { return this->ready; }

  /// True when a snapshot of the log may replace the state at `position`, given
  /// the log's present lineage. An older state never replaces a newer one.
  static bool MayLoad(const ReplicaPosition& position,
                      const std::string& log_lineage,
                      const records::Snapshot& snapshot);

  /// The same for the whole state of a peer; `log_lineage` is empty while the
  /// log has not answered.
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
