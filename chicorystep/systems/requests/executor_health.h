#ifndef CHICORYSTEP_SYSTEMS_REQUESTS_EXECUTOR_HEALTH_H_
#define CHICORYSTEP_SYSTEMS_REQUESTS_EXECUTOR_HEALTH_H_

#include "chicorystep/tables/world.h"

namespace chicorystep {

// Updates the concurrency limit of `executor`, its pause after a refusal and
// its ejection after failures from the end of an attempt. `run_time` is the
// expected run time of the request's kind, zero when unknown.
void UpdateExecutorHealth(Executor& executor,
                          const AttemptEnded& ended,
                          Duration run_time,
                          TimePoint now);

// Updates the run time estimate of a kind and counts the answer.
void RecordRunTime(ServiceTraffic& service,
                   const Kind& kind,
                   Duration run_time,
                   TimePoint now);

// Updates the answer rate of a service at the end of a measuring period. Called
// once all answers of a tick are counted.
void UpdateAnswerRate(ServiceTraffic& service, TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_REQUESTS_EXECUTOR_HEALTH_H_
