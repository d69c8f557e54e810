#ifndef PACKAGES_DAEMON_AUDIT_TRAIL_H_
#define PACKAGES_DAEMON_AUDIT_TRAIL_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/time.h"
#include "packages/daemon/api_types.h"
#include "packages/records/records.pb.h"
#include "packages/records/verdict.h"

namespace carobrill::daemon {

/// The most recent changes in the log: who changed what and when, and the
/// verdict. The rule book keeps the history of rule versions beyond this limit.
class AuditTrail {
 public:
  /// Keeps at most `limit` changes.
  explicit AuditTrail(std::size_t limit) : limit(limit) {}

  /// Adds a record that was read from the log. Ignores record types that only
  /// report internal progress.
  void Add(const records::Record& record,
           Offset offset,
           Instant appended_at,
           records::Verdict verdict);

  /// The retained changes, oldest first.
  const std::deque<AuditView>& Changes() const { return this->changes; }

 private:
  std::size_t limit;
  std::deque<AuditView> changes;
};

}  // namespace carobrill::daemon

#endif  // PACKAGES_DAEMON_AUDIT_TRAIL_H_
