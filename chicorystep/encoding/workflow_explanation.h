#ifndef CHICORYSTEP_ENCODING_WORKFLOW_EXPLANATION_H_
#define CHICORYSTEP_ENCODING_WORKFLOW_EXPLANATION_H_

#include <string>

#include "chicorystep/systems/workflows/explain/placement_explanation.h"

namespace chicorystep {

// Returns the explanation as JSON, as docs/INTERFACES.md describes it.
[[nodiscard]] std::string EncodePlacementExplanation(
    const PlacementExplanation& explanation);

}  // namespace chicorystep

#endif  // CHICORYSTEP_ENCODING_WORKFLOW_EXPLANATION_H_
