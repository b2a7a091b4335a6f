#ifndef CHICORYSTEP_ENCODING_WORKFLOW_DUMP_H_
#define CHICORYSTEP_ENCODING_WORKFLOW_DUMP_H_

#include <string>

#include "chicorystep/tables/workflow_world.h"

namespace chicorystep {

// Returns the workflow scheduler's state as JSON: the current holder, how fresh
// each stream is, the workers, and the workflows that have not ended. Contains
// no payloads and no API keys.
[[nodiscard]] std::string DumpWorkflowWorld(const WorkflowWorld& world,
                                            TimePoint now);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_WORKFLOW_DUMP_H_
