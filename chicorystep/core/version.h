#ifndef CHICORYSTEP_CORE_VERSION_H_
#define CHICORYSTEP_CORE_VERSION_H_

#include <string_view>

namespace chicorystep {

inline constexpr std::string_view kVersion = "0.1.0";

// The id of the sources that the program was built from, as `tools/build_id`
// prints it. Only programs that link chicorystep_version have it.
[[nodiscard]] std::string_view BuildId();

}  // namespace chicorystep

#endif  // CHICORYSTEP_CORE_VERSION_H_
