#include "chicorystep/systems/guarantee_check.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <tuple>

namespace chicorystep {
namespace impl {

// What is still free on one worker.
struct FreeWorker {
  Accelerators accelerators;
  Millicores processors;
  Mebibytes memory;
};
using FreeRack = std::vector<FreeWorker>;

// Beyond this many workers in a zone a capacity report is not plausible.
inline constexpr std::int64_t kMaxWorkers = 1'000'000;

std::vector<FreeRack> EmptyRacks(const std::vector<WorkerGroup>& groups) {
  std::vector<FreeRack> racks;
  std::int64_t workers = 0;
  for (const WorkerGroup& group : groups) {
    for (std::int64_t i = 0; i < group.racks; ++i) {
      workers += group.workers_per_rack;
      if (workers > kMaxWorkers) {
        return racks;
      }
      racks.emplace_back(
          static_cast<std::size_t>(group.workers_per_rack),
          FreeWorker{group.accelerators, group.processors, group.memory});
    }
  }
  return racks;
}

// How many pieces of `shape` fit on `worker`.
std::int64_t PiecesOn(const FreeWorker& worker, const Shape& shape) {
  std::int64_t pieces = std::numeric_limits<std::int64_t>::max();
  const auto limit = [&](std::int64_t free, std::int64_t wanted) {
    if (wanted > 0) {
      pieces = std::min(pieces, free / wanted);
    }
  };
  limit(worker.accelerators.value, shape.accelerators.value);
  limit(worker.processors.value, shape.processors.value);
  limit(worker.memory.value, shape.memory.value);
  return pieces;
}

// Takes room for up to `wanted` pieces from `worker`; how many it took.
std::int64_t TakePieces(FreeWorker& worker,
                        const Shape& shape,
                        std::int64_t wanted) {
  const std::int64_t taken = std::min(wanted, PiecesOn(worker, shape));
  worker.accelerators -= shape.accelerators * taken;
  worker.processors -= shape.processors * taken;
  worker.memory -= shape.memory * taken;
  return taken;
}

std::int64_t CountPieces(const FreeRack& rack, const Shape& shape) {
  std::int64_t pieces = 0;
  for (const FreeWorker& worker : rack) {
    pieces += std::min(PiecesOn(worker, shape), shape.pieces);
  }
  return pieces;
}

// Each tries to place `count` gangs of `shape`; how many were left over.
std::int64_t PlaceOnWorkers(std::vector<FreeRack>& racks,
                            const Shape& shape,
                            std::int64_t count) {
  for (FreeRack& rack : racks) {
    for (FreeWorker& worker : rack) {
      const std::int64_t gangs =
          std::min(count, PiecesOn(worker, shape) / shape.pieces);
      (void)TakePieces(worker, shape, gangs * shape.pieces);
      count -= gangs;
    }
  }
  return count;
}

std::int64_t PlaceOnRacks(std::vector<FreeRack>& racks,
                          const Shape& shape,
                          std::int64_t count) {
  for (FreeRack& rack : racks) {
    while (count > 0 && CountPieces(rack, shape) >= shape.pieces) {
      std::int64_t pieces = shape.pieces;
      for (FreeWorker& worker : rack) {
        pieces -= TakePieces(worker, shape, pieces);
      }
      --count;
    }
  }
  return count;
}

std::int64_t PlaceAnywhere(std::vector<FreeRack>& racks,
                           const Shape& shape,
                           std::int64_t count) {
  for (; count > 0; --count) {
    std::int64_t pieces = shape.pieces;
    for (FreeRack& rack : racks) {
      for (FreeWorker& worker : rack) {
        pieces -= TakePieces(worker, shape, pieces);
      }
    }
    if (pieces > 0) {
      break;
    }
  }
  return count;
}

std::int64_t PlaceAll(std::vector<FreeRack>& racks,
                      const Guarantee& guarantee) {
  switch (guarantee.shape.adjacency) {
    case Adjacency::kWorker:
      return PlaceOnWorkers(racks, guarantee.shape, guarantee.count);
    case Adjacency::kRack:
      return PlaceOnRacks(racks, guarantee.shape, guarantee.count);
    case Adjacency::kNone:
      break;
  }
  return PlaceAnywhere(racks, guarantee.shape, guarantee.count);
}

bool GoesBefore(const Guarantee& a, const Guarantee& b) {
  const auto order = [](const Guarantee& row) {
    return std::tuple(row.shape.adjacency,
                      row.shape.accelerators * row.shape.pieces,
                      row.shape.accelerators, row.shape);
  };
  return order(a) > order(b);
}

}  // namespace impl

bool HoldsGuarantees(const std::vector<WorkerGroup>& groups,
                     std::vector<Guarantee> guarantees) {
  std::sort(guarantees.begin(), guarantees.end(), impl::GoesBefore);
  std::vector<impl::FreeRack> racks = impl::EmptyRacks(groups);
  return std::all_of(guarantees.begin(), guarantees.end(),
                     [&](const Guarantee& guarantee) {
                       return impl::PlaceAll(racks, guarantee) == 0;
                     });
}

}  // namespace chicorystep
