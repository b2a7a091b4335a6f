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

// One keyed stream that entries write.
struct EmulatedLog {
  std::vector<KeyedValue> records;
  // The newest value of each key and its offset.
  std::map<std::string, std::pair<Offset, std::string>> newest;
  // Records before this offset are gone.
  Offset first;

  // Of the holders' appends: the highest epoch, and its last sequence number.
  Epoch epoch;
  std::uint64_t sequence = 0;
};

// The rules of the platform's store as a plain struct, without sockets or
// time: four keyed streams, of which the newest value of each key lasts.
struct EmulatedStore {
  EmulatedLog journal;
  EmulatedLog progress;
  std::vector<WorkflowConfig> configs;
  std::vector<std::pair<WorkerId, std::optional<WorkerListing>>> listings;
  std::map<WorkerId, WorkerListing> listed;

  std::uint64_t appends = 0;
  std::uint64_t reads = 0;
};

// What a holder's append names beside its records.
struct HolderTurn {
  Epoch epoch;
  std::uint64_t sequence = 0;
};

// Appends all records to one stream or none, as `turn` allows; without one
// nothing stands against it.
[[nodiscard]] JournalAppended AppendTo(EmulatedLog& log,
                                       std::vector<KeyedValue> records,
                                       const std::optional<HolderTurn>& turn);

// The same with an entry's append, to the stream of its lane.
[[nodiscard]] JournalAppended Append(EmulatedStore& store,
                                     const AppendJournal& append);

// What a read brings now; nothing when it would wait for a record.
[[nodiscard]] std::optional<StreamRead> Read(EmulatedStore& store,
                                             const ReadStream& read,
                                             bool may_wait);

// Lists a worker, or ends its listing.
void List(EmulatedStore& store, const WorkerListing& listing);
void Unlist(EmulatedStore& store, const WorkerId& worker);

// Drops all records of what entries write but the newest of each key.
void Compact(EmulatedStore& store);

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_EMULATED_STORE_H_
