#ifndef CHICORYSTEP_TABLES_RECEIVED_BYTES_H_
#define CHICORYSTEP_TABLES_RECEIVED_BYTES_H_

#include <array>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "chicorystep/core/enum_names.h"
#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"

namespace chicorystep {

// What a caller's connection is doing.
enum class ConnectionStage : std::uint8_t {
  // No byte of the next request has arrived.
  kIdle,
  // A part of a request has arrived.
  kReceiving,
  // A whole request waits for its answer.
  kServing,
  // The answer is being sent.
  kAnswering,
};

// Why the process closed a connection before its caller did.
enum class ClosingReason : std::uint8_t {
  // The requests of all callers took too much memory.
  kMemory,
  // Too many connections were open.
  kConnections,
  // The rest of a request did not arrive in time.
  kUnfinished,
  // The caller did not read its answer in time.
  kUnread,
};
template <>
inline constexpr std::array kEnumNames<ClosingReason> = {
    std::string_view("memory"),
    std::string_view("connections"),
    std::string_view("unfinished"),
    std::string_view("unread"),
};

// Limits on what all callers together may occupy.
struct ReceivedLimits {
  // Memory of requests from their first byte until their answer is sent.
  Bytes memory{40 << 20};
  Connections connections{2000};
};

// One connection and the memory that it occupies.
struct ReceivingConnection {
  Address peer;
  ConnectionStage stage = ConnectionStage::kIdle;
  Bytes held;
  // When bytes last moved or the stage last changed.
  TimePoint progressed{};
};

// The account of bytes that were received and are not answered. The sums are
// those of the rows.
struct ReceivedBytes {
  ReceivedLimits limits;
  std::map<ConnectionId, ReceivingConnection> connections;
  Bytes held;
  // The part of `held` in stage kServing, and the number of these rows.
  Bytes serving;
  std::size_t serving_count = 0;
  // By the address of the peer, without its port.
  std::map<Address, Bytes> held_by_peer;
  // Connections closed by this process, by ClosingReason, and whole requests
  // that were declined for want of memory.
  std::array<std::uint64_t, kEnumNames<ClosingReason>.size()> closed{};
  std::uint64_t declined = 0;
};

// Whether a connection may go on, and the connections that have to be closed in
// its favour. The account no longer contains those.
struct Admission {
  bool admitted = true;
  std::vector<ConnectionId> closes;
};

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_RECEIVED_BYTES_H_
