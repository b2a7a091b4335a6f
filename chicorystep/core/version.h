#ifndef CHICORYSTEP_CORE_VERSION_H_
#define CHICORYSTEP_CORE_VERSION_H_

#include <string_view>

namespace chicorystep {

inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace chicorystep

#endif  // CHICORYSTEP_CORE_VERSION_H_
