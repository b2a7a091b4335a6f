#ifndef CHICORYSTEP_SYSTEMS_SCHEDULING_H_
#define CHICORYSTEP_SYSTEMS_SCHEDULING_H_

#include <string>

#include "chicorystep/tables/world.h"

namespace chicorystep {

// Gives waiting jobs their workers: urgent before normal before bulk, among
// equals the workspace with the least borrowed for its weight, and within a
// workspace those that attained the least service.
void PlaceGangs(World& world, TimePoint now);

// Why the cell could never hold a gang of `spec` for `pool`; empty when it
// could.
[[nodiscard]] std::string WhyNeverRunnable(const CellMap& map,
                                           const Cell& cell,
                                           const Pool& pool,
                                           const Shape& shape);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_SCHEDULING_H_
