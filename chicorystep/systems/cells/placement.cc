#include "chicorystep/systems/cells/placement.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "chicorystep/systems/cells/cell_state.h"

namespace chicorystep {
namespace impl {

// Returns how many pieces of `shape` fit into `available`, at most
// `shape.pieces`.
std::int64_t CountFittingPieces(const Capacity& available, const Shape& shape) {
  std::int64_t fit = shape.pieces;
  const auto limit = [&](std::int64_t free, std::int64_t each) {
    if (free < 0 || each > 0) {
      fit = std::min(fit, free < 0 ? 0 : free / each);
    }
  };
  limit(available.accelerators.value, shape.accelerators.value);
  limit(available.processors.value, shape.processors.value);
  limit(available.memory.value, shape.memory.value);
  return std::max<std::int64_t>(fit, 0);
}

// A set of workers over which the pieces of one gang may be spread: one worker,
// one rack or the whole cell.
struct Group {
  std::int64_t fit = 0;
  std::int64_t cost = 0;
};

std::size_t GroupCount(const Cell& cell, const Shape& shape) {
  switch (shape.adjacency) {
    case Adjacency::kRack:
      return cell.racks;
    case Adjacency::kWorker:
      return cell.workers.size();
    default:
      return 1;
  }
}

std::size_t GroupOf(const Cell& cell, const Shape& shape, std::size_t row) {
  switch (shape.adjacency) {
    case Adjacency::kRack:
      return cell.workers.rows[row].rack;
    case Adjacency::kWorker:
      return row;
    default:
      return 0;
  }
}

std::int64_t CostOf(const Offers& offers, std::size_t row) {
  return offers.cost.empty() ? 0 : offers.cost[row];
}

// Chooses the group that holds all pieces at the least cost; among equals, the
// one that fits the fewest pieces.
std::optional<std::size_t> ChooseGroup(const Cell& cell,
                                       const Shape& shape,
                                       const Offers& offers,
                                       const std::vector<std::int64_t>& fits) {
  std::vector<Group> groups(GroupCount(cell, shape));
  for (std::size_t row = 0; row < fits.size(); ++row) {
    if (fits[row] > 0) {
      Group& group = groups[GroupOf(cell, shape, row)];
      group.fit += fits[row];
      group.cost += CostOf(offers, row);
    }
  }
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < groups.size(); ++i) {
    if (groups[i].fit < shape.pieces) {
      continue;
    }
    if (!best || std::tuple(groups[i].cost, groups[i].fit) <
                     std::tuple(groups[*best].cost, groups[*best].fit)) {
      best = i;
    }
  }
  return best;
}

}  // namespace impl

std::optional<std::vector<std::size_t>> ChooseWorkers(const Cell& cell,
                                                      const Shape& shape,
                                                      const Offers& offers) {
  std::vector<std::int64_t> fits(offers.capacity.size());
  std::int64_t total = 0;
  for (std::size_t row = 0; row < fits.size(); ++row) {
    fits[row] = impl::CountFittingPieces(offers.capacity[row], shape);
    total += fits[row];
  }
  if (total < shape.pieces) {
    return std::nullopt;
  }
  const auto group = impl::ChooseGroup(cell, shape, offers, fits);
  if (!group) {
    return std::nullopt;
  }
  std::vector<std::size_t> rows;
  for (std::size_t row = 0; row < fits.size(); ++row) {
    if (fits[row] > 0 && impl::GroupOf(cell, shape, row) == *group) {
      rows.push_back(row);
    }
  }
  std::sort(rows.begin(), rows.end(), [&](std::size_t a, std::size_t b) {
    return std::tuple(impl::CostOf(offers, a), offers.capacity[a].accelerators,
                      a) < std::tuple(impl::CostOf(offers, b),
                                      offers.capacity[b].accelerators, b);
  });
  std::vector<std::size_t> chosen;
  chosen.reserve(static_cast<std::size_t>(shape.pieces));
  for (const std::size_t row : rows) {
    const std::int64_t take =
        std::min(fits[row], shape.pieces - std::ssize(chosen));
    chosen.insert(chosen.end(), static_cast<std::size_t>(take), row);
  }
  return chosen;
}

}  // namespace chicorystep
