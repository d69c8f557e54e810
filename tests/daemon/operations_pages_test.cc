#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "packages/daemon/api_error.h"
#include "packages/daemon/daemon_options.h"

namespace carobrill::daemon {
namespace {

const std::string kRoot = CAROBRILL_SOURCE_DIRECTORY;

std::string ReadAll(const std::string& path) {
  std::ifstream stream(path);
  REQUIRE_MESSAGE(stream.is_open(), path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

TEST_CASE("docs/operations/metrics.md lists all metrics") {
  // Guards against undocumented metrics.
  const std::string page = ReadAll(kRoot + "/docs/operations/metrics.md");
  const std::regex literal("\"(carobrill_[a-z0-9_]+)\"");
  std::set<std::string> names;
  for (const auto& entry :
       std::filesystem::directory_iterator(kRoot + "/packages/daemon")) {
    if (entry.path().extension() != ".cc") {
      continue;
    }
    const std::string source = ReadAll(entry.path().string());
    for (std::sregex_iterator found(source.begin(), source.end(), literal), end;
         found != end; ++found) {
      names.insert((*found)[1]);
    }
  }
  CHECK(names.size() >= 2);
  for (const auto& name : names) {
    CHECK_MESSAGE(page.find("| `" + name + "` |") != std::string::npos, name);
  }
}

TEST_CASE("docs/operations/api-errors.md lists all errors") {
  // Guards against undocumented API errors.
  const std::string page = ReadAll(kRoot + "/docs/operations/api-errors.md");
  for (const auto& [error, name] : NamesOf(ApiError{}).entries) {
    const auto info = GetErrorInfo(error);
    std::ostringstream row;
    row << "| `" << name << "` | " << info.status << " | " << NameOf(info.ran)
        << " | " << info.title << " |";
    CHECK_MESSAGE(page.find(row.str()) != std::string::npos, row.str());
  }
}

TEST_CASE("exit-codes.md, the manual page and --help list all exit codes") {
  // Guards against supervisors that are configured by outdated exit codes.
  const std::string page = ReadAll(kRoot + "/docs/operations/exit-codes.md");
  const std::string manual = ReadAll(kRoot + "/man/carobrilld.8");
  const std::string help = DaemonHelp();
  for (const auto& [code, meaning] : NamesOf(ExitCode{}).entries) {
    const auto number = static_cast<int>(code);
    std::ostringstream row;
    row << "| " << number << " | " << meaning << " |";
    CHECK_MESSAGE(page.find(row.str()) != std::string::npos, row.str());
    std::ostringstream entry;
    entry << ".B " << number << "\n" << meaning;
    CHECK_MESSAGE(manual.find(entry.str()) != std::string::npos, entry.str());
    std::ostringstream line;
    line << "  " << number << "  " << meaning;
    CHECK_MESSAGE(help.find(line.str()) != std::string::npos, line.str());
  }
}

}  // namespace
}  // namespace carobrill::daemon
