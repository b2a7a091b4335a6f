#ifndef CHICORYSTEP_ENCODING_STATE_DUMP_H_
#define CHICORYSTEP_ENCODING_STATE_DUMP_H_

#include <string>

#include "chicorystep/tables/world.h"

namespace chicorystep {

// Encodes the control state of a process as JSON, for operators and tests.
[[nodiscard]] std::string EncodeStateDump(const World& world, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_STATE_DUMP_H_
