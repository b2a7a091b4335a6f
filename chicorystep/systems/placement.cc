#include "chicorystep/systems/placement.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>

namespace chicorystep {
namespace impl {

// How many pieces of `shape` the free capacity of `worker` holds.
std::int64_t PiecesThatFit(const Worker& worker, const Shape& shape) {
  if (worker.listed.state != InstanceState::kLive) {
    return 0;
  }
  std::int64_t fit = std::numeric_limits<std::int64_t>::max();
  const auto limit = [&](std::int64_t free, std::int64_t each) {
    if (each > 0) {
      fit = std::min(fit, free / each);
    }
  };
  limit(worker.free_accelerators.value, shape.accelerators.value);
  limit(worker.free_processors.value, shape.processors.value);
  limit(worker.free_memory.value, shape.memory.value);
  return std::clamp<std::int64_t>(fit, 0, shape.pieces);
}

// Workers that may hold one gang together.
struct Candidates {
  std::int64_t fit = 0;
  std::vector<const Worker*> workers;
};

// Groups the workers by what `adjacency` asks: all, by rack or one by one.
std::map<std::string, Candidates> GroupWorkers(const Cell& cell,
                                               const Shape& shape) {
  std::map<std::string, Candidates> groups;
  for (const Worker& worker : cell.workers.rows) {
    const std::int64_t fit = PiecesThatFit(worker, shape);
    if (fit == 0) {
      continue;
    }
    std::string group;
    if (shape.adjacency == Adjacency::kRack) {
      group = worker.listed.rack.value;
    } else if (shape.adjacency == Adjacency::kWorker) {
      group = worker.listed.id.value;
    }
    groups[group].fit += fit;
    groups[group].workers.push_back(&worker);
  }
  return groups;
}

}  // namespace impl

std::optional<std::vector<WorkerId>> ChooseWorkers(const Cell& cell,
                                                   const Shape& shape) {
  auto groups = impl::GroupWorkers(cell, shape);
  impl::Candidates* best = nullptr;
  for (auto& [name, group] : groups) {
    if (group.fit >= shape.pieces &&
        (best == nullptr || group.fit < best->fit)) {
      best = &group;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  std::sort(best->workers.begin(), best->workers.end(),
            [](const Worker* a, const Worker* b) {
              return std::pair(a->free_accelerators, a->listed.id) <
                     std::pair(b->free_accelerators, b->listed.id);
            });
  std::vector<WorkerId> chosen;
  for (const Worker* worker : best->workers) {
    const std::int64_t take = std::min<std::int64_t>(
        impl::PiecesThatFit(*worker, shape), shape.pieces - std::ssize(chosen));
    chosen.insert(chosen.end(), static_cast<std::size_t>(take),
                  worker->listed.id);
  }
  return chosen;
}

void Occupy(Worker& worker, const Shape& shape) noexcept {
  worker.free_accelerators -= shape.accelerators;
  worker.free_processors -= shape.processors;
  worker.free_memory -= shape.memory;
}

void Vacate(Worker& worker, const Shape& shape) noexcept {
  worker.free_accelerators += shape.accelerators;
  worker.free_processors += shape.processors;
  worker.free_memory += shape.memory;
}

}  // namespace chicorystep
