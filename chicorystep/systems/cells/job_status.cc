#include "chicorystep/systems/cells/job_status.h"

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

// How many pieces fit on one worker or on one group of workers.
struct FitCount {
  // Pieces that fit into the free capacity and into the total capacity.
  std::int64_t free = 0;
  std::int64_t total = 0;
};

std::int64_t CountFittingPieces(const Shape& shape,
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

FitCount FindLargestFit(const Cell& cell, const Shape& shape) {
  std::map<std::string, FitCount> fits;
  FitCount largest;
  for (const Worker& worker : cell.workers.rows) {
    if (worker.listed.state != InstanceState::kLive) {
      continue;
    }
    FitCount& fit = fits[GroupOf(worker, shape.adjacency)];
    fit.free += CountFittingPieces(shape, worker.free.accelerators,
                                   worker.free.processors, worker.free.memory);
    fit.total +=
        CountFittingPieces(shape, worker.listed.accelerators,
                           worker.listed.processors, worker.listed.memory);
    largest.free = std::max(largest.free, fit.free);
    largest.total = std::max(largest.total, fit.total);
  }
  return largest;
}

std::string_view AdjacencyScopeName(Adjacency adjacency) {
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

std::int64_t CountWaitingBefore(const Cell& cell, const Job& job) {
  return std::count_if(
      cell.jobs.rows.begin(), cell.jobs.rows.end(), [&](const Job& other) {
        return other.state == JobState::kWaiting &&
               std::pair(other.priority, other.accepted_offset) <
                   std::pair(job.priority, job.accepted_offset);
      });
}

std::string ExplainWaiting(const Cell& cell, const Job& job) {
  if (!cell.recovered) {
    return "the workers are being asked what runs; nothing is placed before";
  }
  const Shape& shape = job.spec.shape;
  const FitCount fit = FindLargestFit(cell, shape);
  const std::string_view scope = AdjacencyScopeName(shape.adjacency);
  if (fit.total < shape.pieces) {
    return fmt::format(
        "{} of {} pieces fit on {} even if nothing ran; workers are missing",
        fit.total, shape.pieces, scope);
  }
  if (fit.free >= shape.pieces) {
    return fmt::format(
        "it fits in what is free on {} and starts unless that is kept for "
        "guarantees or earlier gangs; {} jobs wait before it",
        scope, CountWaitingBefore(cell, job));
  }
  return fmt::format(
      "{} of {} pieces fit in what is free on {}; {} jobs wait before it",
      std::min(fit.free, shape.pieces), shape.pieces, scope,
      CountWaitingBefore(cell, job));
}

}  // namespace impl

JobStatus DescribeJob(const Cell& cell, const Job& job) {
  return JobStatus{job.spec.id, job.state,
                   job.state == JobState::kWaiting
                       ? impl::ExplainWaiting(cell, job)
                       : job.end_detail};
}

}  // namespace chicorystep
