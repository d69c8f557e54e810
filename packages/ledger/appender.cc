#include "packages/ledger/appender.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace carobrill::ledger {

bool AppenderSettings::Valid() const {
  return this->max_batch_bytes > 0 && this->max_batch_records > 0 &&
         this->max_queued_records > 0 && this->read_back_timeout_ms > 0 &&
         this->first_retry_ms > 0 && this->max_retry_ms >= this->first_retry_ms;
}

Appender::Appender(const AppenderSettings& settings, records::Writer writer)
    : settings(settings), writer(std::move(writer)) {
  assert(settings.Valid());
}

std::optional<ProposalId> Appender::Add(records::Record record) {
  if (this->queue.size() >= this->settings.max_queued_records) {
    return std::nullopt;
  }
  this->queue.push_back({++this->last_proposal, std::move(record)});
  return this->last_proposal;
}

// Sequence numbers are assigned when a batch is built, so an abandoned record
// leaves no gap.
bool Appender::Abandon(ProposalId proposal) {
  const auto found = this->FindQueued(proposal);
  if (found == this->queue.end()) {
    return false;
  }
  this->queue.erase(found);
  return true;
}

ProposalState Appender::StateOf(ProposalId proposal) const {
  for (const auto& sent : this->batch) {
    if (sent.proposal == proposal) {
      return sent.read_back ? ProposalState::kFinished : ProposalState::kSent;
    }
  }
  const bool queued = std::any_of(
      this->queue.begin(), this->queue.end(),
      [&](const QueuedRecord& entry) { return entry.proposal == proposal; });
  return queued ? ProposalState::kQueued : ProposalState::kFinished;
}

std::optional<Batch> Appender::NextBatch(Instant now) {
  if (this->batch.empty()) {
    if (this->queue.empty()) {
      return std::nullopt;
    }
    this->BuildBatch();
    this->next_send_at = now;
  }
  if (this->call_in_flight || now < this->next_send_at) {
    return std::nullopt;
  }
  this->call_in_flight = true;
  ++this->attempts;
  ++this->batches_sent;
  Batch sent;
  sent.id = this->batch_id;
  for (const auto& entry : this->batch) {
    if (!entry.read_back) {
      sent.records.push_back(entry.data);
    }
  }
  return sent;
}

// A reply is never conclusive: after a lost reply the batch may have been
// written, and a successful reply may refer to a lineage that the log has since
// replaced. Only reading the records back completes a batch.
void Appender::OnReply(std::uint64_t id,
                       const AppendReply& reply,
                       Instant now) {
  if (id != this->batch_id || !this->call_in_flight) {
    return;
  }
  this->call_in_flight = false;
  this->next_send_at = now.After(reply.failure == StoreFailure::kNone
                                     ? this->settings.read_back_timeout_ms
                                     : this->BackoffMs());
}

std::optional<ProposalId> Appender::OnRead(const records::Writer& name,
                                           std::uint64_t sequence) {
  if (this->batch.empty() || name.incarnation() != this->writer.incarnation() ||
      name.instance() != this->writer.instance()) {
    return std::nullopt;
  }
  const std::uint64_t first = this->batch.front().sequence;
  if (sequence < first || sequence - first >= this->batch.size()) {
    return std::nullopt;
  }
  InFlightRecord& entry = this->batch[sequence - first];
  if (entry.read_back) {
    return std::nullopt;
  }
  entry.read_back = true;
  const ProposalId proposal = entry.proposal;
  this->CompleteBatchIfReadBack();
  return proposal;
}

std::vector<ProposalId> Appender::OnStateReplaced(
    std::uint64_t covered_sequence) {
  std::vector<ProposalId> covered;
  for (auto& entry : this->batch) {
    if (!entry.read_back && entry.sequence <= covered_sequence) {
      entry.read_back = true;
      covered.push_back(entry.proposal);
    }
  }
  this->CompleteBatchIfReadBack();
  return covered;
}

void Appender::ChangeIncarnation(std::uint64_t incarnation) {
  assert(incarnation != this->writer.incarnation());
  for (auto entry = this->batch.rbegin(); entry != this->batch.rend();
       ++entry) {
    records::Record record;
    if (!entry->read_back && record.ParseFromString(entry->data)) {
      this->queue.push_front({entry->proposal, std::move(record)});
    }
  }
  this->batch.clear();
  this->call_in_flight = false;
  this->writer.set_incarnation(incarnation);
  this->last_sequence = 0;
}

Instant Appender::NextDeadline() const {
  if (this->call_in_flight || (this->batch.empty() && this->queue.empty())) {
    return Instant::Never();
  }
  return this->batch.empty() ? Instant{} : this->next_send_at;
}

std::size_t Appender::RecordsInFlight() const {
  return static_cast<std::size_t>(std::count_if(
      this->batch.begin(), this->batch.end(),
      [](const InFlightRecord& entry) { return !entry.read_back; }));
}

// Proposal ids ascend through the queue because `ChangeIncarnation` returns the
// records in flight to its head.
std::deque<Appender::QueuedRecord>::iterator Appender::FindQueued(
    ProposalId proposal) {
  const auto found =
      std::lower_bound(this->queue.begin(), this->queue.end(), proposal,
                       [](const QueuedRecord& entry, ProposalId id) {
                         return entry.proposal < id;
                       });
  const bool hit = found != this->queue.end() && found->proposal == proposal;
  return hit ? found : this->queue.end();
}

void Appender::BuildBatch() {
  ++this->batch_id;
  this->attempts = 0;
  std::size_t bytes = 0;
  while (!this->queue.empty() &&
         this->batch.size() < this->settings.max_batch_records) {
    QueuedRecord& next = this->queue.front();
    *next.record.mutable_writer() = this->writer;
    next.record.set_sequence(this->last_sequence + 1);
    std::string data = next.record.SerializeAsString();
    if (!this->batch.empty() &&
        bytes + data.size() > this->settings.max_batch_bytes) {
      break;
    }
    ++this->last_sequence;
    bytes += data.size();
    this->batch.push_back(
        {next.proposal, this->last_sequence, std::move(data), false});
    this->queue.pop_front();
  }
}

std::int64_t Appender::BackoffMs() const {
  std::int64_t delay = this->settings.first_retry_ms;
  for (std::uint32_t i = 1;
       i < this->attempts && delay < this->settings.max_retry_ms; ++i) {
    delay *= 2;
  }
  return std::min(delay, this->settings.max_retry_ms);
}

// A call may still be in flight. Its reply carries the id of the completed
// batch and will be ignored.
void Appender::CompleteBatchIfReadBack() {
  if (this->RecordsInFlight() == 0) {
    this->batch.clear();
    this->call_in_flight = false;
  }
}

}  // namespace carobrill::ledger
