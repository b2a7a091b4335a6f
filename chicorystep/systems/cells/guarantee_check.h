#ifndef CHICORYSTEP_SYSTEMS_CELLS_GUARANTEE_CHECK_H_
#define CHICORYSTEP_SYSTEMS_CELLS_GUARANTEE_CHECK_H_

#include <vector>

#include "chicorystep/tables/config.h"

namespace chicorystep {

// Whether all gangs of `guarantees` fit into the empty racks of `groups` at the
// same time. Packs by first fit in decreasing order of adjacency and size: it
// never accepts a set that does not fit, but may reject one that only another
// packing would hold.
[[nodiscard]] bool GuaranteesFit(const std::vector<WorkerGroup>& groups,
                                 std::vector<Guarantee> guarantees);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_GUARANTEE_CHECK_H_
