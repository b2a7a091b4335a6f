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

void ReadJournal(const EmulatedStore& store, Offset from, StreamRead& read) {
  for (std::uint64_t at = from.value; at < store.journal.size(); ++at) {
    AddDecoded(read, Offset(at), store.journal[at]);
  }
  read.next = Offset(store.journal.size());
}

void LoadJournal(const EmulatedStore& store, StreamRead& read) {
  for (const auto& [key, value] : store.newest) {
    AddDecoded(read, value.first, KeyedValue{key, value.second});
  }
  read.next = Offset(store.journal.size());
  read.whole = true;
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
    read.whole = true;
  }
  read.next = Offset(store.listings.size());
}

}  // namespace

JournalAppended Append(EmulatedStore& store, const AppendJournal& append) {
  ++store.appends;
  JournalAppended appended{.lane = append.lane, .batch = append.batch};
  if (append.lane == AppendLane::kHolder) {
    if (append.epoch < store.epoch) {
      appended.outcome = AppendOutcome::kFenced;
      return appended;
    }
    if (append.epoch == store.epoch && append.sequence == store.sequence) {
      // A repeat gets its first answer again.
      appended.outcome = AppendOutcome::kWritten;
      return appended;
    }
    if (append.epoch == store.epoch && append.sequence != store.sequence + 1) {
      appended.outcome = AppendOutcome::kOutOfSequence;
      appended.expected_sequence = store.sequence + 1;
      return appended;
    }
    store.epoch = append.epoch;
    store.sequence = append.sequence;
  }
  appended.outcome = AppendOutcome::kWritten;
  appended.first = Offset(store.journal.size());
  for (const JournalRecord& record : append.records) {
    for (KeyedValue& keyed : EncodeJournalRecord(record)) {
      if (keyed.value) {
        store.newest[keyed.key] = {Offset(store.journal.size()), *keyed.value};
      } else {
        store.newest.erase(keyed.key);
      }
      store.journal.push_back(std::move(keyed));
    }
  }
  return appended;
}

std::optional<StreamRead> Read(EmulatedStore& store,
                               const ReadStream& read,
                               bool may_wait) {
  StreamRead result{.stream = read.stream, .ok = true};
  std::size_t end = store.journal.size();
  if (read.stream == FollowedStream::kConfig) {
    end = store.configs.size();
  } else if (read.stream == FollowedStream::kWorkers) {
    end = store.listings.size();
  }
  if (read.from && read.from->value >= end && may_wait) {
    return std::nullopt;
  }
  ++store.reads;
  switch (read.stream) {
    case FollowedStream::kConfig:
      if (!store.configs.empty() && (!read.from || read.from->value < end)) {
        result.config = store.configs.back();
      }
      result.next = Offset(end);
      break;
    case FollowedStream::kWorkers:
      ReadWorkers(store, read.from, result);
      break;
    case FollowedStream::kJournal:
      if (read.from && *read.from < store.journal_first) {
        result.compacted = true;
      } else if (read.from) {
        ReadJournal(store, *read.from, result);
      } else {
        LoadJournal(store, result);
      }
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

void Compact(EmulatedStore& store) {
  store.journal_first = Offset(store.journal.size());
}

}  // namespace chicorystep
