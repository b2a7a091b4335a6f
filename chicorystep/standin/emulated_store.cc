#include "chicorystep/standin/emulated_store.h"

#include <algorithm>

namespace chicorystep {
namespace {

void AddDecoded(StreamRead& read, Offset offset, const KeyedValue& record) {
  read.received += Bytes(static_cast<std::int64_t>(
      record.key.size() + (record.value ? record.value->size() : 0)));
  if (auto decoded = DecodeJournalRecord(record.key, record.value);
      decoded && decoded.value()) {
    read.journal.emplace_back(offset, *decoded.value());
  }
}

void ReadFrom(const EmulatedLog& log, Offset from, StreamRead& read) {
  for (std::uint64_t at = from.value; at < log.records.size(); ++at) {
    AddDecoded(read, Offset(at), log.records[at]);
  }
  read.next = Offset(log.records.size());
}

void LoadNewest(const EmulatedLog& log, StreamRead& read) {
  for (const auto& [key, value] : log.newest) {
    AddDecoded(read, value.first, KeyedValue{key, value.second});
  }
  read.next = Offset(log.records.size());
  read.workers_complete = true;
}

void ReadLog(const EmulatedLog& log,
             const std::optional<Offset>& from,
             StreamRead& read) {
  if (from && *from < log.first) {
    read.compacted = true;
  } else if (from) {
    ReadFrom(log, *from, read);
  } else {
    LoadNewest(log, read);
  }
}

// The end of the operator's stream.
Offset OperatorEnd(const EmulatedStore& store) {
  return Offset(store.configs.size() + store.evacuations.size());
}

void ReadOperator(const EmulatedStore& store,
                  const std::optional<Offset>& from,
                  StreamRead& read) {
  const Offset end = OperatorEnd(store);
  read.next = end;
  if (from && *from < store.operator_first) {
    read.compacted = true;
    return;
  }
  if (!store.configs.empty() && (!from || *from < end)) {
    read.config = store.configs.back();
  }
  if (from) {
    for (const auto& [offset, change] : store.evacuations) {
      if (offset >= *from) {
        read.evacuations.push_back(change);
      }
    }
    return;
  }
  for (const Zone& zone : store.evacuated) {
    read.evacuations.push_back({.zone = zone, .evacuated = true});
  }
  read.evacuations_complete = true;
}

void ReadWorkers(const EmulatedStore& store,
                 const std::optional<Offset>& from,
                 StreamRead& read) {
  if (from) {
    read.workers.assign(
        store.listings.begin() + static_cast<std::ptrdiff_t>(from->value),
        store.listings.end());
  } else {
    for (const auto& [id, listing] : store.listed) {
      read.workers.emplace_back(id, listing);
    }
    read.workers_complete = true;
  }
  read.next = Offset(store.listings.size());
}

}  // namespace

JournalAppended AppendTo(EmulatedLog& log,
                         std::vector<KeyedValue> records,
                         const std::optional<ProducerSequence>& producer) {
  JournalAppended appended;
  const bool too_long =
      std::any_of(records.begin(), records.end(), [&](const KeyedValue& keyed) {
        return 1 + keyed.key.size() + (keyed.value ? keyed.value->size() : 0) >
               log.max_record;
      });
  if (too_long) {
    return appended;
  }
  if (producer) {
    appended.epoch = producer->epoch;
    if (producer->epoch < log.epoch) {
      appended.outcome = AppendOutcome::kFenced;
      return appended;
    }
    if (producer->epoch == log.epoch && producer->sequence == log.sequence) {
      // A repeated append is acknowledged without being written again.
      appended.outcome = AppendOutcome::kWritten;
      return appended;
    }
    if (producer->epoch == log.epoch &&
        producer->sequence != log.sequence + 1) {
      appended.outcome = AppendOutcome::kOutOfSequence;
      appended.expected_sequence = log.sequence + 1;
      return appended;
    }
    log.epoch = producer->epoch;
    log.sequence = producer->sequence;
  }
  appended.outcome = AppendOutcome::kWritten;
  appended.first = Offset(log.records.size());
  for (KeyedValue& keyed : records) {
    if (keyed.value) {
      log.newest[keyed.key] = {Offset(log.records.size()), *keyed.value};
    } else {
      log.newest.erase(keyed.key);
    }
    log.records.push_back(std::move(keyed));
  }
  return appended;
}

JournalAppended Append(EmulatedStore& store, const AppendJournal& append) {
  ++store.appends;
  std::vector<KeyedValue> records;
  for (const JournalRecord& record : append.records) {
    for (KeyedValue& keyed : EncodeJournalRecord(record)) {
      records.push_back(std::move(keyed));
    }
  }
  std::optional<ProducerSequence> producer;
  if (append.lane != AppendLane::kCallers) {
    producer =
        ProducerSequence{.epoch = append.epoch, .sequence = append.sequence};
  }
  JournalAppended appended = AppendTo(
      append.lane == AppendLane::kProgress ? store.progress : store.journal,
      std::move(records), producer);
  appended.lane = append.lane;
  appended.epoch = append.epoch;
  appended.batch = append.batch;
  return appended;
}

std::optional<StreamRead> Read(EmulatedStore& store,
                               const ReadStream& read,
                               bool may_wait) {
  StreamRead result{.stream = read.stream, .ok = true};
  std::size_t end = store.journal.records.size();
  if (read.stream == FollowedStream::kConfig) {
    end = OperatorEnd(store).value;
  } else if (read.stream == FollowedStream::kWorkers) {
    end = store.listings.size();
  } else if (read.stream == FollowedStream::kProgress) {
    end = store.progress.records.size();
  }
  if (read.from && read.from->value >= end && may_wait) {
    return std::nullopt;
  }
  ++store.reads;
  switch (read.stream) {
    case FollowedStream::kConfig:
      ReadOperator(store, read.from, result);
      break;
    case FollowedStream::kWorkers:
      ReadWorkers(store, read.from, result);
      break;
    case FollowedStream::kJournal:
      ReadLog(store.journal, read.from, result);
      break;
    case FollowedStream::kProgress:
      ReadLog(store.progress, read.from, result);
      break;
  }
  return result;
}

void List(EmulatedStore& store, const WorkerListing& listing) {
  store.listed[listing.id] = listing;
  store.listings.emplace_back(listing.id, listing);
}

void Unlist(EmulatedStore& store, const WorkerId& worker) {
  if (store.listed.erase(worker) != 0) {
    store.listings.emplace_back(worker, std::nullopt);
  }
}

void SetEvacuated(EmulatedStore& store, const Zone& zone, bool evacuated) {
  store.evacuations.emplace_back(
      OperatorEnd(store),
      EvacuationChange{.zone = zone, .evacuated = evacuated});
  if (evacuated) {
    store.evacuated.insert(zone);
  } else {
    store.evacuated.erase(zone);
  }
}

void Compact(EmulatedStore& store) {
  for (EmulatedLog* log : {&store.journal, &store.progress}) {
    log->first = Offset(log->records.size());
  }
  store.operator_first = OperatorEnd(store);
}

}  // namespace chicorystep
