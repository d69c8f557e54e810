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

// A sequence is given only to records that are sent, so an abandoned record
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
      [&](const Queued& entry) { return entry.proposal == proposal; });
  return queued ? ProposalState::kQueued : ProposalState::kFinished;
}

std::optional<Batch> Appender::NextBatch(Instant now) {
  if (this->batch.empty()) {
    if (this->queue.empty()) {
      return std::nullopt;
    }
    this->FormBatch();
    this->resend_at = now;
  }
  if (this->call_open || now < this->resend_at) {
    return std::nullopt;
  }
  this->call_open = true;
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

// An answer says nothing final: a lost one may belong to a batch that was
// written, and a positive one may belong to a lineage that is gone by now.
void Appender::OnAnswered(std::uint64_t id,
                          const AppendReply& reply,
                          Instant now) {
  if (id != this->batch_id || !this->call_open) {
    return;
  }
  this->call_open = false;
  this->resend_at = now.After(reply.failure == StoreFailure::kNone
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
  InFlight& entry = this->batch[sequence - first];
  if (entry.read_back) {
    return std::nullopt;
  }
  entry.read_back = true;
  const ProposalId proposal = entry.proposal;
  this->FinishBatchWhenRead();
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
  this->FinishBatchWhenRead();
  return covered;
}

void Appender::Renew(std::uint64_t incarnation) {
  assert(incarnation != this->writer.incarnation());
  for (auto entry = this->batch.rbegin(); entry != this->batch.rend();
       ++entry) {
    records::Record record;
    if (!entry->read_back && record.ParseFromString(entry->data)) {
      this->queue.push_front({entry->proposal, std::move(record)});
    }
  }
  this->batch.clear();
  this->call_open = false;
  this->writer.set_incarnation(incarnation);
  this->last_sequence = 0;
}

Instant Appender::NextDeadline() const {
  if (this->call_open || (this->batch.empty() && this->queue.empty())) {
    return Instant::Never();
  }
  return this->batch.empty() ? Instant{} : this->resend_at;
}

std::size_t Appender::RecordsInFlight() const {
  return static_cast<std::size_t>(
      std::count_if(this->batch.begin(), this->batch.end(),
                    [](const InFlight& entry) { return !entry.read_back; }));
}

// Ids ascend through the queue, since a renewed batch goes back to its head.
std::deque<Appender::Queued>::iterator Appender::FindQueued(
    ProposalId proposal) {
  const auto found = std::lower_bound(
      this->queue.begin(), this->queue.end(), proposal,
      [](const Queued& entry, ProposalId id) { return entry.proposal < id; });
  const bool hit = found != this->queue.end() && found->proposal == proposal;
  return hit ? found : this->queue.end();
}

void Appender::FormBatch() {
  ++this->batch_id;
  this->attempts = 0;
  std::size_t bytes = 0;
  while (!this->queue.empty() &&
         this->batch.size() < this->settings.max_batch_records) {
    Queued& next = this->queue.front();
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

// The call may still be open: its answer carries the id of this batch and is
// ignored from now on.
void Appender::FinishBatchWhenRead() {
  if (this->RecordsInFlight() == 0) {
    this->batch.clear();
    this->call_open = false;
  }
}

}  // namespace carobrill::ledger
