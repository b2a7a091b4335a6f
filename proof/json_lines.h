#ifndef PROOF_JSON_LINES_H_
#define PROOF_JSON_LINES_H_

#include <string>
#include <string_view>

#include "chicorystep/core/result.h"
#include "proof/history.h"

namespace chicorystep::proof {

// The reason why a history could not be decoded.
struct HistoryError {
  std::string detail;
};

// Encodes the history as JSON lines, one event per line:
// {"event":"call_begun","at_us":...}.
[[nodiscard]] std::string EncodeHistory(const History& history);

// Decodes the output of `EncodeHistory`. The error gives the number of the
// first invalid line.
[[nodiscard]] Result<History, HistoryError> DecodeHistory(
    std::string_view lines);

}  // namespace chicorystep::proof

#endif  // PROOF_JSON_LINES_H_
