#ifndef CHICORYSTEP_CORE_IDS_H_
#define CHICORYSTEP_CORE_IDS_H_

#include <cstdint>
#include <string>

#include "chicorystep/core/strong.h"

namespace chicorystep {

// A customer of one deployment; holds guarantees through pool rows.
using Workspace = Id<struct WorkspaceTag, std::string>;
// What a caller asks for, such as "dispatch"; the key of the routes table.
using Kind = Id<struct KindTag, std::string>;
// The name by which the routes table and the pools table are joined.
using PoolName = Id<struct PoolNameTag, std::string>;
// A set of executors that answer the same kinds of request.
using Service = Id<struct ServiceTag, std::string>;

using Zone = Id<struct ZoneTag, std::string>;
using Region = Id<struct RegionTag, std::string>;
using Rack = Id<struct RackTag, std::string>;
// A placement cell: the zones whose workers one entry process places jobs on.
using CellName = Id<struct CellNameTag, std::string>;
// A network endpoint, "ip:port".
using Address = Id<struct AddressTag, std::string>;

// An entry instance, a process of this system.
using EntryId = Id<struct EntryIdTag, std::string>;
// One life of an entry process; a restart gets a new one.
using Incarnation = Id<struct IncarnationTag, std::uint64_t>;
using ExecutorId = Id<struct ExecutorIdTag, std::string>;
using WorkerId = Id<struct WorkerIdTag, std::string>;

// The caller's own name for a request or a job, unique within its workspace.
using RequestId = Id<struct RequestIdTag, std::string>;
using JobId = Id<struct JobIdTag, std::string>;
// The place of a piece within its gang, from 0.
using PieceIndex = Id<struct PieceIndexTag, std::uint32_t>;
using LeaseId = Id<struct LeaseIdTag, std::string>;
// The attempt number within a request, from 1.
using Attempt = Id<struct AttemptTag, std::uint32_t>;
// A traffic thread's handle for one exchange in this process.
using ExchangeId = Id<struct ExchangeIdTag, std::uint64_t>;

using Stream = Id<struct StreamTag, std::string>;
// The writer's own name for a log record, for counting a repeated append once.
using RecordId = Id<struct RecordIdTag, std::string>;
// A position in a stream of the log service.
using Offset = Id<struct OffsetTag, std::uint64_t>;
// The offset of the edit that last changed a row or a table, plus 1; 0 is none.
using Revision = Id<struct RevisionTag, std::uint64_t>;
// Orders the holders of a placement cell; workers reject a lower one.
using Epoch = Id<struct EpochTag, std::uint64_t>;

// Orders the messages of one holder to one worker, which rejects an older one.
using MessageSequence = Id<struct MessageSequenceTag, std::uint64_t>;

}  // namespace chicorystep

#endif  // CHICORYSTEP_CORE_IDS_H_
