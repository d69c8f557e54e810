#include "packages/gateway/relay_codec.h"

#include <algorithm>
#include <utility>

namespace carobrill::gateway {
namespace {

/// Longest time that a peer may ask for.
constexpr std::int64_t kMaxTimeMs = 60'000;

std::int64_t LimitedTime(std::int64_t time_ms) {
  return std::clamp<std::int64_t>(time_ms, 0, kMaxTimeMs);
}

rpc::RelayRequest MakeRequest(const std::string& topic,
                              Instant deadline,
                              Instant now) {
  rpc::RelayRequest request;
  request.set_topic(topic);
  request.set_left_ms(std::max<std::int64_t>(0, deadline.RemainingMs(now)));
  return request;
}

template <typename Reply>
rpc::RelayReply MakeReply(const Reply& reply) {
  rpc::RelayReply message;
  message.set_failure(static_cast<std::uint32_t>(reply.failure));
  message.set_end(reply.end);
  return message;
}

KeyedLogFailure DecodeFailure(const rpc::RelayReply& message) {
  return static_cast<KeyedLogFailure>(
      std::min(message.failure(),
               static_cast<std::uint32_t>(KeyedLogFailure::kMalformed)));
}

void AddRecords(const std::vector<KeyedRecord>& records,
                rpc::RelayReply& message) {
  for (const KeyedRecord& record : records) {
    auto* entry = message.add_records();
    entry->set_key(record.entry.key);
    entry->set_value(record.entry.value);
    entry->set_offset(record.offset);
  }
}

std::vector<KeyedRecord> DecodeRecords(const rpc::RelayReply& message) {
  std::vector<KeyedRecord> records;
  for (const auto& entry : message.records()) {
    records.push_back({entry.offset(), {entry.key(), entry.value()}});
  }
  return records;
}

}  // namespace

rpc::RelayRequest ToRelayMessage(const KeyedAppend& append, Instant now) {
  auto request = MakeRequest(append.topic, append.deadline, now);
  auto* call = request.mutable_append();
  for (const KeyedEntry& entry : append.entries) {
    auto* message = call->add_entries();
    message->set_key(entry.key);
    message->set_value(entry.value);
  }
  if (append.expected_end.has_value()) {
    call->set_expected_end(*append.expected_end);
  }
  if (append.writer.has_value()) {
    call->mutable_writer()->set_epoch(append.writer->epoch);
    call->mutable_writer()->set_sequence(append.writer->sequence);
  }
  return request;
}

rpc::RelayRequest ToRelayMessage(const KeyedRead& read, Instant now) {
  auto request = MakeRequest(read.topic, read.deadline, now);
  request.mutable_read()->set_from(read.from);
  request.mutable_read()->set_wait_ms(read.wait_ms);
  return request;
}

rpc::RelayRequest ToRelayMessage(const KeyedSnapshotRead& read, Instant now) {
  auto request = MakeRequest(read.topic, read.deadline, now);
  request.mutable_snapshot()->set_after_key(read.after_key);
  return request;
}

KeyedAppend DecodeAppend(const rpc::RelayRequest& request, Instant now) {
  KeyedAppend append;
  append.topic = request.topic();
  for (const auto& entry : request.append().entries()) {
    append.entries.push_back({entry.key(), entry.value()});
  }
  if (request.append().has_expected_end()) {
    append.expected_end = request.append().expected_end();
  }
  if (request.append().has_writer()) {
    append.writer = {request.append().writer().epoch(),
                     request.append().writer().sequence()};
  }
  append.deadline = now.After(LimitedTime(request.left_ms()));
  return append;
}

KeyedRead DecodeRead(const rpc::RelayRequest& request, Instant now) {
  return {request.topic(), request.read().from(),
          LimitedTime(request.read().wait_ms()),
          now.After(LimitedTime(request.left_ms()))};
}

KeyedSnapshotRead DecodeSnapshotRead(const rpc::RelayRequest& request,
                                     Instant now) {
  return {request.topic(), request.snapshot().after_key(),
          now.After(LimitedTime(request.left_ms()))};
}

rpc::RelayReply ToRelayMessage(const KeyedAppendReply& reply) {
  auto message = MakeReply(reply);
  message.set_first(reply.first);
  return message;
}

rpc::RelayReply ToRelayMessage(const KeyedReadReply& reply) {
  auto message = MakeReply(reply);
  message.set_next(reply.next);
  AddRecords(reply.records, message);
  return message;
}

rpc::RelayReply ToRelayMessage(const KeyedSnapshotReply& reply) {
  auto message = MakeReply(reply);
  message.set_more(reply.more);
  AddRecords(reply.records, message);
  return message;
}

void FromRelayMessage(const rpc::RelayReply& message, KeyedAppendReply& reply) {
  reply = {DecodeFailure(message), message.first(), message.end()};
}

void FromRelayMessage(const rpc::RelayReply& message, KeyedReadReply& reply) {
  reply = {DecodeFailure(message), DecodeRecords(message), message.next(),
           message.end()};
}

void FromRelayMessage(const rpc::RelayReply& message,
                      KeyedSnapshotReply& reply) {
  reply = {DecodeFailure(message), DecodeRecords(message), message.more(),
           message.end()};
}

}  // namespace carobrill::gateway
