#ifndef PACKAGES_CLI_OUTPUT_H_
#define PACKAGES_CLI_OUTPUT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace carobrill::cli {

/// Rows of text in columns.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  /// Adds a row with as many cells as the header.
  void Add(std::vector<std::string> row);

  /// The table with a line for each row.
  std::string Render() const;

 private:
  std::vector<std::vector<std::string>> rows;
};

/// How a field of an answer is shown.
enum class FieldFormat {
  kPlain,
  /// Wall-clock milliseconds, shown as UTC; 0 as "-".
  kTime,
  /// Milliseconds, shown in seconds.
  kMilliseconds,
};

/// Text of a field of an answer; "-" when it is missing or empty.
std::string FormatField(const nlohmann::json& object,
                        std::string_view field,
                        FieldFormat format = FieldFormat::kPlain);

/// Replaces control characters, so that text from elsewhere cannot steer the
/// terminal.
std::string ReplaceControlCharacters(std::string_view text);

/// A line on standard error that is rewritten in place; silent unless standard
/// error is a terminal.
class Progress {
 public:
  Progress();
  /// Clears the line.
  ~Progress();

  Progress(const Progress&) = delete;
  Progress& operator=(const Progress&) = delete;

  /// Shows `text` in place of the last one.
  void Show(std::string_view text);

 private:
  bool terminal;
  bool shown = false;
};

}  // namespace carobrill::cli

#endif  // PACKAGES_CLI_OUTPUT_H_
