#include "packages/ledger/backlog.h"

#include <utility>

namespace carobrill::ledger {

ReplicationBacklog::ReplicationBacklog(std::size_t max_bytes)
    : max_bytes(max_bytes) {}

void ReplicationBacklog::Reset(std::string name, Offset offset) {
  this->lineage = std::move(name);
  this->first_offset = offset;
  this->next_offset = offset;
  this->bytes = 0;
  this->records.clear();
}

void ReplicationBacklog::Add(const StoreRecord& record) {
  if (record.offset != this->next_offset) {
    this->Reset(this->lineage, record.offset);
  }
  this->records.push_back(record);
  this->bytes += MemoryBytes(record);
  this->next_offset = record.offset + 1;
  while (this->bytes > this->max_bytes) {
    this->bytes -= MemoryBytes(this->records.front());
    this->records.pop_front();
    ++this->first_offset;
  }
}

// Counts the fixed size of each element as well: malformed records with empty
// data are kept too and would otherwise use unbounded memory.
std::size_t ReplicationBacklog::MemoryBytes(const StoreRecord& record) {
  return sizeof(StoreRecord) + record.data.size();
}

bool ReplicationBacklog::Covers(const std::string& name, Offset offset) const {
  return !name.empty() && name == this->lineage &&
         offset >= this->first_offset && offset <= this->next_offset;
}

std::vector<StoreRecord> ReplicationBacklog::RecordsFrom(Offset offset) const {
  if (offset < this->first_offset || offset >= this->next_offset) {
    return {};
  }
  const auto begin = this->records.begin() +
                     static_cast<std::ptrdiff_t>(offset - this->first_offset);
  return {begin, this->records.end()};
}

}  // namespace carobrill::ledger
