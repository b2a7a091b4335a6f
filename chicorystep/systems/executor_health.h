#ifndef CHICORYSTEP_SYSTEMS_EXECUTOR_HEALTH_H_
#define CHICORYSTEP_SYSTEMS_EXECUTOR_HEALTH_H_

#include "chicorystep/tables/world.h"

namespace chicorystep {

// Learns from the end of an attempt at `executor`: its limit, its pause after a
// refusal, and its ejection after failures. `run_time` is the kind's mean.
void LearnFromAttempt(Executor& executor,
                      const AttemptEnded& ended,
                      Duration run_time,
                      TimePoint now);

// Learns the run time of a kind and the service's rate from an answer.
void LearnRunTime(ServiceTraffic& service,
                  const Kind& kind,
                  Duration run_time,
                  TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_SYSTEMS_EXECUTOR_HEALTH_H_
