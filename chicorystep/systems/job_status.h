#ifndef CHICORYSTEP_SYSTEMS_JOB_STATUS_H_
#define CHICORYSTEP_SYSTEMS_JOB_STATUS_H_

#include "chicorystep/tables/jobs.h"

namespace chicorystep {

// What callers are told of a job of `cell`: for a waiting one, the detail says
// what it waits for.
[[nodiscard]] JobStatus DescribeJob(const Cell& cell, const Job& job);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_JOB_STATUS_H_
