#ifndef CHICORYSTEP_ENCODING_JSON_H_
#define CHICORYSTEP_ENCODING_JSON_H_

#include <fmt/format.h>

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/result.h"
#include "chicorystep/core/strong.h"
#include "chicorystep/core/units.h"

namespace chicorystep {

using Json = nlohmann::ordered_json;

// Why decoding failed: the path of the field and the value expected there.
struct DecodingError {
  std::string detail;
};

// JsonWriter and JsonReader visit a struct's members through its overload of
//   template <typename Archive> void VisitFields(Archive&, Struct&)
// so that a single declaration defines both encoding and decoding.

// Writes the visited members to a JSON object.
struct JsonWriter {
  Json object = Json::object();

  template <typename Value>
  void operator()(std::string_view name, const Value& value) {
    this->object[std::string(name)] = ToJson(value);
  }
  template <typename Value>
  void Required(std::string_view name, const Value& value) {
    (*this)(name, value);
  }

  template <typename Tag, typename Rep>
  static Json ToJson(const Id<Tag, Rep>& id) {
    return id.value;
  }
  template <typename Tag, typename Rep>
  static Json ToJson(const Quantity<Tag, Rep>& quantity) {
    return quantity.value;
  }
  static Json ToJson(Duration duration) { return duration.count(); }
  static Json ToJson(const std::string& text) { return text; }
  template <typename Number>
  requires std::is_arithmetic_v<Number>
  static Json ToJson(Number number) { return number; }
  template <NamedEnum Enum>
  static Json ToJson(Enum value) {
    return std::string(EnumName(value));
  }
  template <typename Value>
  static Json ToJson(const std::optional<Value>& value) {
    return value.has_value() ? ToJson(*value) : Json(nullptr);
  }
  template <typename Value>
  static Json ToJson(const std::vector<Value>& values) {
    Json array = Json::array();
    for (const Value& value : values) {
      array.push_back(ToJson(value));
    }
    return array;
  }
  template <typename Struct>
  requires requires(JsonWriter& writer, Struct& value) {
    VisitFields(writer, value);
  }
  static Json ToJson(const Struct& value) {
    JsonWriter nested;
    Struct copy = value;
    VisitFields(nested, copy);
    return std::move(nested.object);
  }
};

// Reads the visited members from a JSON object and keeps the first error. A
// member that is missing from the object keeps its default value.
struct JsonReader {
  const Json& object;
  std::string path;
  std::optional<DecodingError> error;

  template <typename Value>
  void operator()(std::string_view name, Value& value) {
    if (this->error) {
      return;
    }
    if (const auto found = this->object.find(std::string(name));
        found != this->object.end()) {
      this->Read(*found, fmt::format("{}.{}", this->path, name), value);
    }
  }

  // Reads a member whose absence is an error.
  template <typename Value>
  void Required(std::string_view name, Value& value) {
    if (!this->object.contains(std::string(name))) {
      this->Fail(fmt::format("{}.{}", this->path, name), "a value");
      return;
    }
    (*this)(name, value);
  }

  void Fail(const std::string& field, std::string_view expected) {
    if (!this->error) {
      this->error = DecodingError{
          fmt::format("{}: expected {}",
                      field.empty() ? "document" : field.substr(1), expected)};
    }
  }

  template <typename Tag, typename Rep>
  void Read(const Json& from, const std::string& field, Id<Tag, Rep>& id) {
    this->Read(from, field, id.value);
  }
  template <typename Tag, typename Rep>
  void Read(const Json& from,
            const std::string& field,
            Quantity<Tag, Rep>& quantity) {
    this->Read(from, field, quantity.value);
  }
  void Read(const Json& from, const std::string& field, Duration& duration) {
    std::int64_t count = 0;
    this->Read(from, field, count);
    duration = Duration(count);
  }
  void Read(const Json& from, const std::string& field, std::string& text) {
    if (from.is_string()) {
      text = from.get<std::string>();
    } else {
      this->Fail(field, "a string");
    }
  }
  void Read(const Json& from, const std::string& field, bool& flag) {
    if (from.is_boolean()) {
      flag = from.get<bool>();
    } else {
      this->Fail(field, "true or false");
    }
  }
  template <std::integral Number>
  void Read(const Json& from, const std::string& field, Number& number) {
    if (from.is_number_unsigned() &&
        std::in_range<Number>(from.get<std::uint64_t>())) {
      number = static_cast<Number>(from.get<std::uint64_t>());
    } else if (from.is_number_integer() && !from.is_number_unsigned() &&
               std::in_range<Number>(from.get<std::int64_t>())) {
      number = static_cast<Number>(from.get<std::int64_t>());
    } else {
      this->Fail(field, fmt::format("a whole number from {} to {}",
                                    std::numeric_limits<Number>::min(),
                                    std::numeric_limits<Number>::max()));
    }
  }
  template <NamedEnum Enum>
  void Read(const Json& from, const std::string& field, Enum& value) {
    std::string name;
    this->Read(from, field, name);
    if (const auto named = EnumFromName<Enum>(name)) {
      value = *named;
    } else {
      this->Fail(field,
                 fmt::format("one of {}", fmt::join(kEnumNames<Enum>, ", ")));
    }
  }
  template <typename Value>
  void Read(const Json& from,
            const std::string& field,
            std::optional<Value>& value) {
    if (from.is_null()) {
      value.reset();
      return;
    }
    this->Read(from, field, value.emplace());
  }
  template <typename Value>
  void Read(const Json& from,
            const std::string& field,
            std::vector<Value>& values) {
    if (!from.is_array()) {
      this->Fail(field, "a list");
      return;
    }
    values.clear();
    for (std::size_t i = 0; i < from.size(); ++i) {
      this->Read(from[i], fmt::format("{}[{}]", field, i),
                 values.emplace_back());
    }
  }
  template <typename Struct>
  requires requires(JsonReader& reader, Struct& value) {
    VisitFields(reader, value);
  }
  void Read(const Json& from, const std::string& field, Struct& value) {
    if (!from.is_object()) {
      this->Fail(field, "an object");
      return;
    }
    JsonReader nested{from, field, std::nullopt};
    VisitFields(nested, value);
    if (nested.error && !this->error) {
      this->error = std::move(nested.error);
    }
  }
};

template <typename Struct>
[[nodiscard]] std::string EncodeJson(const Struct& value) {
  // Invalid UTF-8 is replaced by U+FFFD; by default dump() would throw.
  return JsonWriter::ToJson(value).dump(-1, ' ', false,
                                        Json::error_handler_t::replace);
}

template <typename Struct>
[[nodiscard]] Result<Struct, DecodingError> DecodeJson(std::string_view text) {
  const Json document = Json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    return failure(DecodingError{"document: expected JSON"});
  }
  Struct value{};
  JsonReader reader{document, "", std::nullopt};
  reader.Read(document, "", value);
  if (reader.error) {
    return failure(std::move(*reader.error));
  }
  return value;
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_JSON_H_
