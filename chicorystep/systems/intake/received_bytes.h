#ifndef CHICORYSTEP_SYSTEMS_INTAKE_RECEIVED_BYTES_H_
#define CHICORYSTEP_SYSTEMS_INTAKE_RECEIVED_BYTES_H_

#include "chicorystep/tables/received_bytes.h"

namespace chicorystep {

// Adds a connection that holds `held`. At the limit on connections, the one
// that has made no progress for the longest time is closed instead; the new one
// is refused only when all others are being served.
[[nodiscard]] Admission OpenConnection(ReceivedBytes& account,
                                       ConnectionId id,
                                       const Address& peer,
                                       Bytes held,
                                       TimePoint now);

// Sets the stage of a connection and the memory that it holds. When there is
// not enough memory, closes unfinished requests and unread answers, those
// without progress for the longest time first and those of peers above their
// share before others, then idle connections. Refused are requests for which
// that is not enough, and those that would let whole requests occupy more than
// three quarters; never one that is alone. A refused connection keeps its
// earlier stage and size.
[[nodiscard]] Admission HoldBytes(ReceivedBytes& account,
                                  ConnectionId id,
                                  ConnectionStage stage,
                                  Bytes held,
                                  TimePoint now);

// Changes the stage alone, which is never refused.
void EnterStage(ReceivedBytes& account,
                ConnectionId id,
                ConnectionStage stage,
                TimePoint now);

// Closes up to `count` connections that have made no progress since
// `stalled_since`, so that others can be served: idle ones first, then
// unfinished requests. Returns the closed ones.
[[nodiscard]] std::vector<ConnectionId> CloseStalled(ReceivedBytes& account,
                                                     std::size_t count,
                                                     TimePoint stalled_since);

// Removes a connection, if it is in the account.
void CloseConnection(ReceivedBytes& account, ConnectionId id);
// The same for a connection that this process closes, which is counted.
void CloseConnection(ReceivedBytes& account,
                     ConnectionId id,
                     ClosingReason reason);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_INTAKE_RECEIVED_BYTES_H_
