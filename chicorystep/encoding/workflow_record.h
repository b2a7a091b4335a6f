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

// A journal record in the form of a keyed log, which retains the newest value
// of each key. A record without a value deletes its key.
struct KeyedValue {
  std::string key;
  std::optional<std::string> value;

  friend bool operator==(const KeyedValue&, const KeyedValue&) = default;
};

// Encodes one journal record. The acceptance, cancellation, state and progress
// of a workflow have separate keys, so that none replaces another when
// compaction retains only the newest value of each key.
[[nodiscard]] std::vector<KeyedValue> EncodeJournalRecord(
    const JournalRecord& record);

// Decodes the record that is stored under `key`, or returns why it cannot be
// decoded. A deleted key holds no record, except that a deleted acceptance
// decodes to an EvictionRecord.
[[nodiscard]] Result<std::optional<JournalRecord>, DecodingError>
DecodeJournalRecord(std::string_view key,
                    const std::optional<std::string>& value);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_WORKFLOW_RECORD_H_
