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

/// Limits of the queue of proposed records.
struct AppenderSettings {
  std::size_t max_batch_bytes = 512 * 1024;
  std::size_t max_batch_records = 512;
  std::size_t max_queued_records = 20'000;
  /// How long to wait for an answered batch to be read back.
  std::int64_t read_back_timeout_ms = 2'000;
  std::int64_t first_retry_ms = 50;
  std::int64_t max_retry_ms = 2'000;

  /// True when the limits can be worked with.
  bool Valid() const;
};

/// A batch that is to be sent to the log service.
struct Batch {
  std::uint64_t id = 0;
  std::vector<std::string> records;
};

/// Queue of proposed records with one batch in flight. A batch is retried
/// until all its records have been read back; the next batch waits for that.
class Appender {
 public:
  /// `writer` names this process in its records.
  Appender(const AppenderSettings& settings, records::Writer writer);

  /// Queues `record`; nothing when the queue is full.
  std::optional<ProposalId> Add(records::Record record);

  /// Removes a record that was never sent. True means that the record is
  /// certain never to be written; false means that it was sent or has ended.
  bool Abandon(ProposalId proposal);

  /// What is known about a proposal.
  ProposalState StateOf(ProposalId proposal) const;

  /// The batch to send at `now`, if it is time to send one. The caller sends it
  /// and reports each answer by `OnAnswered`, which may be late or repeated.
  std::optional<Batch> NextBatch(Instant now);

  /// Takes the answer to batch `id`, or the fact that none came.
  void OnAnswered(std::uint64_t id, const AppendReply& reply, Instant now);

  /// Takes a record that was read from the log; returns the proposal when it is
  /// one of the batch in flight that has not been read back before.
  std::optional<ProposalId> OnRead(const records::Writer& writer,
                                   std::uint64_t sequence);

  /// Takes the sequence of this writer that a loaded state covers; returns the
  /// proposals in flight that it covers.
  std::vector<ProposalId> OnStateReplaced(std::uint64_t covered_sequence);

  /// Continues with another incarnation. The records in flight are returned to
  /// the head of the queue. Only for records that were certainly never applied.
  void Renew(std::uint64_t incarnation);

  /// When `NextBatch` must be called again at the latest.
  Instant NextDeadline() const;

  const records::Writer& Name() const { return this->writer; }
  std::size_t QueuedRecords() const { return this->queue.size(); }
  std::size_t RecordsInFlight() const;
  std::uint64_t BatchesSent() const { return this->batches_sent; }

 private:
  struct Queued {
    ProposalId proposal = 0;
    records::Record record;
  };
  struct InFlight {
    ProposalId proposal = 0;
    std::uint64_t sequence = 0;
    std::string data;
    bool read_back = false;
  };

  std::deque<Queued>::iterator FindQueued(ProposalId proposal);
  void FormBatch();
  std::int64_t BackoffMs() const;
  void FinishBatchWhenRead();

  AppenderSettings settings;
  records::Writer writer;
  std::deque<Queued> queue;
  std::vector<InFlight> batch;
  ProposalId last_proposal = 0;
  std::uint64_t last_sequence = 0;
  std::uint64_t batch_id = 0;
  std::uint64_t batches_sent = 0;
  std::uint32_t attempts = 0;
  bool call_open = false;
  Instant resend_at;
};

}  // namespace carobrill::ledger

#endif  // PACKAGES_LEDGER_APPENDER_H_
