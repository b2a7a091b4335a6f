#ifndef PROOF_JSON_LINES_H_
#define PROOF_JSON_LINES_H_

#include <string>
#include <string_view>

#include "chicorystep/core/result.h"
#include "proof/history.h"

namespace chicorystep::proof {

// Why a history could not be read.
struct HistoryError {
  std::string detail;
};

// The history as JSON lines, one event each:
// {"event":"call_begun","at_us":...}.
[[nodiscard]] std::string EncodeHistory(const History& history);

// Reads what `EncodeHistory` wrote; the error names the first wrong line.
[[nodiscard]] Result<History, HistoryError> DecodeHistory(
    std::string_view lines);

}  // namespace chicorystep::proof

#endif  // PROOF_JSON_LINES_H_
