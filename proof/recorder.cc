#include "proof/recorder.h"

#include <xxhash.h>

namespace chicorystep::proof {

Digest ComputeDigest(std::string_view text) {
  return Digest(XXH3_64bits(text.data(), text.size()));
}

}  // namespace chicorystep::proof
