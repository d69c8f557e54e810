#ifndef PACKAGES_CLI_OUTPUT_H_
#define PACKAGES_CLI_OUTPUT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace carobrill::cli {

/// A text table with aligned columns.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  /// Adds a row, which must have as many cells as the header.
  void Add(std::vector<std::string> row);

  /// Returns the table as text, one line per row.
  std::string Render() const;

 private:
  std::vector<std::vector<std::string>> rows;
};

/// How a field of a response is formatted.
enum class FieldFormat {
  kPlain,
  /// Unix time in milliseconds, shown as UTC; 0 is shown as "-".
  kTime,
  /// Duration in milliseconds, shown in seconds.
  kMilliseconds,
};

/// Formats a field of a response; "-" when it is missing or empty.
std::string FormatField(const nlohmann::json& object,
                        std::string_view field,
                        FieldFormat format = FieldFormat::kPlain);

/// Replaces control characters with spaces, so that untrusted text cannot send
/// escape sequences to the terminal.
std::string ReplaceControlCharacters(std::string_view text);

/// A progress line on standard error that is rewritten in place. Prints nothing
/// unless standard error is a terminal.
class Progress {
 public:
  Progress();
  /// Clears the line.
  ~Progress();

  Progress(const Progress&) = delete;
  Progress& operator=(const Progress&) = delete;

  /// Replaces the line with `text`.
  void Show(std::string_view text);

 private:
  bool terminal;
  bool shown = false;
};

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_OUTPUT_H_
