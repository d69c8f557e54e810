#include "packages/cli/output.h"

#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdio>
#include <utility>

namespace carobrill::cli {
namespace {

constexpr std::size_t kColumnGap = 2;
constexpr std::int64_t kMsPerSecond = 1000;
constexpr const char* kNoValue = "-";

std::string FormatUtc(std::int64_t unix_ms) {
  const time_t seconds = unix_ms / kMsPerSecond;
  tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> buffer{};
  const auto size =
      strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {buffer.data(), size};
}

std::string FormatSeconds(std::int64_t ms) {
  std::array<char, 32> buffer{};
  const int size = std::snprintf(buffer.data(), buffer.size(), "%.1f s",
                                 static_cast<double>(ms) / kMsPerSecond);
  return {buffer.data(), static_cast<std::size_t>(size)};
}

std::string JoinItems(const nlohmann::json& list) {
  std::string text;
  for (const auto& item : list) {
    text += text.empty() ? "" : " ";
    text += item.is_string() ? item.get<std::string>() : item.dump();
  }
  return text;
}

}  // namespace

TextTable::TextTable(std::vector<std::string> header) {
  this->rows.push_back(std::move(header));
}

void TextTable::Add(std::vector<std::string> row) {
  assert(row.size() == this->rows.front().size());
  this->rows.push_back(std::move(row));
}

std::string TextTable::Render() const {
  std::vector<std::size_t> widths(this->rows.front().size(), 0);
  for (const auto& row : this->rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : this->rows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i) {
      text += row[i];
      text.append(widths[i] - row[i].size() + kColumnGap, ' ');
    }
    text += row.back() + "\n";
  }
  return text;
}

std::string FormatField(const nlohmann::json& object,
                        std::string_view field,
                        FieldFormat format) {
  const auto found =
      object.is_object() ? object.find(std::string(field)) : object.end();
  if (found == object.end() || found->is_null()) {
    return kNoValue;
  }
  if (found->is_number_integer() && format == FieldFormat::kTime) {
    const auto unix_ms = found->get<std::int64_t>();
    return unix_ms == 0 ? kNoValue : FormatUtc(unix_ms);
  }
  if (found->is_number_integer() && format == FieldFormat::kMilliseconds) {
    return FormatSeconds(found->get<std::int64_t>());
  }
  std::string text;
  if (found->is_string()) {
    text = ReplaceControlCharacters(found->get<std::string>());
  } else if (found->is_boolean()) {
    text = found->get<bool>() ? "yes" : "no";
  } else if (found->is_array()) {
    text = ReplaceControlCharacters(JoinItems(*found));
  } else {
    text = found->dump();
  }
  return text.empty() ? kNoValue : text;
}

std::string ReplaceControlCharacters(std::string_view text) {
  std::string result(text);
  std::replace_if(
      result.begin(), result.end(),
      [](unsigned char c) { return c < ' ' || c == 0x7f; }, ' ');
  return result;
}

Progress::Progress() : terminal(isatty(STDERR_FILENO) == 1) {}

Progress::~Progress() {
  if (this->shown) {
    std::fputs("\r\033[K", stderr);
  }
}

void Progress::Show(std::string_view text) {
  if (!this->terminal) {
    return;
  }
  this->shown = true;
  std::fprintf(stderr, "\r\033[K%s", ReplaceControlCharacters(text).c_str());
}

}  // namespace carobrill::cli
