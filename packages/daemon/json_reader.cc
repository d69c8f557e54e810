#include "packages/daemon/json_reader.h"

#include <cmath>
#include <vector>

#include "packages/daemon/api_codec.h"

namespace carobrill::daemon {
namespace {

using Json = nlohmann::json;

// No body of the API nests deeper than 2; the bound keeps the cost of hostile
// bodies low.
constexpr int kMaxDepth = 8;
constexpr double kThousand = 1000.0;

/// Watches a parse for repeated names and for depth.
class ParseWatcher {
 public:
  bool operator()(int depth, Json::parse_event_t event, Json& parsed) {
    if (depth > kMaxDepth) {
      this->fault = "the body is nested too deeply";
    }
    switch (event) {
      case Json::parse_event_t::object_start:
        this->names.emplace_back();
        break;
      case Json::parse_event_t::object_end:
        this->names.pop_back();
        break;
      case Json::parse_event_t::key:
        this->AddName(parsed.get_ref<const std::string&>());
        break;
      default:
        break;
    }
    return true;
  }

  void AddName(const std::string& name) {
    if (!this->names.back().insert(name).second) {
      this->fault = "a name is repeated in one object";
    }
  }

  std::vector<std::set<std::string>> names;
  std::string fault;
};

}  // namespace

// RFC 8259 leaves repeated names to the parser. They are refused, because two
// readers of one body could otherwise act on different values.
Answer<Json> ParseStrictJson(std::string_view text) {
  ParseWatcher watcher;
  const auto watch = [&](int depth, Json::parse_event_t event, Json& parsed) {
    return watcher(depth, event, parsed);
  };
  Json json = Json::parse(text, watch, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return Problem{ApiError::kMalformedJson, "the body is not valid JSON"};
  }
  if (!watcher.fault.empty()) {
    return Problem{ApiError::kMalformedJson, watcher.fault};
  }
  if (!json.is_object()) {
    return Problem{ApiError::kMalformedJson, "the body must be a JSON object"};
  }
  return json;
}

JsonReader::JsonReader(const Json& object) : object(object) {}

std::string JsonReader::Text(const char* field,
                             std::size_t min,
                             std::size_t max,
                             std::optional<std::string> fallback) {
  const Json* value = this->Find(field, !fallback.has_value());
  if (value == nullptr) {
    return fallback.value_or("");
  }
  if (!value->is_string()) {
    this->Refuse(field, "must be a string");
    return {};
  }
  const auto& text = value->get_ref<const std::string&>();
  if (text.size() < min || text.size() > max) {
    this->Refuse(field, "must have " + std::to_string(min) + " to " +
                            std::to_string(max) + " bytes");
    return {};
  }
  return text;
}

std::string JsonReader::Name(const char* field,
                             std::optional<std::string> fallback) {
  const Json* value = this->Find(field, !fallback.has_value());
  if (value == nullptr) {
    return fallback.value_or("");
  }
  if (!value->is_string() ||
      !IsValidName(value->get_ref<const std::string&>())) {
    this->Refuse(field,
                 "must be 1 to 64 characters of letters, digits, '.', "
                 "'_' and '-'");
    return {};
  }
  return value->get<std::string>();
}

std::int64_t JsonReader::Integer(const char* field,
                                 std::int64_t min,
                                 std::int64_t max,
                                 std::optional<std::int64_t> fallback) {
  const Json* value = this->Find(field, !fallback.has_value());
  if (value == nullptr) {
    return fallback.value_or(0);
  }
  // An unsigned number above the signed range would wrap in a signed read.
  const bool fits = value->is_number_integer() &&
                    (!value->is_number_unsigned() ||
                     value->get<std::uint64_t>() <= std::uint64_t{INT64_MAX});
  if (!fits || value->get<std::int64_t>() < min ||
      value->get<std::int64_t>() > max) {
    this->Refuse(field, "must be an integer from " + std::to_string(min) +
                            " to " + std::to_string(max));
    return 0;
  }
  return value->get<std::int64_t>();
}

std::int64_t JsonReader::Thousandths(const char* field, std::int64_t max) {
  const Json* value = this->Find(field, /*required=*/false);
  if (value == nullptr) {
    return 0;
  }
  const double number = value->is_number() ? value->get<double>() : -1;
  if (!(number >= 0 && number <= static_cast<double>(max))) {
    this->Refuse(field, "must be a number from 0 to " + std::to_string(max));
    return 0;
  }
  return std::llround(number * kThousand);
}

bool JsonReader::Boolean(const char* field, std::optional<bool> fallback) {
  const Json* value = this->Find(field, !fallback.has_value());
  if (value == nullptr) {
    return fallback.value_or(false);
  }
  if (!value->is_boolean()) {
    this->Refuse(field, "must be true or false");
    return false;
  }
  return value->get<bool>();
}

std::optional<Problem> JsonReader::Finish() {
  for (const auto& [name, value] : this->object.items()) {
    if (!this->known.contains(name) && !this->problem.has_value()) {
      this->problem = Problem{ApiError::kUnknownField,
                              "the field '" + name + "' is not known"};
    }
  }
  return this->problem;
}

const Json* JsonReader::Find(const char* field, bool required) {
  this->known.insert(field);
  const auto found = this->object.find(field);
  if (found != this->object.end()) {
    return &*found;
  }
  if (required && !this->problem.has_value()) {
    this->problem =
        Problem{ApiError::kMissingField,
                "the field '" + std::string(field) + "' is missing"};
  }
  return nullptr;
}

void JsonReader::Refuse(const char* field, const std::string& what) {
  if (!this->problem.has_value()) {
    this->problem = Problem{ApiError::kInvalidField,
                            "the field '" + std::string(field) + "' " + what};
  }
}

}  // namespace carobrill::daemon
