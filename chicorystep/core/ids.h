#ifndef CHICORYSTEP_CORE_IDS_H_
#define CHICORYSTEP_CORE_IDS_H_

#include <cstdint>
#include <string>

#include "chicorystep/core/strong.h"

namespace chicorystep {

// A customer of one deployment. Rows of the pools table hold its guarantees.
using Workspace = Id<struct WorkspaceTag, std::string>;
// The kind of work that a caller requests, such as "dispatch"; the key of the
// routes table.
using Kind = Id<struct KindTag, std::string>;
// The name of a pool; joins the routes table to the pools table.
using PoolName = Id<struct PoolNameTag, std::string>;
// A set of executors that serve the same kinds of request.
using Service = Id<struct ServiceTag, std::string>;

using Zone = Id<struct ZoneTag, std::string>;
using Region = Id<struct RegionTag, std::string>;
using Rack = Id<struct RackTag, std::string>;
// A placement cell: a group of zones on whose workers one entry process at a
// time places jobs.
using CellName = Id<struct CellNameTag, std::string>;
// A network endpoint of the form "ip:port".
using Address = Id<struct AddressTag, std::string>;

// An entry process: one instance of this scheduler.
using EntryId = Id<struct EntryIdTag, std::string>;
// Identifies one run of an entry process; every restart gets a new incarnation.
using Incarnation = Id<struct IncarnationTag, std::uint64_t>;
using ExecutorId = Id<struct ExecutorIdTag, std::string>;
using WorkerId = Id<struct WorkerIdTag, std::string>;

// The id that the caller gives a request or a job, unique within its workspace.
using RequestId = Id<struct RequestIdTag, std::string>;
using JobId = Id<struct JobIdTag, std::string>;
// The position of a piece within its gang, from 0.
using PieceIndex = Id<struct PieceIndexTag, std::uint32_t>;
using LeaseId = Id<struct LeaseIdTag, std::string>;
// The number of an attempt within its request, from 1.
using Attempt = Id<struct AttemptTag, std::uint32_t>;
// A traffic thread's handle for one exchange, unique within this process.
using ExchangeId = Id<struct ExchangeIdTag, std::uint64_t>;
// A connection of a caller, unique within one process.
using ConnectionId = Id<struct ConnectionIdTag, std::uint64_t>;

using Stream = Id<struct StreamTag, std::string>;
// The id that the writer gives a log record, so that a repeated append counts
// only once.
using RecordId = Id<struct RecordIdTag, std::string>;
// A position in a stream of the log service.
using Offset = Id<struct OffsetTag, std::uint64_t>;
// The offset of the edit that last changed a row or a table, plus 1; 0 means
// that no edit has changed it.
using Revision = Id<struct RevisionTag, std::uint64_t>;
// Numbers the successive holders of a placement cell. Workers reject messages
// with a lower epoch than the highest that they have received.
using Epoch = Id<struct EpochTag, std::uint64_t>;

// Numbers the messages of one holder to one worker. The worker rejects a
// message that is older than the newest it has received.
using MessageSequence = Id<struct MessageSequenceTag, std::uint64_t>;

}  // namespace chicorystep

#endif  // CHICORYSTEP_CORE_IDS_H_
