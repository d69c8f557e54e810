#include "packages/rules/rule_parser.h"

#include <glib.h>

#include <algorithm>
#include <bit>
#include <charconv>
#include <map>
#include <optional>
#include <system_error>
#include <utility>

namespace carobrill::rules {
namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::uint64_t kMaxCells = 10'000;
constexpr std::uint64_t kMaxAcceleratorsPerWorker = 64;
constexpr std::uint64_t kMaxQuota = 1'000'000;
constexpr std::uint64_t kMaxShare = 1'000;
constexpr std::uint64_t kMaxShortMs = 3'600'000;
constexpr std::uint64_t kMaxShortSlots = 64;
constexpr std::uint64_t kMaxRacks = 10'000;
constexpr std::uint64_t kMaxWorkersPerRack = 1'000;
constexpr std::string_view kAskedBy = "asked by:";
constexpr std::string_view kWhitespace = " \t";

enum class Keyword { kAccount, kService, kHardware, kWithdraw, kDrain };

constexpr auto NamesOf(Keyword) {
  return MakeNameTable<Keyword>({{Keyword::kAccount, "account"},
                                 {Keyword::kService, "service"},
                                 {Keyword::kHardware, "hardware"},
                                 {Keyword::kWithdraw, "withdraw"},
                                 {Keyword::kDrain, "drain"}});
}

enum class Key {
  kGuarantee,
  kQuota,
  kShare,
  kPartner,
  kShortMs,
  kShortSlots,
  kRacks,
  kWorkersPerRack,
  kAccelerators,
  kWorker,
  kEndpoint,
};

constexpr auto NamesOf(Key) {
  return MakeNameTable<Key>({{Key::kGuarantee, "guarantee"},
                             {Key::kQuota, "quota"},
                             {Key::kShare, "share"},
                             {Key::kPartner, "partner"},
                             {Key::kShortMs, "short_ms"},
                             {Key::kShortSlots, "short_slots"},
                             {Key::kRacks, "racks"},
                             {Key::kWorkersPerRack, "workers_per_rack"},
                             {Key::kAccelerators, "accelerators"},
                             {Key::kWorker, "worker"},
                             {Key::kEndpoint, "endpoint"}});
}

bool AllowsKey(Keyword keyword, Key key) {
  switch (keyword) {
    case Keyword::kAccount:
      return key == Key::kGuarantee || key == Key::kQuota || key == Key::kShare;
    case Keyword::kService:
      return key == Key::kPartner || key == Key::kShortMs ||
             key == Key::kShortSlots;
    case Keyword::kHardware:
      return key == Key::kRacks || key == Key::kWorkersPerRack ||
             key == Key::kAccelerators;
    case Keyword::kWithdraw:
      return key == Key::kPartner;
    case Keyword::kDrain:
      return key == Key::kWorker || key == Key::kEndpoint;
  }
  return false;
}

bool RequiresName(Keyword keyword) {
  return keyword == Keyword::kAccount || keyword == Keyword::kService;
}

struct Token {
  std::string_view text;
  std::uint32_t column = 0;
};

struct RuleLine {
  Keyword keyword = Keyword::kAccount;
  Token keyword_token;
  Token name;
  std::map<Key, Token> values;
  std::string asked_by;
  /// Column after the last token; the position reported for a missing part.
  std::uint32_t end_column = 0;
};

std::string_view Trim(std::string_view text) {
  const auto begin = text.find_first_not_of(kWhitespace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kWhitespace) - begin + 1);
}

bool IsNameByte(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), IsNameByte);
}

std::vector<Token> Tokenize(std::string_view text) {
  std::vector<Token> tokens;
  std::size_t at = text.find_first_not_of(kWhitespace);
  while (at != std::string_view::npos) {
    const auto end = std::min(text.find_first_of(kWhitespace, at), text.size());
    tokens.push_back(
        {text.substr(at, end - at), static_cast<std::uint32_t>(at + 1)});
    at = text.find_first_not_of(kWhitespace, end);
  }
  return tokens;
}

/// Parses a file line by line and collects all errors.
class FileParser {
 public:
  ParsedRules Parse(std::string_view text) {
    if (text.size() > kMaxRuleFileBytes) {
      this->line_number = 1;
      this->AddError(RuleErrorKind::kFileTooLarge, {{}, 1});
      return std::move(this->parsed);
    }
    std::size_t begin = 0;
    while (begin < text.size()) {
      const auto end = std::min(text.find('\n', begin), text.size());
      ++this->line_number;
      this->ParseLine(text.substr(begin, end - begin));
      begin = end + 1;
    }
    this->CheckQuotas();
    std::stable_sort(this->parsed.errors.begin(), this->parsed.errors.end(),
                     [](const RuleError& a, const RuleError& b) {
                       return std::pair(a.line, a.column) <
                              std::pair(b.line, b.column);
                     });
    return std::move(this->parsed);
  }

 private:
  struct QuotaLocation {
    std::uint32_t line_number = 0;
    Token token;
  };

  void AddError(RuleErrorKind kind, const Token& token) {
    this->parsed.errors.push_back(
        {kind, this->line_number, token.column, std::string(token.text)});
  }

  void ParseLine(std::string_view text) {
    if (!text.empty() && text.back() == '\r') {
      text.remove_suffix(1);
    }
    if (!this->CheckBytes(text)) {
      return;
    }
    const auto comment_start = std::min(text.find('#'), text.size());
    const auto tokens = Tokenize(text.substr(0, comment_start));
    if (tokens.empty()) {
      return;
    }
    RuleLine rule_line;
    rule_line.keyword_token = tokens.front();
    rule_line.end_column = static_cast<std::uint32_t>(
        tokens.back().column + tokens.back().text.size());
    this->ParseComment(text, comment_start, rule_line);
    const auto keyword = FindByName<Keyword>(rule_line.keyword_token.text);
    if (!keyword.has_value()) {
      this->AddError(RuleErrorKind::kUnknownKeyword, rule_line.keyword_token);
      return;
    }
    rule_line.keyword = *keyword;
    this->ParseTokens(tokens, rule_line);
    this->AddRule(rule_line);
  }

  bool CheckBytes(std::string_view text) {
    if (text.size() > kMaxRuleLineBytes) {
      this->AddError(RuleErrorKind::kLineTooLong, {{}, kMaxRuleLineBytes + 1});
      return false;
    }
    // Protobuf string fields must be valid UTF-8; otherwise replicas could not
    // decode the record.
    const gchar* valid_end = nullptr;
    g_utf8_validate(text.data(), static_cast<gssize>(text.size()), &valid_end);
    auto valid = static_cast<std::size_t>(valid_end - text.data());
    for (std::size_t i = 0; i < valid; ++i) {
      const auto byte = static_cast<unsigned char>(text[i]);
      if ((byte < 0x20 && byte != '\t') || byte == 0x7f) {
        valid = i;
      }
    }
    if (valid == text.size()) {
      return true;
    }
    this->AddError(RuleErrorKind::kInvalidCharacter,
                   {{}, static_cast<std::uint32_t>(valid + 1)});
    return false;
  }

  // Every rule must end with the comment "# asked by: NAME", which states who
  // requested the rule.
  void ParseComment(std::string_view text,
                    std::size_t comment_start,
                    RuleLine& rule_line) {
    const std::string_view comment = comment_start < text.size()
                                         ? Trim(text.substr(comment_start + 1))
                                         : std::string_view{};
    if (comment.starts_with(kAskedBy)) {
      rule_line.asked_by = Trim(comment.substr(kAskedBy.size()));
    }
    if (rule_line.asked_by.empty()) {
      const auto column = comment_start < text.size()
                              ? static_cast<std::uint32_t>(comment_start + 1)
                              : rule_line.end_column;
      this->AddError(RuleErrorKind::kMissingAskedBy, {{}, column});
    }
  }

  void ParseTokens(const std::vector<Token>& tokens, RuleLine& rule_line) {
    std::size_t next = 1;
    if (RequiresName(rule_line.keyword)) {
      if (tokens.size() > 1 &&
          tokens[1].text.find('=') == std::string_view::npos) {
        rule_line.name = tokens[1];
        ++next;
        this->CheckName(rule_line.name);
      } else {
        this->AddError(
            RuleErrorKind::kMissingName,
            {{}, tokens.size() > 1 ? tokens[1].column : rule_line.end_column});
      }
    }
    for (; next < tokens.size(); ++next) {
      this->ParseKeyValue(tokens[next], rule_line);
    }
  }

  void ParseKeyValue(const Token& token, RuleLine& rule_line) {
    const auto equals = token.text.find('=');
    const Token name{token.text.substr(0, equals), token.column};
    const auto key = FindByName<Key>(name.text);
    if (!key.has_value() || !AllowsKey(rule_line.keyword, *key)) {
      this->AddError(RuleErrorKind::kUnknownKey, name);
      return;
    }
    if (rule_line.values.contains(*key)) {
      this->AddError(RuleErrorKind::kDuplicateKey, name);
      return;
    }
    Token value{{},
                static_cast<std::uint32_t>(token.column + name.text.size())};
    if (equals != std::string_view::npos) {
      value.text = token.text.substr(equals + 1);
      ++value.column;
    }
    rule_line.values[*key] = value;
    if (value.text.empty()) {
      this->AddError(RuleErrorKind::kMissingValue, value);
    }
  }

  bool CheckName(const Token& token) {
    if (IsName(token.text)) {
      return true;
    }
    // An empty value has already been reported as missing.
    if (!token.text.empty()) {
      this->AddError(RuleErrorKind::kInvalidName, token);
    }
    return false;
  }

  void AddRule(const RuleLine& rule_line) {
    switch (rule_line.keyword) {
      case Keyword::kAccount:
        return this->AddAccount(rule_line);
      case Keyword::kService:
        return this->AddService(rule_line);
      case Keyword::kHardware:
        return this->AddHardware(rule_line);
      case Keyword::kWithdraw:
        return this->AddWithdrawal(rule_line);
      case Keyword::kDrain:
        return this->AddDrain(rule_line);
    }
  }

  void AddAccount(const RuleLine& rule_line) {
    AccountRule rule;
    rule.asked_by = rule_line.asked_by;
    if (const auto* cells = FindValue(rule_line, Key::kGuarantee)) {
      rule.guarantee = this->ParseGuarantee(*cells);
    }
    rule.share =
        this->NumberOrDefault(rule_line, Key::kShare, 1, kMaxShare, rule.share);
    const AccountId account{std::string(rule_line.name.text)};
    if (const auto* quota = FindValue(rule_line, Key::kQuota)) {
      rule.quota = this->ParseNumber(*quota, 0, kMaxQuota);
      this->quota_locations[account] = {this->line_number, *quota};
    }
    this->InsertRule(this->parsed.rules.accounts, account, std::move(rule),
                     rule_line.name);
  }

  void AddService(const RuleLine& rule_line) {
    ServiceRule rule;
    rule.asked_by = rule_line.asked_by;
    if (const auto* partner = FindValue(rule_line, Key::kPartner)) {
      this->CheckName(*partner);
      rule.partner = partner->text;
    }
    rule.max_short_run_ms = this->NumberOrDefault(
        rule_line, Key::kShortMs, 1, kMaxShortMs,
        static_cast<std::uint32_t>(rule.max_short_run_ms));
    rule.reserved_short_slots =
        this->NumberOrDefault(rule_line, Key::kShortSlots, 0, kMaxShortSlots,
                              rule.reserved_short_slots);
    this->InsertRule(this->parsed.rules.services,
                     ServiceId{std::string(rule_line.name.text)},
                     std::move(rule), rule_line.name);
  }

  void AddHardware(const RuleLine& rule_line) {
    for (const Key key :
         {Key::kRacks, Key::kWorkersPerRack, Key::kAccelerators}) {
      this->RequireKey(rule_line, key);
    }
    HardwareRule rule;
    rule.racks = this->NumberOrDefault(rule_line, Key::kRacks, 1, kMaxRacks, 1);
    rule.workers_per_rack = this->NumberOrDefault(
        rule_line, Key::kWorkersPerRack, 1, kMaxWorkersPerRack, 1);
    rule.accelerators = this->NumberOrDefault(rule_line, Key::kAccelerators, 1,
                                              kMaxAcceleratorsPerWorker, 1);
    if (!std::has_single_bit(rule.accelerators)) {
      this->AddError(RuleErrorKind::kNotAPowerOfTwo,
                     rule_line.values.at(Key::kAccelerators));
    }
    if (this->parsed.rules.hardware.has_value()) {
      this->AddError(RuleErrorKind::kDuplicateRule, rule_line.keyword_token);
      return;
    }
    this->parsed.rules.hardware = rule;
  }

  // Withdrawing a partner drains all endpoints that it provides.
  void AddWithdrawal(const RuleLine& rule_line) {
    if (!this->RequireKey(rule_line, Key::kPartner)) {
      return;
    }
    const Token& partner = rule_line.values.at(Key::kPartner);
    if (this->CheckName(partner) &&
        !this->parsed.rules.withdrawn_partners.emplace(partner.text).second) {
      this->AddError(RuleErrorKind::kDuplicateRule, partner);
    }
  }

  void AddDrain(const RuleLine& rule_line) {
    const auto* worker = FindValue(rule_line, Key::kWorker);
    const auto* endpoint = FindValue(rule_line, Key::kEndpoint);
    if (worker != nullptr && endpoint != nullptr) {
      this->AddError(RuleErrorKind::kConflictingKeys, rule_line.keyword_token);
    } else if (worker != nullptr) {
      this->AddDrained(this->parsed.rules.drained_workers, *worker);
    } else if (endpoint != nullptr) {
      this->AddDrained(this->parsed.rules.drained_endpoints, *endpoint);
    } else {
      this->AddError(RuleErrorKind::kMissingKey, {{}, rule_line.end_column});
    }
  }

  template <typename Name>
  void AddDrained(std::set<Name>& drained, const Token& token) {
    if (this->CheckName(token) &&
        !drained.insert(Name{std::string(token.text)}).second) {
      this->AddError(RuleErrorKind::kDuplicateRule, token);
    }
  }

  template <typename Name, typename Rule>
  void InsertRule(std::map<Name, Rule>& rules,
                  const Name& name,
                  Rule rule,
                  const Token& token) {
    if (!name.empty() && !rules.emplace(name, std::move(rule)).second) {
      this->AddError(RuleErrorKind::kDuplicateRule, token);
    }
  }

  static const Token* FindValue(const RuleLine& rule_line, Key key) {
    const auto found = rule_line.values.find(key);
    return found == rule_line.values.end() ? nullptr : &found->second;
  }

  bool RequireKey(const RuleLine& rule_line, Key key) {
    if (FindValue(rule_line, key) != nullptr) {
      return true;
    }
    this->AddError(RuleErrorKind::kMissingKey,
                   {NameOf(key), rule_line.end_column});
    return false;
  }

  std::uint32_t NumberOrDefault(const RuleLine& rule_line,
                                Key key,
                                std::uint64_t min,
                                std::uint64_t max,
                                std::uint32_t default_value) {
    const auto* token = FindValue(rule_line, key);
    return token == nullptr
               ? default_value
               : this->ParseNumber(*token, min, max).value_or(default_value);
  }

  std::optional<std::uint32_t> ParseNumber(const Token& token,
                                           std::uint64_t min,
                                           std::uint64_t max) {
    if (token.text.empty()) {
      return std::nullopt;
    }
    std::uint64_t value = 0;
    const char* end = token.text.data() + token.text.size();
    const auto [parse_end, error] =
        std::from_chars(token.text.data(), end, value);
    if (parse_end != end || error == std::errc::invalid_argument) {
      this->AddError(RuleErrorKind::kNotANumber, token);
      return std::nullopt;
    }
    if (error == std::errc::result_out_of_range || value < min || value > max) {
      this->AddError(RuleErrorKind::kOutOfRange, token);
      return std::nullopt;
    }
    return static_cast<std::uint32_t>(value);
  }

  std::vector<GuaranteeCells> ParseGuarantee(const Token& token) {
    std::vector<GuaranteeCells> guarantee;
    std::size_t begin = 0;
    while (!token.text.empty() && begin <= token.text.size()) {
      const auto end = std::min(token.text.find(',', begin), token.text.size());
      const Token part{token.text.substr(begin, end - begin),
                       static_cast<std::uint32_t>(token.column + begin)};
      if (const auto cells = this->ParseCells(part)) {
        guarantee.push_back(*cells);
      }
      begin = end + 1;
    }
    return guarantee;
  }

  // Parses COUNTxACCELERATORS@worker or COUNT@rack.
  std::optional<GuaranteeCells> ParseCells(const Token& part) {
    const auto at = part.text.find('@');
    if (at == std::string_view::npos || at == 0) {
      this->AddError(RuleErrorKind::kMalformedCells, part);
      return std::nullopt;
    }
    const auto level = FindByName<CellLevel>(part.text.substr(at + 1));
    if (!level.has_value()) {
      this->AddError(RuleErrorKind::kUnknownLevel,
                     {part.text.substr(at + 1),
                      static_cast<std::uint32_t>(part.column + at + 1)});
      return std::nullopt;
    }
    const std::string_view count_and_size = part.text.substr(0, at);
    const auto separator = count_and_size.find('x');
    // The accelerators must be given for cells of workers, and only for them.
    if ((separator == std::string_view::npos) ==
            (*level == CellLevel::kWorker) ||
        separator == 0 || separator + 1 == count_and_size.size()) {
      this->AddError(RuleErrorKind::kMalformedCells, part);
      return std::nullopt;
    }
    return this->ParseCellSize(part, count_and_size, separator, *level);
  }

  std::optional<GuaranteeCells> ParseCellSize(const Token& part,
                                              std::string_view count_and_size,
                                              std::size_t separator,
                                              CellLevel level) {
    GuaranteeCells cells;
    cells.level = level;
    const auto count = this->ParseNumber(
        {count_and_size.substr(0, separator), part.column}, 1, kMaxCells);
    cells.count = count.value_or(1);
    if (level == CellLevel::kRack) {
      return cells;
    }
    const Token accelerators{
        count_and_size.substr(separator + 1),
        static_cast<std::uint32_t>(part.column + separator + 1)};
    cells.accelerators =
        this->ParseNumber(accelerators, 1, kMaxAcceleratorsPerWorker)
            .value_or(1);
    if (!std::has_single_bit(cells.accelerators)) {
      this->AddError(RuleErrorKind::kNotAPowerOfTwo, accelerators);
      return std::nullopt;
    }
    return cells;
  }

  // Guaranteed racks are counted only when the file declares the hardware;
  // otherwise their size is unknown.
  void CheckQuotas() {
    std::uint64_t rack_size = 0;
    if (const auto& hardware = this->parsed.rules.hardware) {
      rack_size = static_cast<std::uint64_t>(hardware->workers_per_rack) *
                  hardware->accelerators;
    }
    for (const auto& [account, rule] : this->parsed.rules.accounts) {
      std::uint64_t guaranteed = 0;
      for (const auto& cells : rule.guarantee) {
        guaranteed +=
            cells.count *
            (cells.level == CellLevel::kRack ? rack_size : cells.accelerators);
      }
      if (rule.quota.has_value() && *rule.quota < guaranteed) {
        const auto& location = this->quota_locations.at(account);
        this->line_number = location.line_number;
        this->AddError(RuleErrorKind::kQuotaBelowGuarantee, location.token);
      }
    }
  }

  ParsedRules parsed;
  std::uint32_t line_number = 0;
  std::map<AccountId, QuotaLocation> quota_locations;
};

}  // namespace

ParsedRules ParseRules(std::string_view text) {
  return FileParser{}.Parse(text);
}

}  // namespace carobrill::rules
