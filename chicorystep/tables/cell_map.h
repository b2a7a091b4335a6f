#ifndef CHICORYSTEP_TABLES_CELL_MAP_H_
#define CHICORYSTEP_TABLES_CELL_MAP_H_

#include <map>
#include <set>

#include "chicorystep/core/ids.h"

namespace chicorystep {

// Which placement cell each availability zone belongs to. It comes from the
// settings alone, never from what is listed, so that a job's home does not move
// when a zone appears or goes: a repeat of a submission finds the same job.
struct CellMap {
  std::map<Zone, CellName> cell_of_zone;
};

// The cell of every zone that the map does not name.
inline const CellName kWholeCell("all");

[[nodiscard]] inline const CellName& CellOf(const CellMap& map,
                                            const Zone& zone) {
  const auto found = map.cell_of_zone.find(zone);
  return found == map.cell_of_zone.end() ? kWholeCell : found->second;
}

// The cells that take jobs which no guarantee ties to a zone.
[[nodiscard]] inline std::set<CellName> CellsOf(const CellMap& map) {
  std::set<CellName> cells;
  for (const auto& [zone, cell] : map.cell_of_zone) {
    cells.insert(cell);
  }
  if (cells.empty()) {
    cells.insert(kWholeCell);
  }
  return cells;
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_TABLES_CELL_MAP_H_
