#ifndef CHICORYSTEP_STANDIN_EMULATED_STORE_H_
#define CHICORYSTEP_STANDIN_EMULATED_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/encoding/workflow_record.h"
#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// The rules of the platform's store as a plain struct, without sockets or
// time: three keyed streams, of which the newest value of each key lasts.
struct EmulatedStore {
  std::vector<KeyedValue> journal;
  // The newest value of each key and its offset.
  std::map<std::string, std::pair<Offset, std::string>> newest;
  // Records of the journal before this offset are gone.
  Offset journal_first;

  // The holder's lane: the highest epoch, and its last sequence number.
  Epoch epoch;
  std::uint64_t sequence = 0;

  std::vector<WorkflowConfig> configs;
  std::vector<std::pair<WorkerId, std::optional<WorkerListing>>> listings;
  std::map<WorkerId, WorkerListing> listed;

  std::uint64_t appends = 0;
  std::uint64_t reads = 0;
};

// Appends all records or none, as the epoch and the sequence number allow.
[[nodiscard]] JournalAppended Append(EmulatedStore& store,
                                     const AppendJournal& append);

// What a read brings now; nothing when it would wait for a record.
[[nodiscard]] std::optional<StreamRead> Read(EmulatedStore& store,
                                             const ReadStream& read,
                                             bool may_wait);

// Lists a worker, or ends its listing.
void List(EmulatedStore& store, const WorkerListing& listing);
void Unlist(EmulatedStore& store, const WorkerId& worker);

// Drops all records of the journal but the newest of each key.
void Compact(EmulatedStore& store);

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_EMULATED_STORE_H_
