#ifndef CHICORYSTEP_SYSTEMS_CELLS_SCHEDULING_H_
#define CHICORYSTEP_SYSTEMS_CELLS_SCHEDULING_H_

#include <string>

#include "chicorystep/tables/world.h"

namespace chicorystep {

// Places waiting jobs on workers: urgent before normal before bulk; within a
// priority the pool that borrows the least for its weight first, and within a
// pool the jobs with the least attained service.
void PlaceGangs(World& world, TimePoint now);

// Returns why the cell can never hold a gang of `shape` for `pool`; empty when
// it can.
[[nodiscard]] std::string ExplainNeverRunnable(const CellMap& map,
                                               const Cell& cell,
                                               const Pool& pool,
                                               const Shape& shape);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_SCHEDULING_H_
