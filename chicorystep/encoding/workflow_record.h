#ifndef CHICORYSTEP_ENCODING_WORKFLOW_RECORD_H_
#define CHICORYSTEP_ENCODING_WORKFLOW_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chicorystep/core/result.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/tables/workflows.h"

namespace chicorystep {

// A journal record as a keyed log holds it: the newest value of each key
// lasts, and no value drops the key.
struct KeyedValue {
  std::string key;
  std::optional<std::string> value;

  friend bool operator==(const KeyedValue&, const KeyedValue&) = default;
};

// A workflow's acceptance, cancel, state and progress have keys of their own,
// so that none hides another when only the newest values are left.
[[nodiscard]] std::vector<KeyedValue> EncodeJournalRecord(
    const JournalRecord& record);

// The record that `key` and `value` hold, or what is wrong with them. A key
// without a value holds none.
[[nodiscard]] Result<std::optional<JournalRecord>, EncodingError>
DecodeJournalRecord(std::string_view key,
                    const std::optional<std::string>& value);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_WORKFLOW_RECORD_H_
