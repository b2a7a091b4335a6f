#ifndef CHICORYSTEP_TABLES_EVACUATIONS_H_
#define CHICORYSTEP_TABLES_EVACUATIONS_H_

#include <map>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"

namespace chicorystep {

// The operator requests that no task be started in a zone, or takes the zone
// back.
struct EvacuationChange {
  Zone zone;
  bool evacuated = false;

  friend bool operator==(const EvacuationChange&,
                         const EvacuationChange&) = default;
};

// The zones in which no task is started, with the time at which this process
// read the request.
struct Evacuations {
  std::map<Zone, TimePoint> zones;
};

[[nodiscard]] inline bool IsEvacuated(const Evacuations& evacuations,
                                      const Zone& zone) {
  return evacuations.zones.contains(zone);
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_EVACUATIONS_H_
