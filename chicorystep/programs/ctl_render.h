#ifndef CHICORYSTEP_PROGRAMS_CTL_RENDER_H_
#define CHICORYSTEP_PROGRAMS_CTL_RENDER_H_

#include <string>

#include "chicorystep/encoding/json.h"

namespace chicorystep {

// Formats a JSON document as readable text. Members are written as "name:
// value". A list of objects becomes a table with a column for each member that
// is not itself a list of objects; such nested lists follow below the table.
[[nodiscard]] std::string RenderAsText(const Json& document);

}  // namespace chicorystep

#endif  // CHICORYSTEP_PROGRAMS_CTL_RENDER_H_
