#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "packages/ledger/appender.h"
#include "packages/ledger/peer_sync.h"
#include "packages/ledger/snapshot_assembler.h"
#include "packages/ledger/snapshot_writer.h"

namespace carobrill::ledger {
namespace {

using records::Verdict;

constexpr std::size_t kRecords = 200'000;
constexpr std::size_t kPayloadBytes = 100;

/// State that counts records and carries `bytes` of payload in snapshots.
struct CountingState {
  std::uint64_t count = 0;
  std::string bytes;

  Verdict Apply(const records::Record&, Offset, Instant) {
    ++this->count;
    return Verdict::kAccepted;
  }
  void Save(records::Snapshot& out) const { out.set_scheduling(this->bytes); }
  bool Load(const records::Snapshot& in) {
    this->bytes = in.scheduling();
    return true;
  }
  std::uint64_t Hash() const { return HashOf(this->bytes); }
};

records::Writer BenchWriter() {
  records::Writer writer;
  writer.set_instance("bench");
  writer.set_incarnation(1);
  return writer;
}

records::Record BenchRecord() {
  records::Record record;
  record.mutable_job_cancelled()->set_job(std::string(kPayloadBytes, 'j'));
  return record;
}

/// Runs `function` and returns its duration in milliseconds.
template <typename Function>
double MeasureMs(Function&& function) {
  const auto start = std::chrono::steady_clock::now();
  function();
  const std::chrono::duration<double, std::milli> taken =
      std::chrono::steady_clock::now() - start;
  return taken.count();
}

void PrintRate(const char* name, double ms) {
  std::printf("%s: %zu records in %.0f ms, %.0f records/s\n", name, kRecords,
              ms, static_cast<double>(kRecords) * 1000 / ms);
}

/// Passes all records through an Appender and returns the stored records.
std::vector<StoreRecord> RunAppender() {
  AppenderSettings settings;
  settings.max_queued_records = kRecords;
  Appender appender(settings, BenchWriter());
  std::vector<StoreRecord> stored;
  stored.reserve(kRecords);
  const records::Record record = BenchRecord();
  const double ms = MeasureMs([&] {
    for (std::size_t i = 0; i < kRecords; ++i) {
      appender.Add(record);
    }
    const Instant now{1};
    while (auto batch = appender.NextBatch(now)) {
      appender.OnReply(batch->id, {}, now);
      for (auto& data : batch->records) {
        stored.push_back({stored.size(), now, std::move(data)});
        appender.OnRead(appender.WriterId(), stored.size());
      }
    }
  });
  PrintRate("append", ms);
  std::printf("append: %llu batches\n",
              static_cast<unsigned long long>(appender.BatchesSent()));
  return stored;
}

void RunApply(const std::vector<StoreRecord>& stored) {
  Replica<CountingState> replica;
  replica.StartLineage("bench", 0);
  PrintRate("fold", MeasureMs([&] {
              for (const auto& record : stored) {
                replica.Apply(record);
              }
            }));
  if (replica.Counts().applied != stored.size()) {
    std::abort();
  }
}

/// Returns a replica at `offset` with `bytes` of random state.
Replica<CountingState> MakeReplica(std::size_t bytes, Offset offset) {
  CountingState state;
  std::mt19937_64 random(7);
  while (state.bytes.size() < bytes) {
    state.bytes += static_cast<char>(random());
  }
  Replica<CountingState> replica(std::move(state));
  replica.StartLineage("bench", offset);
  return replica;
}

void RunSnapshot(const Replica<CountingState>& replica) {
  std::vector<std::string> chunks;
  std::size_t bytes = 0;
  const double write_ms = MeasureMs([&] {
    for (const auto& chunk : SplitSnapshot(replica.Save(), BenchWriter())) {
      chunks.push_back(chunk.SerializeAsString());
      bytes += chunks.back().size();
    }
  });
  Replica<CountingState> copy;
  SnapshotAssembler assembler;
  bool loaded = false;
  const double load_ms = MeasureMs([&] {
    for (auto& chunk : chunks) {
      if (const auto whole = assembler.Add({0, Instant{1}, std::move(chunk)})) {
        loaded = copy.Load(*whole);
      }
    }
  });
  std::printf(
      "snapshot: %zu chunks, %zu bytes, write %.2f ms, load %.2f ms%s\n",
      chunks.size(), bytes, write_ms, load_ms, loaded ? "" : " (FAILED)");
}

/// Measures one full or partial state transfer to a lagging replica.
void RunTransfer(const char* kind,
                 const Replica<CountingState>& source,
                 const ReplicationBacklog& backlog,
                 const PeerQuery& query,
                 Replica<CountingState>& target) {
  std::size_t bytes = 0;
  const double ms = MeasureMs([&] {
    const PeerReply answer = AnswerPeerQuery(source, backlog, query);
    bytes = answer.Bytes();
    records::Snapshot snapshot;
    if (answer.IsFull() &&
        !(snapshot.ParseFromString(answer.snapshot) && target.Load(snapshot))) {
      std::abort();
    }
    for (const auto& record : answer.records) {
      target.Apply(record);
    }
  });
  std::printf("  %s: %zu bytes, %.2f ms\n", kind, bytes, ms);
}

void RunTransfers(const std::vector<StoreRecord>& stored, std::size_t bytes) {
  std::printf("state of %zu bytes\n", bytes);
  for (const std::size_t lag_records : {100, 1'000, 10'000}) {
    Replica<CountingState> source = MakeReplica(bytes, 0);
    Replica<CountingState> target = source;
    ReplicationBacklog backlog;
    backlog.Reset("bench", 0);
    for (std::size_t i = 0; i < lag_records; ++i) {
      source.Apply(stored[i]);
      backlog.Add(stored[i]);
    }
    std::printf(" %zu records behind\n", lag_records);
    Replica<CountingState> empty;
    RunTransfer("full", source, backlog, {"", 0}, empty);
    RunTransfer("partial", source, backlog, {"bench", 0}, target);
  }
}

void Run() {
  const auto stored = RunAppender();
  RunApply(stored);
  for (const std::size_t bytes : {100'000, 1'000'000, 10'000'000}) {
    RunSnapshot(MakeReplica(bytes, 1));
    RunTransfers(stored, bytes);
  }
}

}  // namespace
}  // namespace carobrill::ledger

int main() {
  carobrill::ledger::Run();
  return 0;
}
