#ifndef CHICORYSTEP_TABLES_CELL_MAP_H_
#define CHICORYSTEP_TABLES_CELL_MAP_H_

#include <map>
#include <set>

#include "chicorystep/core/ids.h"

namespace chicorystep {

// The placement cell of each availability zone. The map comes from the settings
// alone, never from the listed instances, so that the cell of a job does not
// change when a zone appears or disappears: a repeated submission must find the
// same job.
struct CellMap {
  std::map<Zone, CellName> cell_of_zone;
};

// The cell of every zone that is not in the map.
inline const CellName kDefaultCell("all");

[[nodiscard]] inline const CellName& CellForZone(const CellMap& map,
                                                 const Zone& zone) {
  const auto found = map.cell_of_zone.find(zone);
  return found == map.cell_of_zone.end() ? kDefaultCell : found->second;
}

// All cells of the map, or the default cell when the map is empty. A job whose
// pool has no guarantee in any zone is assigned to one of them.
[[nodiscard]] inline std::set<CellName> ConfiguredCells(const CellMap& map) {
  std::set<CellName> cells;
  for (const auto& [zone, cell] : map.cell_of_zone) {
    cells.insert(cell);
  }
  if (cells.empty()) {
    cells.insert(kDefaultCell);
  }
  return cells;
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_CELL_MAP_H_
