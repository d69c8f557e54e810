#ifndef PACKAGES_CORE_RECENCY_MAP_H_
#define PACKAGES_CORE_RECENCY_MAP_H_

#include <cstddef>
#include <list>
#include <map>
#include <utility>

namespace carobrill {

/// Ordered map of limited size: a new entry beyond the limit evicts the one
/// that was not used for the longest time.
template <typename Key, typename Value>
class RecencyMap {
 public:
  using Entry = std::pair<const Key, Value>;

  explicit RecencyMap(std::size_t max_size) : max_size(max_size) {}

  // `positions` refers to the nodes of `entries`, which moves keep.
  RecencyMap(const RecencyMap&) = delete;
  RecencyMap& operator=(const RecencyMap&) = delete;
  RecencyMap(RecencyMap&&) noexcept = default;
  RecencyMap& operator=(RecencyMap&&) noexcept = default;
  ~RecencyMap() = default;

  std::size_t Size() const { return this->entries.size(); }

  /// Returns the value of the key, or null. Does not count as a use.
  const Value* Find(const Key& key) const {
    const auto found = this->positions.find(key);
    return found == this->positions.end() ? nullptr : &found->second->second;
  }
  Value* Find(const Key& key) {
    const auto found = this->positions.find(key);
    return found == this->positions.end() ? nullptr : &found->second->second;
  }

  /// Returns the value of the key, which is created if there is none, and marks
  /// it as the one used last.
  Value& Use(const Key& key) {
    const auto found = this->positions.find(key);
    if (found != this->positions.end()) {
      this->entries.splice(this->entries.begin(), this->entries, found->second);
      return found->second->second;
    }
    if (this->entries.size() >= this->max_size) {
      this->positions.erase(this->entries.back().first);
      this->entries.pop_back();
    }
    this->entries.emplace_front(key, Value{});
    this->positions.emplace(key, this->entries.begin());
    return this->entries.front().second;
  }

  void Erase(const Key& key) {
    const auto found = this->positions.find(key);
    if (found != this->positions.end()) {
      this->entries.erase(found->second);
      this->positions.erase(found);
    }
  }

  /// Erases the entries from `first` on, in the order of the keys, up to the
  /// first key for which `within` is false.
  template <typename Predicate>
  void EraseWhile(const Key& first, Predicate within) {
    auto next = this->positions.lower_bound(first);
    while (next != this->positions.end() && within(next->first)) {
      this->entries.erase(next->second);
      next = this->positions.erase(next);
    }
  }

  /// Returns the entry with the next greater key, or the one with the smallest
  /// if there is none; null when the map is empty. Does not count as a use.
  Entry* Next(const Key& key) {
    auto next = this->positions.upper_bound(key);
    if (next == this->positions.end()) {
      next = this->positions.begin();
    }
    return next == this->positions.end() ? nullptr : &*next->second;
  }

  /// @{
  /// Iterates over the entries; the one used last comes first.
  auto begin() const { return this->entries.begin(); }
  auto end() const { return this->entries.end(); }
  auto begin() { return this->entries.begin(); }
  auto end() { return this->entries.end(); }
  auto rbegin() const { return this->entries.rbegin(); }
  auto rend() const { return this->entries.rend(); }
  /// @}

 private:
  std::size_t max_size;
  std::list<Entry> entries;
  std::map<Key, typename std::list<Entry>::iterator> positions;
};

}  // namespace carobrill

#endif  // PACKAGES_CORE_RECENCY_MAP_H_
