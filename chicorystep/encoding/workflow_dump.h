#ifndef CHICORYSTEP_ENCODING_WORKFLOW_DUMP_H_
#define CHICORYSTEP_ENCODING_WORKFLOW_DUMP_H_

#include <string>

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// A dump of the workflow scheduler's state as JSON: who holds the scheduler's
// place, how fresh each stream is, the workers, and the workflows that are not
// over. Holds no payloads and no keys.
[[nodiscard]] std::string DumpWorkflowWorld(const WorkflowWorld& world,
                                            TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_WORKFLOW_DUMP_H_
