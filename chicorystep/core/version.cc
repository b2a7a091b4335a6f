#include "chicorystep/core/version.h"

#include "build_id.h"

namespace chicorystep {

std::string_view BuildId() {
  return CHICORYSTEP_BUILD_ID;
}

}  // namespace chicorystep
