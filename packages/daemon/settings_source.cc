#include "packages/daemon/settings_source.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <utility>

namespace carobrill::daemon {
namespace {

using Json = nlohmann::json;

// Valid settings nest at most 3 levels; the limit bounds the cost of parsing a
// malicious file.
constexpr std::size_t kMaxDepth = 16;

/// Input iterator that counts lines, since the parser does not report the
/// positions of keys.
class LineCounter {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  LineCounter(const char* position, std::uint32_t* line)
      : position(position), line(line) {}

  reference operator*() const { return *this->position; }

  LineCounter& operator++() {
    if (*this->position == '\n') {
      ++*this->line;
    }
    ++this->position;
    return *this;
  }

  bool operator==(const LineCounter& other) const {
    return this->position == other.position;
  }

 private:
  const char* position;
  std::uint32_t* line;
};

/// SAX handler that collects the values of a settings file with their lines.
class SettingsSax : public nlohmann::json_sax<Json> {
 public:
  SettingsSax(const std::string& file, const std::uint32_t& line)
      : file(file), line(line) {}

  bool null() override { return this->AddValue(Json()); }
  bool boolean(bool value) override { return this->AddValue(Json(value)); }
  bool number_integer(number_integer_t value) override {
    return this->AddValue(Json(value));
  }
  bool number_unsigned(number_unsigned_t value) override {
    return this->AddValue(Json(value));
  }
  bool number_float(number_float_t value, const string_t& /*text*/) override {
    return this->AddValue(Json(value));
  }
  bool string(string_t& value) override {
    return this->AddValue(Json(std::move(value)));
  }
  bool binary(binary_t& /*value*/) override { return false; }

  bool start_object(std::size_t /*size*/) override {
    if (this->array_depth > 0) {
      return this->StopWithError(SettingsErrorKind::kWrongType,
                                 "a list must contain only text");
    }
    if (!this->path.empty()) {
      this->source.entries.push_back(
          {this->Path(), this->key_line, Json(), true});
    }
    this->seen_names.emplace_back();
    this->path.emplace_back();
    if (this->path.size() > kMaxDepth) {
      return this->StopWithError(SettingsErrorKind::kMalformed,
                                 "the file exceeds the maximum nesting depth");
    }
    return true;
  }

  bool end_object() override {
    this->path.pop_back();
    this->seen_names.pop_back();
    return true;
  }

  bool start_array(std::size_t /*size*/) override {
    if (this->array_depth > 0) {
      return this->StopWithError(SettingsErrorKind::kWrongType,
                                 "a list must contain only text");
    }
    ++this->array_depth;
    this->array = Json::array();
    return true;
  }

  bool end_array() override {
    --this->array_depth;
    return this->AddValue(std::exchange(this->array, Json()));
  }

  bool key(string_t& name) override {
    this->path.back() = name;
    this->key_line = this->line;
    if (!this->seen_names.back().insert(name).second) {
      this->source.errors.push_back({SettingsErrorKind::kRepeatedKey,
                                     this->file, this->line, this->Path(),
                                     "the key occurs more than once"});
    }
    return true;
  }

  bool parse_error(std::size_t /*position*/,
                   const std::string& /*last_token*/,
                   const nlohmann::json::exception& /*error*/) override {
    return this->StopWithError(SettingsErrorKind::kMalformed,
                               "syntax error: not valid JSON");
  }

  SettingsSource source;

 private:
  std::string Path() const {
    std::string joined;
    for (const auto& name : this->path) {
      joined += (joined.empty() ? "" : ".") + name;
    }
    return joined;
  }

  bool AddValue(Json value) {
    if (this->array_depth > 0) {
      this->array.push_back(std::move(value));
      return true;
    }
    if (this->path.empty()) {
      return this->StopWithError(SettingsErrorKind::kWrongType,
                                 "the file must contain a single object");
    }
    this->source.entries.push_back(
        {this->Path(), this->key_line, std::move(value), false});
    return true;
  }

  // Stops parsing, since the structure after a syntax error is ambiguous.
  bool StopWithError(SettingsErrorKind kind, std::string message) {
    this->source.errors.push_back(
        {kind, this->file, this->line, this->Path(), std::move(message)});
    return false;
  }

  const std::string& file;
  const std::uint32_t& line;
  std::uint32_t key_line = 0;
  std::vector<std::string> path;
  std::vector<std::set<std::string>> seen_names;
  int array_depth = 0;
  Json array;
};

}  // namespace

SettingsSource ReadSettingsSource(const std::string& text,
                                  const std::string& file) {
  std::uint32_t line = 1;
  SettingsSax sax(file, line);
  const char* begin = text.data();
  const bool complete = Json::sax_parse(
      LineCounter(begin, &line), LineCounter(begin + text.size(), &line), &sax,
      Json::input_format_t::json, /*strict=*/true, /*ignore_comments=*/true);
  if (!complete && sax.source.errors.empty()) {
    sax.source.errors.push_back({SettingsErrorKind::kMalformed, file, line, "",
                                 "syntax error: not valid JSON"});
  }
  return std::move(sax.source);
}

}  // namespace carobrill::daemon
