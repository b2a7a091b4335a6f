#ifndef FUZZ_CHECK_H_
#define FUZZ_CHECK_H_

#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace chicorystep::fuzz {

// Aborts if `property` does not hold, so that the fuzzer saves the input.
inline void Require(bool holds, const char* property) {
  if (!holds) {
    std::fprintf(stderr, "property violated: %s\n", property);
    std::abort();
  }
}

// Requires that anything that can be decoded encodes to a text that decodes
// again and encodes to the same text.
inline void RequireRoundTrip(std::string_view text, auto decode, auto encode) {
  const auto first = decode(text);
  if (!first) {
    return;
  }
  const auto encoded = encode(first.value());
  const auto second = decode(encoded);
  Require(second.has_value(), "an encoded value can be decoded");
  Require(encode(second.value()) == encoded,
          "encoding a decoded value gives the same text");
}

}  // namespace chicorystep::fuzz

#endif  // FUZZ_CHECK_H_
