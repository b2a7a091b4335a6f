#include "chicorystep/systems/cells/guarantee_check.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <tuple>

namespace chicorystep {
namespace impl {

// The free capacity of one worker.
struct FreeWorker {
  Accelerators accelerators;
  Millicores processors;
  Mebibytes memory;
};
using FreeRack = std::vector<FreeWorker>;

// A capacity report with more workers in a zone than this is not plausible;
// the excess is ignored.
inline constexpr std::int64_t kMaxWorkers = 1'000'000;

std::vector<FreeRack> MakeEmptyRacks(const std::vector<WorkerGroup>& groups) {
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
std::int64_t CountPiecesOnWorker(const FreeWorker& worker, const Shape& shape) {
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

// Takes capacity for up to `wanted` pieces from `worker` and returns the number
// of pieces taken.
std::int64_t TakePieces(FreeWorker& worker,
                        const Shape& shape,
                        std::int64_t wanted) {
  const std::int64_t taken =
      std::min(wanted, CountPiecesOnWorker(worker, shape));
  worker.accelerators -= shape.accelerators * taken;
  worker.processors -= shape.processors * taken;
  worker.memory -= shape.memory * taken;
  return taken;
}

std::int64_t CountPiecesOnRack(const FreeRack& rack, const Shape& shape) {
  std::int64_t pieces = 0;
  for (const FreeWorker& worker : rack) {
    pieces += std::min(CountPiecesOnWorker(worker, shape), shape.pieces);
  }
  return pieces;
}

// PlaceOnWorkers, PlaceOnRacks and PlaceAnywhere place up to `count` gangs of
// `shape` and return how many did not fit.
std::int64_t PlaceOnWorkers(std::vector<FreeRack>& racks,
                            const Shape& shape,
                            std::int64_t count) {
  for (FreeRack& rack : racks) {
    for (FreeWorker& worker : rack) {
      const std::int64_t gangs =
          std::min(count, CountPiecesOnWorker(worker, shape) / shape.pieces);
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
    while (count > 0 && CountPiecesOnRack(rack, shape) >= shape.pieces) {
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

bool IsPackedBefore(const Guarantee& a, const Guarantee& b) {
  const auto sort_key = [](const Guarantee& row) {
    return std::tuple(row.shape.adjacency,
                      row.shape.accelerators * row.shape.pieces,
                      row.shape.accelerators, row.shape);
  };
  return sort_key(a) > sort_key(b);
}

}  // namespace impl

bool GuaranteesFit(const std::vector<WorkerGroup>& groups,
                   std::vector<Guarantee> guarantees) {
  std::sort(guarantees.begin(), guarantees.end(), impl::IsPackedBefore);
  std::vector<impl::FreeRack> racks = impl::MakeEmptyRacks(groups);
  return std::all_of(guarantees.begin(), guarantees.end(),
                     [&](const Guarantee& guarantee) {
                       return impl::PlaceAll(racks, guarantee) == 0;
                     });
}

}  // namespace chicorystep
