#include "chicorystep/encoding/log_messages.h"

namespace chicorystep {

template <typename Archive>
void VisitFields(Archive& archive, LogRecord& record) {
  archive("offset", record.offset);
  archive("id", record.id);
  archive("data", record.data);
}

template <typename Archive>
void VisitFields(Archive& archive, AppendBody& body) {
  archive("records", body.records);
}

template <typename Archive>
void VisitFields(Archive& archive, AppendAnswer& answer) {
  archive("first", answer.first);
}

template <typename Archive>
void VisitFields(Archive& archive, ReadAnswer& answer) {
  archive("first", answer.first);
  archive("next", answer.next);
  archive("records", answer.records);
}

std::string EncodeAppendBody(const AppendBody& body) {
  return EncodeJson(body);
}

Result<AppendBody, DecodingError> DecodeAppendBody(std::string_view text) {
  return DecodeJson<AppendBody>(text);
}

std::string EncodeAppendAnswer(const AppendAnswer& answer) {
  return EncodeJson(answer);
}

Result<AppendAnswer, DecodingError> DecodeAppendAnswer(std::string_view text) {
  return DecodeJson<AppendAnswer>(text);
}

std::string EncodeReadAnswer(const ReadAnswer& answer) {
  return EncodeJson(answer);
}

Result<ReadAnswer, DecodingError> DecodeReadAnswer(std::string_view text) {
  return DecodeJson<ReadAnswer>(text);
}

}  // namespace chicorystep
