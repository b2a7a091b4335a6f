#ifndef CHICORYSTEP_PROGRAMS_CTL_RENDER_H_
#define CHICORYSTEP_PROGRAMS_CTL_RENDER_H_

#include <string>

#include "chicorystep/encoding/json.h"

namespace chicorystep {

// A JSON document for a person: members as "name: value", lists of objects as
// tables with a column for each member that is no list, and what is nested in
// a row below the table.
[[nodiscard]] std::string RenderForPerson(const Json& document);

}  // namespace chicorystep

#endif  // CHICORYSTEP_PROGRAMS_CTL_RENDER_H_
