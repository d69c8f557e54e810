#include "packages/daemon/json_reader.h"

#include <cmath>
#include <vector>

#include "packages/daemon/api_codec.h"

namespace carobrill::daemon {
namespace {

using Json = nlohmann::json;

// No valid body of the API nests deeper than 2 levels; the limit bounds the
// cost of parsing malicious bodies.
constexpr int kMaxDepth = 8;
constexpr double kMilliPerUnit = 1000.0;

/// Parser callback that detects duplicate keys and excessive nesting.
class ParseValidator {
 public:
  bool operator()(int depth, Json::parse_event_t event, Json& parsed) {
    if (depth > kMaxDepth) {
      this->error = "the body is nested too deeply";
    }
    switch (event) {
      case Json::parse_event_t::object_start:
        this->seen_names.emplace_back();
        break;
      case Json::parse_event_t::object_end:
        this->seen_names.pop_back();
        break;
      case Json::parse_event_t::key:
        this->AddKey(parsed.get_ref<const std::string&>());
        break;
      default:
        break;
    }
    return true;
  }

  void AddKey(const std::string& name) {
    if (!this->seen_names.back().insert(name).second) {
      this->error = "a name is repeated in one object";
    }
  }

  std::vector<std::set<std::string>> seen_names;
  std::string error;
};

}  // namespace

// RFC 8259 leaves the handling of duplicate names to the parser. They are
// rejected, because two consumers of one body could otherwise act on different
// values.
Answer<Json> ParseStrictJson(std::string_view text) {
  ParseValidator validator;
  const auto callback = [&](int depth, Json::parse_event_t event,
                            Json& parsed) {
    return validator(depth, event, parsed);
  };
  Json json = Json::parse(text, callback, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return Problem{ApiError::kMalformedJson, "the body is not valid JSON"};
  }
  if (!validator.error.empty()) {
    return Problem{ApiError::kMalformedJson, validator.error};
  }
  if (!json.is_object()) {
    return Problem{ApiError::kMalformedJson, "the body must be a JSON object"};
  }
  return json;
}

JsonReader::JsonReader(const Json& object) : object(object) {}

std::string JsonReader::String(const char* field,
                               std::size_t min,
                               std::size_t max,
                               std::optional<std::string> fallback) {
  const Json* value = this->Find(field, !fallback.has_value());
  if (value == nullptr) {
    return fallback.value_or("");
  }
  if (!value->is_string()) {
    this->ReportInvalid(field, "must be a string");
    return {};
  }
  const auto& text = value->get_ref<const std::string&>();
  if (text.size() < min || text.size() > max) {
    this->ReportInvalid(field, "must have " + std::to_string(min) + " to " +
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
    this->ReportInvalid(field,
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
  // Reading an unsigned value above INT64_MAX as signed would wrap around.
  const bool fits = value->is_number_integer() &&
                    (!value->is_number_unsigned() ||
                     value->get<std::uint64_t>() <= std::uint64_t{INT64_MAX});
  if (!fits || value->get<std::int64_t>() < min ||
      value->get<std::int64_t>() > max) {
    this->ReportInvalid(field, "must be an integer from " +
                                   std::to_string(min) + " to " +
                                   std::to_string(max));
    return 0;
  }
  return value->get<std::int64_t>();
}

std::int64_t JsonReader::MilliUnits(const char* field, std::int64_t max) {
  const Json* value = this->Find(field, /*required=*/false);
  if (value == nullptr) {
    return 0;
  }
  const double number = value->is_number() ? value->get<double>() : -1;
  if (!(number >= 0 && number <= static_cast<double>(max))) {
    this->ReportInvalid(field,
                        "must be a number from 0 to " + std::to_string(max));
    return 0;
  }
  return std::llround(number * kMilliPerUnit);
}

bool JsonReader::Boolean(const char* field, std::optional<bool> fallback) {
  const Json* value = this->Find(field, !fallback.has_value());
  if (value == nullptr) {
    return fallback.value_or(false);
  }
  if (!value->is_boolean()) {
    this->ReportInvalid(field, "must be true or false");
    return false;
  }
  return value->get<bool>();
}

std::optional<Problem> JsonReader::Finish() {
  for (const auto& [name, value] : this->object.items()) {
    if (!this->read_fields.contains(name) && !this->problem.has_value()) {
      this->problem = Problem{ApiError::kUnknownField,
                              "the field '" + name + "' is not known"};
    }
  }
  return this->problem;
}

const Json* JsonReader::Find(const char* field, bool required) {
  this->read_fields.insert(field);
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

void JsonReader::ReportInvalid(const char* field, const std::string& message) {
  if (!this->problem.has_value()) {
    this->problem =
        Problem{ApiError::kInvalidField,
                "the field '" + std::string(field) + "' " + message};
  }
}

}  // namespace carobrill::daemon
