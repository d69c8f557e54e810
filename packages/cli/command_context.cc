#include "packages/cli/command_context.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>

#include "packages/cli/cli_error.h"

namespace carobrill::cli {
namespace {

constexpr const char* kHexDigits = "0123456789abcdef";
constexpr int kKeyRandomWords = 4;
constexpr int kDigitsPerWord = 8;
constexpr int kBitsPerDigit = 4;

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

}  // namespace

void CommandContext::Print(const nlohmann::json& answer,
                           const std::string& text) const {
  const std::string output =
      this->PrintsJson()
          ? answer.dump(2, ' ', false,
                        nlohmann::json::error_handler_t::replace) +
                "\n"
          : text;
  std::fputs(output.c_str(), stdout);
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  if (!stream.is_open() || stream.bad()) {
    return Fail(CliError{CliExit::kInput, path + ": the file cannot be read"});
  }
  return text.str();
}

std::string UserName() {
  const char* user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "unknown" : user;
}

// Keys of different clients must never collide, so they come from the system's
// random source and not from a seeded generator.
std::string NewIdempotencyKey() {
  std::random_device device;
  std::string key;
  for (int i = 0; i < kKeyRandomWords; ++i) {
    auto word = device();
    for (int digit = 0; digit < kDigitsPerWord; ++digit) {
      key += kHexDigits[word & 0xf];
      word >>= kBitsPerDigit;
    }
  }
  return key;
}

std::string PercentEncode(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      escaped += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    escaped += '%';
    escaped += kHexDigits[byte >> kBitsPerDigit];
    escaped += kHexDigits[byte & 0xf];
  }
  return escaped;
}

}  // namespace carobrill::cli
