#ifndef CHICORYSTEP_ENCODING_LOG_MESSAGES_H_
#define CHICORYSTEP_ENCODING_LOG_MESSAGES_H_

#include <string>
#include <string_view>
#include <vector>

#include "chicorystep/core/result.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/tables/log.h"

namespace chicorystep {

// The request body of an append to the log service.
struct AppendBody {
  std::vector<LogRecord> records;
};

// The answer to an append. `first` is the offset of its first record.
struct AppendAnswer {
  Offset first;
};

// The answer to a read. `first` is the oldest offset that the service retains;
// `next` is the offset after the last record returned.
struct ReadAnswer {
  Offset first;
  Offset next;
  std::vector<LogRecord> records;
};

[[nodiscard]] std::string EncodeAppendBody(const AppendBody& body);
[[nodiscard]] Result<AppendBody, DecodingError> DecodeAppendBody(
    std::string_view text);
[[nodiscard]] std::string EncodeAppendAnswer(const AppendAnswer& answer);
[[nodiscard]] Result<AppendAnswer, DecodingError> DecodeAppendAnswer(
    std::string_view text);
[[nodiscard]] std::string EncodeReadAnswer(const ReadAnswer& answer);
[[nodiscard]] Result<ReadAnswer, DecodingError> DecodeReadAnswer(
    std::string_view text);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_LOG_MESSAGES_H_
