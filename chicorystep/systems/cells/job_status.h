#ifndef CHICORYSTEP_SYSTEMS_CELLS_JOB_STATUS_H_
#define CHICORYSTEP_SYSTEMS_CELLS_JOB_STATUS_H_

#include "chicorystep/tables/jobs.h"

namespace chicorystep {

// The status of a job of `cell` for its caller. For a waiting job the detail
// states what it waits for.
[[nodiscard]] JobStatus DescribeJob(const Cell& cell, const Job& job);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_CELLS_JOB_STATUS_H_
