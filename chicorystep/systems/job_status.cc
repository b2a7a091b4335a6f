#include "chicorystep/systems/job_status.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace chicorystep {
namespace impl {

// What one worker, or the largest group of workers, has room for.
struct Room {
  // Pieces that fit in what is free, and if nothing ran.
  std::int64_t free = 0;
  std::int64_t whole = 0;
};

std::int64_t PiecesIn(const Shape& shape,
                      Accelerators accelerators,
                      Millicores processors,
                      Mebibytes memory) {
  std::int64_t pieces = shape.pieces;
  const auto limit = [&](std::int64_t available, std::int64_t each) {
    if (each > 0) {
      pieces = std::min(pieces, std::max<std::int64_t>(available, 0) / each);
    }
  };
  limit(accelerators.value, shape.accelerators.value);
  limit(processors.value, shape.processors.value);
  limit(memory.value, shape.memory.value);
  return pieces;
}

std::string GroupOf(const Worker& worker, Adjacency adjacency) {
  switch (adjacency) {
    case Adjacency::kRack:
      return worker.listed.rack.value;
    case Adjacency::kWorker:
      return worker.listed.id.value;
    case Adjacency::kNone:
      break;
  }
  return "";
}

Room LargestRoom(const Cell& cell, const Shape& shape) {
  std::map<std::string, Room> rooms;
  Room largest;
  for (const Worker& worker : cell.workers.rows) {
    if (worker.listed.state != InstanceState::kLive) {
      continue;
    }
    Room& room = rooms[GroupOf(worker, shape.adjacency)];
    room.free += PiecesIn(shape, worker.free.accelerators,
                          worker.free.processors, worker.free.memory);
    room.whole += PiecesIn(shape, worker.listed.accelerators,
                           worker.listed.processors, worker.listed.memory);
    largest.free = std::max(largest.free, room.free);
    largest.whole = std::max(largest.whole, room.whole);
  }
  return largest;
}

std::string_view PlaceName(Adjacency adjacency) {
  switch (adjacency) {
    case Adjacency::kRack:
      return "one rack";
    case Adjacency::kWorker:
      return "one worker";
    case Adjacency::kNone:
      break;
  }
  return "the cell";
}

std::int64_t WaitingBefore(const Cell& cell, const Job& job) {
  return std::count_if(cell.jobs.rows.begin(), cell.jobs.rows.end(),
                       [&](const Job& other) {
                         return other.state == JobState::kWaiting &&
                                std::pair(other.priority, other.accepted) <
                                    std::pair(job.priority, job.accepted);
                       });
}

std::string WhyWaiting(const Cell& cell, const Job& job) {
  if (!cell.recovered) {
    return "the workers are being asked what runs; nothing is placed before";
  }
  const Shape& shape = job.spec.shape;
  const Room room = LargestRoom(cell, shape);
  const std::string_view place = PlaceName(shape.adjacency);
  if (room.whole < shape.pieces) {
    return fmt::format(
        "{} of {} pieces fit on {} even if nothing ran; workers are missing",
        room.whole, shape.pieces, place);
  }
  if (room.free >= shape.pieces) {
    return fmt::format(
        "it fits in what is free on {} and starts unless that is kept for "
        "guarantees or earlier gangs; {} jobs wait before it",
        place, WaitingBefore(cell, job));
  }
  return fmt::format(
      "{} of {} pieces fit in what is free on {}; {} jobs wait before it",
      std::min(room.free, shape.pieces), shape.pieces, place,
      WaitingBefore(cell, job));
}

}  // namespace impl

JobStatus DescribeJob(const Cell& cell, const Job& job) {
  return JobStatus{job.spec.id, job.state,
                   job.state == JobState::kWaiting ? impl::WhyWaiting(cell, job)
                                                   : job.end_detail};
}

}  // namespace chicorystep
