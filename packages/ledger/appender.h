#ifndef PACKAGES_LEDGER_APPENDER_H_
#define PACKAGES_LEDGER_APPENDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "packages/core/store.h"
#include "packages/core/time.h"
#include "packages/ledger/proposal.h"
#include "packages/records/records.pb.h"

namespace carobrill::ledger {

/// Limits and timeouts of an Appender.
struct AppenderSettings {
  std::size_t max_batch_bytes = 512 * 1024;
  std::size_t max_batch_records = 512;
  std::size_t max_queued_records = 20'000;
  /// How long after a successful append the batch is sent again unless all its
  /// records have been read back from the log.
  std::int64_t read_back_timeout_ms = 2'000;
  std::int64_t first_retry_ms = 50;
  std::int64_t max_retry_ms = 2'000;

  /// Whether all limits are positive and the retry delays are in order.
  bool Valid() const;
};

/// Records of one append call to the log service.
struct Batch {
  std::uint64_t id = 0;
  std::vector<std::string> records;
};

/// Queues proposed records and sends them with at most one batch in flight. A
/// batch is sent again until all its records have been read back from the log;
/// only then is the next batch built.
class Appender {
 public:
  /// `writer` identifies this process in the records it appends.
  Appender(const AppenderSettings& settings, records::Writer writer);

  /// Queues `record`; returns no value when the queue is full.
  std::optional<ProposalId> Add(records::Record record);

  /// Removes a record that is still queued. Returns true if the record will
  /// certainly never be written, false if it has already been sent or has
  /// finished.
  bool Abandon(ProposalId proposal);

  /// State of a proposal; kFinished also for an unknown id.
  ProposalState StateOf(ProposalId proposal) const;

  /// Returns the batch to send at `now`, if one is due. The caller sends it and
  /// passes the reply to `OnReply`; replies may be late or duplicated.
  std::optional<Batch> NextBatch(Instant now);

  /// Handles the reply to batch `id`, or the failure to get one.
  void OnReply(std::uint64_t id, const AppendReply& reply, Instant now);

  /// Handles a record read from the log. Returns its proposal if the record
  /// belongs to the batch in flight and is read back for the first time.
  std::optional<ProposalId> OnRead(const records::Writer& writer,
                                   std::uint64_t sequence);

  /// Handles a state loaded as a whole that covers the records of this writer
  /// up to `covered_sequence`. Returns the proposals in flight that it covers.
  std::vector<ProposalId> OnStateReplaced(std::uint64_t covered_sequence);

  /// Continues under another incarnation and returns the records in flight to
  /// the head of the queue. Safe only if none of those records was ever
  /// applied.
  void ChangeIncarnation(std::uint64_t incarnation);

  /// Latest time at which `NextBatch` must be called again.
  Instant NextDeadline() const;

  const records::Writer& WriterId() const { return this->writer; }
  std::size_t QueuedRecords() const { return this->queue.size(); }
  std::size_t RecordsInFlight() const;
  std::uint64_t BatchesSent() const { return this->batches_sent; }

 private:
  struct QueuedRecord {
    ProposalId proposal = 0;
    records::Record record;
  };
  struct InFlightRecord {
    ProposalId proposal = 0;
    std::uint64_t sequence = 0;
    std::string data;
    bool read_back = false;
  };

  std::deque<QueuedRecord>::iterator FindQueued(ProposalId proposal);
  void BuildBatch();
  std::int64_t BackoffMs() const;
  void CompleteBatchIfReadBack();

  AppenderSettings settings;
  records::Writer writer;
  std::deque<QueuedRecord> queue;
  std::vector<InFlightRecord> batch;
  ProposalId last_proposal = 0;
  std::uint64_t last_sequence = 0;
  std::uint64_t batch_id = 0;
  std::uint64_t batches_sent = 0;
  std::uint32_t attempts = 0;
  bool call_in_flight = false;
  Instant next_send_at;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_APPENDER_H_
