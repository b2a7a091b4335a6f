#ifndef CHICORYSTEP_SYSTEMS_REQUESTS_RENDEZVOUS_H_
#define CHICORYSTEP_SYSTEMS_REQUESTS_RENDEZVOUS_H_

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "chicorystep/core/ids.h"

namespace chicorystep {

// The weight of `entry` for `role` in rendezvous (highest random weight)
// hashing. The live entry with the highest weight holds the role.
[[nodiscard]] inline std::uint64_t RendezvousWeight(std::string_view role,
                                                    const EntryId& entry) {
  const std::string key = std::string(role) + '\0' + entry.value;
  return XXH3_64bits(key.data(), key.size());
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_REQUESTS_RENDEZVOUS_H_
