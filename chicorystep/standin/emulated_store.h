#ifndef CHICORYSTEP_STANDIN_EMULATED_STORE_H_
#define CHICORYSTEP_STANDIN_EMULATED_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chicorystep/encoding/workflow_record.h"
#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// A keyed stream of the emulated store.
struct EmulatedLog {
  std::vector<KeyedValue> records;
  // The offset and the value of the newest record of each key; a key whose
  // newest record is a deletion is absent.
  std::map<std::string, std::pair<Offset, std::string>> newest;
  // Reads from an offset before this one are answered as compacted.
  Offset first;

  // The highest epoch of a holder's append, and the last sequence number in
  // that epoch. Appends with a lower epoch are fenced.
  Epoch epoch;
  std::uint64_t sequence = 0;

  // Appends with a longer record are not written and get an answer that the
  // platform does not document, so that their outcome counts as unknown.
  std::size_t max_record = 262'144;
};

// An in-memory model of the platform's store, without sockets or time. It has
// four keyed streams; compaction keeps the newest value of each key.
struct EmulatedStore {
  EmulatedLog journal;
  EmulatedLog progress;
  std::vector<WorkflowConfig> configs;
  // All changes of evacuated zones in order, with the end of the operator's
  // stream as it was before each, and the zones that are evacuated.
  std::vector<std::pair<Offset, EvacuationChange>> evacuations;
  std::set<Zone> evacuated;
  // Reads of the operator's stream from an offset before this one are answered
  // as compacted.
  Offset operator_first;
  // All changes of worker listings in order; a change without a value ends the
  // listing.
  std::vector<std::pair<WorkerId, std::optional<WorkerListing>>> listings;
  // The current listing of each worker.
  std::map<WorkerId, WorkerListing> listed;

  std::uint64_t appends = 0;
  std::uint64_t reads = 0;
};

// Identifies a holder's append, so that the store can fence an earlier holder
// and recognise a repeated append.
struct ProducerSequence {
  Epoch epoch;
  std::uint64_t sequence = 0;
};

// Appends all records or none. With `producer` set, an append of a lower epoch
// or out of sequence is rejected and a repeated one is not written again;
// without it the append always succeeds.
[[nodiscard]] JournalAppended AppendTo(
    EmulatedLog& log,
    std::vector<KeyedValue> records,
    const std::optional<ProducerSequence>& producer);

// Appends an entry's records to the stream of the append's lane.
[[nodiscard]] JournalAppended Append(EmulatedStore& store,
                                     const AppendJournal& append);

// Returns the result of a read, or nothing when no record is available yet and
// `may_wait` allows the read to wait for one.
[[nodiscard]] std::optional<StreamRead> Read(EmulatedStore& store,
                                             const ReadStream& read,
                                             bool may_wait);

// Adds or replaces the listing of a worker, or removes it.
void List(EmulatedStore& store, const WorkerListing& listing);
void Unlist(EmulatedStore& store, const WorkerId& worker);

// Evacuates a zone or takes it back, by a record of the operator.
void SetEvacuated(EmulatedStore& store, const Zone& zone, bool evacuated);

// Compacts the streams of the journal, the progress and the operator: only the
// newest record of each key can be read from then on.
void Compact(EmulatedStore& store);

}  // namespace chicorystep

#endif  // CHICORYSTEP_STANDIN_EMULATED_STORE_H_
