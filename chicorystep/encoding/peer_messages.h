#ifndef CHICORYSTEP_ENCODING_PEER_MESSAGES_H_
#define CHICORYSTEP_ENCODING_PEER_MESSAGES_H_

#include "chicorystep/core/result.h"
#include "chicorystep/encoding/json.h"
#include "chicorystep/encoding/peer.capnp.h"
#include "chicorystep/tables/config_sync.h"
#include "chicorystep/tables/jobs.h"
#include "chicorystep/tables/members.h"

namespace chicorystep {

// Conversions between the messages in the tables and their Cap'n Proto form.
void WriteHeartbeat(const Heartbeat& beat, wire::Heartbeat::Builder builder);
[[nodiscard]] Heartbeat ReadHeartbeat(wire::Heartbeat::Reader reader);

void WriteConfigAnswer(const ConfigAnswer& answer,
                       wire::ConfigAnswer::Builder builder);
[[nodiscard]] ConfigAnswer ReadConfigAnswer(wire::ConfigAnswer::Reader reader);

void WriteJobOperation(const JobOperation& operation,
                       wire::JobOperation::Builder builder);
[[nodiscard]] Result<JobOperation, DecodingError> ReadJobOperation(
    wire::JobOperation::Reader reader);

void WriteJobAnswer(const EndJobOperation& end,
                    wire::JobAnswer::Builder builder);
[[nodiscard]] Result<EndJobOperation, DecodingError> ReadJobAnswer(
    wire::JobAnswer::Reader reader);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_PEER_MESSAGES_H_
