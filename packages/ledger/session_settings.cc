#include "packages/ledger/session_settings.h"

namespace carobrill::ledger {

bool SessionSettings::Valid() const {
  return !this->record_stream.empty() && !this->snapshot_stream.empty() &&
         this->record_stream != this->snapshot_stream &&
         this->appender.Valid() && this->max_read_records > 0 &&
         this->max_read_chunks > 0 && this->read_wait_ms >= 0 &&
         this->call_timeout_ms > 0 && this->first_retry_ms > 0 &&
         this->max_retry_ms >= this->first_retry_ms &&
         this->snapshot_poll_ms > 0 && this->lineage_poll_ms > 0 &&
         this->lineage_settle_ms >= 0 && this->restored_log_wait_ms >= 0 &&
         this->retention_ms > 0 && this->records_per_snapshot > 0 &&
         this->records_per_checkpoint > 0;
}

}  // namespace carobrill::ledger
