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
constexpr std::string_view kSpaces = " \t";

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

bool Allows(Keyword keyword, Key key) {
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

bool TakesName(Keyword keyword) {
  return keyword == Keyword::kAccount || keyword == Keyword::kService;
}

struct Word {
  std::string_view text;
  std::uint32_t column = 0;
};

struct Line {
  Keyword keyword = Keyword::kAccount;
  Word head;
  Word name;
  std::map<Key, Word> values;
  std::string asked_by;
  /// Column after the last word, where something that is missing belongs.
  std::uint32_t end_column = 0;
};

std::string_view Trim(std::string_view text) {
  const auto begin = text.find_first_not_of(kSpaces);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kSpaces) - begin + 1);
}

bool IsNameByte(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), IsNameByte);
}

std::vector<Word> SplitWords(std::string_view text) {
  std::vector<Word> words;
  std::size_t at = text.find_first_not_of(kSpaces);
  while (at != std::string_view::npos) {
    const auto end = std::min(text.find_first_of(kSpaces, at), text.size());
    words.push_back(
        {text.substr(at, end - at), static_cast<std::uint32_t>(at + 1)});
    at = text.find_first_not_of(kSpaces, end);
  }
  return words;
}

/// Parses a file line by line and collects the faults.
class FileParser {
 public:
  ParsedRules Parse(std::string_view text) {
    if (text.size() > kMaxRuleFileBytes) {
      this->line = 1;
      this->Report(RuleErrorKind::kFileTooLarge, {{}, 1});
      return std::move(this->parsed);
    }
    std::size_t begin = 0;
    while (begin < text.size()) {
      const auto end = std::min(text.find('\n', begin), text.size());
      ++this->line;
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
  struct QuotaPlace {
    std::uint32_t line = 0;
    Word word;
  };

  void Report(RuleErrorKind kind, const Word& word) {
    this->parsed.errors.push_back(
        {kind, this->line, word.column, std::string(word.text)});
  }

  void ParseLine(std::string_view text) {
    if (!text.empty() && text.back() == '\r') {
      text.remove_suffix(1);
    }
    if (!this->CheckBytes(text)) {
      return;
    }
    const auto hash = std::min(text.find('#'), text.size());
    const auto words = SplitWords(text.substr(0, hash));
    if (words.empty()) {
      return;
    }
    Line parts;
    parts.head = words.front();
    parts.end_column = static_cast<std::uint32_t>(words.back().column +
                                                  words.back().text.size());
    this->ReadComment(text, hash, parts);
    const auto keyword = FindByName<Keyword>(parts.head.text);
    if (!keyword.has_value()) {
      this->Report(RuleErrorKind::kUnknownKeyword, parts.head);
      return;
    }
    parts.keyword = *keyword;
    this->ReadWords(words, parts);
    this->AddRule(parts);
  }

  bool CheckBytes(std::string_view text) {
    if (text.size() > kMaxRuleLineBytes) {
      this->Report(RuleErrorKind::kLineTooLong, {{}, kMaxRuleLineBytes + 1});
      return false;
    }
    // A protobuf string field must hold valid UTF-8, or replicas could not
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
    this->Report(RuleErrorKind::kInvalidCharacter,
                 {{}, static_cast<std::uint32_t>(valid + 1)});
    return false;
  }

  void ReadComment(std::string_view text, std::size_t hash, Line& parts) {
    const std::string_view comment =
        hash < text.size() ? Trim(text.substr(hash + 1)) : std::string_view{};
    if (comment.starts_with(kAskedBy)) {
      parts.asked_by = Trim(comment.substr(kAskedBy.size()));
    }
    if (parts.asked_by.empty()) {
      const auto column = hash < text.size()
                              ? static_cast<std::uint32_t>(hash + 1)
                              : parts.end_column;
      this->Report(RuleErrorKind::kMissingAskedBy, {{}, column});
    }
  }

  void ReadWords(const std::vector<Word>& words, Line& parts) {
    std::size_t next = 1;
    if (TakesName(parts.keyword)) {
      if (words.size() > 1 &&
          words[1].text.find('=') == std::string_view::npos) {
        parts.name = words[1];
        ++next;
        this->CheckName(parts.name);
      } else {
        this->Report(
            RuleErrorKind::kMissingName,
            {{}, words.size() > 1 ? words[1].column : parts.end_column});
      }
    }
    for (; next < words.size(); ++next) {
      this->ReadPair(words[next], parts);
    }
  }

  void ReadPair(const Word& word, Line& parts) {
    const auto equals = word.text.find('=');
    const Word name{word.text.substr(0, equals), word.column};
    const auto key = FindByName<Key>(name.text);
    if (!key.has_value() || !Allows(parts.keyword, *key)) {
      this->Report(RuleErrorKind::kUnknownKey, name);
      return;
    }
    if (parts.values.contains(*key)) {
      this->Report(RuleErrorKind::kDuplicateKey, name);
      return;
    }
    Word value{{}, static_cast<std::uint32_t>(word.column + name.text.size())};
    if (equals != std::string_view::npos) {
      value.text = word.text.substr(equals + 1);
      ++value.column;
    }
    parts.values[*key] = value;
    if (value.text.empty()) {
      this->Report(RuleErrorKind::kMissingValue, value);
    }
  }

  bool CheckName(const Word& word) {
    if (IsName(word.text)) {
      return true;
    }
    // An empty value has been reported as missing.
    if (!word.text.empty()) {
      this->Report(RuleErrorKind::kInvalidName, word);
    }
    return false;
  }

  void AddRule(const Line& parts) {
    switch (parts.keyword) {
      case Keyword::kAccount:
        return this->AddAccount(parts);
      case Keyword::kService:
        return this->AddService(parts);
      case Keyword::kHardware:
        return this->AddHardware(parts);
      case Keyword::kWithdraw:
        return this->AddWithdrawal(parts);
      case Keyword::kDrain:
        return this->AddDrain(parts);
    }
  }

  void AddAccount(const Line& parts) {
    AccountRule rule;
    rule.asked_by = parts.asked_by;
    if (const auto* cells = Find(parts, Key::kGuarantee)) {
      rule.guarantee = this->ReadGuarantee(*cells);
    }
    rule.share = this->Number(parts, Key::kShare, 1, kMaxShare, rule.share);
    const AccountId account{std::string(parts.name.text)};
    if (const auto* quota = Find(parts, Key::kQuota)) {
      rule.quota = this->ReadNumber(*quota, 0, kMaxQuota);
      this->quota_places[account] = {this->line, *quota};
    }
    this->Insert(this->parsed.rules.accounts, account, std::move(rule),
                 parts.name);
  }

  void AddService(const Line& parts) {
    ServiceRule rule;
    rule.asked_by = parts.asked_by;
    if (const auto* partner = Find(parts, Key::kPartner)) {
      this->CheckName(*partner);
      rule.partner = partner->text;
    }
    rule.short_ms = this->Number(parts, Key::kShortMs, 1, kMaxShortMs,
                                 static_cast<std::uint32_t>(rule.short_ms));
    rule.short_slots = this->Number(parts, Key::kShortSlots, 0, kMaxShortSlots,
                                    rule.short_slots);
    this->Insert(this->parsed.rules.services,
                 ServiceId{std::string(parts.name.text)}, std::move(rule),
                 parts.name);
  }

  void AddHardware(const Line& parts) {
    for (const Key key :
         {Key::kRacks, Key::kWorkersPerRack, Key::kAccelerators}) {
      this->Require(parts, key);
    }
    HardwareRule rule;
    rule.racks = this->Number(parts, Key::kRacks, 1, kMaxRacks, 1);
    rule.workers_per_rack =
        this->Number(parts, Key::kWorkersPerRack, 1, kMaxWorkersPerRack, 1);
    rule.accelerators = this->Number(parts, Key::kAccelerators, 1,
                                     kMaxAcceleratorsPerWorker, 1);
    if (!std::has_single_bit(rule.accelerators)) {
      this->Report(RuleErrorKind::kNotAPowerOfTwo,
                   parts.values.at(Key::kAccelerators));
    }
    if (this->parsed.rules.hardware.has_value()) {
      this->Report(RuleErrorKind::kDuplicateRule, parts.head);
      return;
    }
    this->parsed.rules.hardware = rule;
  }

  void AddWithdrawal(const Line& parts) {
    if (!this->Require(parts, Key::kPartner)) {
      return;
    }
    const Word& partner = parts.values.at(Key::kPartner);
    if (this->CheckName(partner) &&
        !this->parsed.rules.withdrawn_partners.emplace(partner.text).second) {
      this->Report(RuleErrorKind::kDuplicateRule, partner);
    }
  }

  void AddDrain(const Line& parts) {
    const auto* worker = Find(parts, Key::kWorker);
    const auto* endpoint = Find(parts, Key::kEndpoint);
    if (worker != nullptr && endpoint != nullptr) {
      this->Report(RuleErrorKind::kConflictingKeys, parts.head);
    } else if (worker != nullptr) {
      this->AddDrained(this->parsed.rules.drained_workers, *worker);
    } else if (endpoint != nullptr) {
      this->AddDrained(this->parsed.rules.drained_endpoints, *endpoint);
    } else {
      this->Report(RuleErrorKind::kMissingKey, {{}, parts.end_column});
    }
  }

  template <typename Name>
  void AddDrained(std::set<Name>& drained, const Word& word) {
    if (this->CheckName(word) &&
        !drained.insert(Name{std::string(word.text)}).second) {
      this->Report(RuleErrorKind::kDuplicateRule, word);
    }
  }

  template <typename Name, typename Rule>
  void Insert(std::map<Name, Rule>& rules,
              const Name& name,
              Rule rule,
              const Word& word) {
    if (!name.empty() && !rules.emplace(name, std::move(rule)).second) {
      this->Report(RuleErrorKind::kDuplicateRule, word);
    }
  }

  static const Word* Find(const Line& parts, Key key) {
    const auto found = parts.values.find(key);
    return found == parts.values.end() ? nullptr : &found->second;
  }

  bool Require(const Line& parts, Key key) {
    if (Find(parts, key) != nullptr) {
      return true;
    }
    this->Report(RuleErrorKind::kMissingKey, {NameOf(key), parts.end_column});
    return false;
  }

  std::uint32_t Number(const Line& parts,
                       Key key,
                       std::uint64_t low,
                       std::uint64_t high,
                       std::uint32_t missing) {
    const auto* word = Find(parts, key);
    return word == nullptr
               ? missing
               : this->ReadNumber(*word, low, high).value_or(missing);
  }

  std::optional<std::uint32_t> ReadNumber(const Word& word,
                                          std::uint64_t low,
                                          std::uint64_t high) {
    if (word.text.empty()) {
      return std::nullopt;
    }
    std::uint64_t value = 0;
    const char* end = word.text.data() + word.text.size();
    const auto [stop, error] = std::from_chars(word.text.data(), end, value);
    if (stop != end || error == std::errc::invalid_argument) {
      this->Report(RuleErrorKind::kNotANumber, word);
      return std::nullopt;
    }
    if (error == std::errc::result_out_of_range || value < low ||
        value > high) {
      this->Report(RuleErrorKind::kOutOfRange, word);
      return std::nullopt;
    }
    return static_cast<std::uint32_t>(value);
  }

  std::vector<GuaranteeCells> ReadGuarantee(const Word& word) {
    std::vector<GuaranteeCells> guarantee;
    std::size_t begin = 0;
    while (!word.text.empty() && begin <= word.text.size()) {
      const auto end = std::min(word.text.find(',', begin), word.text.size());
      const Word part{word.text.substr(begin, end - begin),
                      static_cast<std::uint32_t>(word.column + begin)};
      if (const auto cells = this->ReadCells(part)) {
        guarantee.push_back(*cells);
      }
      begin = end + 1;
    }
    return guarantee;
  }

  std::optional<GuaranteeCells> ReadCells(const Word& part) {
    const auto at = part.text.find('@');
    if (at == std::string_view::npos || at == 0) {
      this->Report(RuleErrorKind::kMalformedCells, part);
      return std::nullopt;
    }
    const auto level = FindByName<CellLevel>(part.text.substr(at + 1));
    if (!level.has_value()) {
      this->Report(RuleErrorKind::kUnknownLevel,
                   {part.text.substr(at + 1),
                    static_cast<std::uint32_t>(part.column + at + 1)});
      return std::nullopt;
    }
    const std::string_view size = part.text.substr(0, at);
    const auto times = size.find('x');
    if ((times == std::string_view::npos) == (*level == CellLevel::kWorker) ||
        times == 0 || times + 1 == size.size()) {
      this->Report(RuleErrorKind::kMalformedCells, part);
      return std::nullopt;
    }
    return this->ReadSize(part, size, times, *level);
  }

  std::optional<GuaranteeCells> ReadSize(const Word& part,
                                         std::string_view size,
                                         std::size_t times,
                                         CellLevel level) {
    GuaranteeCells cells;
    cells.level = level;
    const auto count =
        this->ReadNumber({size.substr(0, times), part.column}, 1, kMaxCells);
    cells.count = count.value_or(1);
    if (level == CellLevel::kRack) {
      return cells;
    }
    const Word accelerators{
        size.substr(times + 1),
        static_cast<std::uint32_t>(part.column + times + 1)};
    cells.accelerators =
        this->ReadNumber(accelerators, 1, kMaxAcceleratorsPerWorker)
            .value_or(1);
    if (!std::has_single_bit(cells.accelerators)) {
      this->Report(RuleErrorKind::kNotAPowerOfTwo, accelerators);
      return std::nullopt;
    }
    return cells;
  }

  // Racks count only when the file declares the hardware, since their size is
  // not known otherwise.
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
        const auto& place = this->quota_places.at(account);
        this->line = place.line;
        this->Report(RuleErrorKind::kQuotaBelowGuarantee, place.word);
      }
    }
  }

  ParsedRules parsed;
  std::uint32_t line = 0;
  std::map<AccountId, QuotaPlace> quota_places;
};

}  // namespace

ParsedRules ParseRules(std::string_view text) {
  return FileParser{}.Parse(text);
}

}  // namespace carobrill::rules
