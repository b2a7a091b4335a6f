#ifndef CHICORYSTEP_SYSTEMS_GUARANTEE_CHECK_H_
#define CHICORYSTEP_SYSTEMS_GUARANTEE_CHECK_H_

#include <vector>

#include "chicorystep/tables/config.h"

namespace chicorystep {

// Whether all gangs of `guarantees` fit into the empty racks of `groups` at
// the same time. First fit, adjacent and large pieces first: it never accepts
// what does not fit, but may refuse a set that only another packing holds.
[[nodiscard]] bool HoldsGuarantees(const std::vector<WorkerGroup>& groups,
                                   std::vector<Guarantee> guarantees);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_GUARANTEE_CHECK_H_
