#include "packages/testing/log_store.h"

#include <utility>

namespace carobrill::testing {

AppendReply LogStore::Append(const std::string& stream,
                             const std::vector<std::string>& records,
                             Instant now) {
  Stream& target = this->streams[stream];
  const Offset first = this->NextOffset(stream);
  ++this->appends;
  for (const auto& data : records) {
    this->appended_bytes += data.size();
    target.records.push_back({this->NextOffset(stream), now, data});
  }
  this->NotifyWaiters();
  return {StoreFailure::kNone, this->lineage, first};
}

ReadReply LogStore::Read(const ReadQuery& query) const {
  ReadReply reply;
  reply.lineage = this->lineage;
  const auto found = this->streams.find(query.stream);
  if (found == this->streams.end()) {
    return reply;
  }
  const Stream& stream = found->second;
  reply.oldest_offset = stream.oldest_offset;
  reply.next_offset = stream.oldest_offset + stream.records.size();
  if (query.from < stream.oldest_offset) {
    reply.failure = StoreFailure::kExpired;
    return reply;
  }
  for (Offset offset = query.from;
       offset < reply.next_offset && reply.records.size() < query.max;
       ++offset) {
    reply.records.push_back(stream.records[offset - stream.oldest_offset]);
  }
  return reply;
}

void LogStore::ExpireBefore(const std::string& stream, Offset offset) {
  Stream& target = this->streams[stream];
  while (target.oldest_offset < offset && !target.records.empty()) {
    target.records.pop_front();
    ++target.oldest_offset;
  }
  this->NotifyWaiters();
}

void LogStore::StartLineage(bool keep_content) {
  this->lineage = "lineage-" + std::to_string(++this->lineage_number);
  if (!keep_content) {
    this->streams.clear();
  }
  this->NotifyWaiters();
}

void LogStore::WaitForChange(std::function<void()> waiter) {
  this->waiters.push_back(std::move(waiter));
}

// The list is cleared first because a waiter may register itself again.
void LogStore::NotifyWaiters() {
  for (const auto& waiter : std::exchange(this->waiters, {})) {
    waiter();
  }
}

Offset LogStore::NextOffset(const std::string& stream) const {
  const auto found = this->streams.find(stream);
  return found == this->streams.end()
             ? 0
             : found->second.oldest_offset + found->second.records.size();
}

}  // namespace carobrill::testing
