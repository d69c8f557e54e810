#ifndef PACKAGES_SCHEDULING_STATE_ARCHIVE_H_
#define PACKAGES_SCHEDULING_STATE_ARCHIVE_H_

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "packages/core/ids.h"
#include "packages/core/time.h"

namespace carobrill::scheduling {

/// Serializes state deterministically: equal state gives equal bytes.
class StateWriter {
 public:
  void Varint(std::uint64_t value) {
    for (; value >= 0x80; value >>= 7) {
      this->bytes.push_back(static_cast<char>(value | 0x80));
    }
    this->bytes.push_back(static_cast<char>(value));
  }
  void String(const std::string& text) {
    this->Varint(text.size());
    this->bytes += text;
  }
  std::string TakeBytes() { return std::move(this->bytes); }

 private:
  std::string bytes;
};

/// Deserializes the output of StateWriter. After an error all reads return zero
/// or an empty string.
class StateReader {
 public:
  explicit StateReader(std::string_view text) : rest(text) {}

  std::uint64_t Varint() {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
      if (this->rest.empty()) {
        break;
      }
      const auto byte = static_cast<unsigned char>(this->rest.front());
      this->rest.remove_prefix(1);
      value |= std::uint64_t{byte & 0x7fU} << shift;
      if (byte < 0x80) {
        return value;
      }
    }
    this->Fail();
    return 0;
  }
  /// Reads the size of a container. Each element takes at least one byte, so a
  /// size beyond the remaining input is an error.
  std::uint64_t Count() {
    const std::uint64_t count = this->Varint();
    if (count > this->rest.size()) {
      this->Fail();
      return 0;
    }
    return count;
  }
  std::string String() {
    const std::uint64_t size = this->Count();
    std::string text(this->rest.substr(0, size));
    this->rest.remove_prefix(size);
    return text;
  }
  void Fail() {
    this->rest = {};
    this->failed = true;
  }
  /// True if the whole input was read without an error.
  bool Complete() const { return this->rest.empty() && !this->failed; }

 private:
  std::string_view rest;
  bool failed = false;
};

namespace detail {

template <typename T>
concept Scalar = std::integral<T> || std::is_enum_v<T>;

}  // namespace detail

// Writing. Structs are written by their overload of VisitFields.

template <detail::Scalar T>
void Visit(StateWriter& writer, const T& value) {
  writer.Varint(static_cast<std::uint64_t>(value));
}
inline void Visit(StateWriter& writer, const std::string& text) {
  writer.String(text);
}
inline void Visit(StateWriter& writer, const Instant& instant) {
  writer.Varint(static_cast<std::uint64_t>(instant.ms));
}
template <typename Tag>
void Visit(StateWriter& writer, const Id<Tag>& id) {
  writer.String(id.value);
}
template <typename T>
void Visit(StateWriter& writer, const std::optional<T>& value);
template <typename A, typename B>
void Visit(StateWriter& writer, const std::pair<A, B>& pair);
template <typename T>
void Visit(StateWriter& writer, const std::vector<T>& values);
template <typename T>
void Visit(StateWriter& writer, const std::set<T>& values);
template <typename K, typename V>
void Visit(StateWriter& writer, const std::map<K, V>& values);

template <typename T>
requires requires(StateWriter& writer, const T& value) {
  VisitFields(writer, value);
}
void Visit(StateWriter& writer, const T& value) {
  VisitFields(writer, value);
}
template <typename T>
void Visit(StateWriter& writer, const std::optional<T>& value) {
  Visit(writer, value.has_value());
  if (value.has_value()) {
    Visit(writer, *value);
  }
}
template <typename A, typename B>
void Visit(StateWriter& writer, const std::pair<A, B>& pair) {
  Visit(writer, pair.first);
  Visit(writer, pair.second);
}

namespace detail {

template <typename Range>
void WriteRange(StateWriter& writer, const Range& range) {
  writer.Varint(range.size());
  for (const auto& element : range) {
    Visit(writer, element);
  }
}

}  // namespace detail

template <typename T>
void Visit(StateWriter& writer, const std::vector<T>& values) {
  detail::WriteRange(writer, values);
}
template <typename T>
void Visit(StateWriter& writer, const std::set<T>& values) {
  detail::WriteRange(writer, values);
}
template <typename K, typename V>
void Visit(StateWriter& writer, const std::map<K, V>& values) {
  detail::WriteRange(writer, values);
}

// Reading.

template <detail::Scalar T>
void Visit(StateReader& reader, T& value) {
  value = static_cast<T>(reader.Varint());
}
inline void Visit(StateReader& reader, std::string& text) {
  text = reader.String();
}
inline void Visit(StateReader& reader, Instant& instant) {
  instant.ms = static_cast<std::int64_t>(reader.Varint());
}
template <typename Tag>
void Visit(StateReader& reader, Id<Tag>& id) {
  id.value = reader.String();
}
template <typename T>
void Visit(StateReader& reader, std::optional<T>& value);
template <typename A, typename B>
void Visit(StateReader& reader, std::pair<A, B>& pair);
template <typename T>
void Visit(StateReader& reader, std::vector<T>& values);
template <typename T>
void Visit(StateReader& reader, std::set<T>& values);
template <typename K, typename V>
void Visit(StateReader& reader, std::map<K, V>& values);

template <typename T>
requires requires(StateReader& reader, T& value) {
  VisitFields(reader, value);
}
void Visit(StateReader& reader, T& value) {
  VisitFields(reader, value);
}
template <typename T>
void Visit(StateReader& reader, std::optional<T>& value) {
  value.reset();
  if (reader.Varint() != 0) {
    Visit(reader, value.emplace());
  }
}
template <typename A, typename B>
void Visit(StateReader& reader, std::pair<A, B>& pair) {
  Visit(reader, pair.first);
  Visit(reader, pair.second);
}
template <typename T>
void Visit(StateReader& reader, std::vector<T>& values) {
  values.clear();
  for (std::uint64_t left = reader.Count(); left > 0; --left) {
    Visit(reader, values.emplace_back());
  }
}
template <typename T>
void Visit(StateReader& reader, std::set<T>& values) {
  values.clear();
  for (std::uint64_t left = reader.Count(); left > 0; --left) {
    T value{};
    Visit(reader, value);
    values.insert(std::move(value));
  }
}
template <typename K, typename V>
void Visit(StateReader& reader, std::map<K, V>& values) {
  values.clear();
  for (std::uint64_t left = reader.Count(); left > 0; --left) {
    std::pair<K, V> entry;
    Visit(reader, entry);
    values.insert(std::move(entry));
  }
}

/// Visits each of `fields` in turn.
template <typename Archive, typename... Fields>
void VisitEach(Archive& archive, Fields&... fields) {
  (Visit(archive, fields), ...);
}

}  // namespace carobrill::scheduling

#endif  // PACKAGES_SCHEDULING_STATE_ARCHIVE_H_
