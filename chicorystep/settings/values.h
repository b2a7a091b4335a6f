#ifndef CHICORYSTEP_SETTINGS_VALUES_H_
#define CHICORYSTEP_SETTINGS_VALUES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "chicorystep/core/ids.h"
#include "chicorystep/core/units.h"

namespace chicorystep {

// Each parser reads one value, with its unit, from the text of a settings or
// table file and returns nullopt if the text is malformed. The k*Format
// constants describe the expected text in messages to operators.

inline constexpr std::string_view kDurationFormat =
    "a duration with its unit us, ms, s, min or h, such as 250ms";
[[nodiscard]] std::optional<Duration> ParseDuration(std::string_view text);

inline constexpr std::string_view kBytesFormat =
    "a size with its unit B, KiB, MiB or GiB, such as 64KiB";
[[nodiscard]] std::optional<Bytes> ParseBytes(std::string_view text);

// Formats a value with the largest unit that divides it, so that the parsers
// read it back.
[[nodiscard]] std::string FormatValue(Duration value);
[[nodiscard]] std::string FormatValue(Bytes value);

inline constexpr std::string_view kCountFormat =
    "a whole number, 0 or more, without a unit";
[[nodiscard]] std::optional<std::int64_t> ParseCount(std::string_view text);

inline constexpr std::string_view kFlagFormat = "yes or no";
[[nodiscard]] std::optional<bool> ParseFlag(std::string_view text);

inline constexpr std::string_view kAddressFormat =
    "an IPv4 address and a port, such as 127.0.0.1:8080";
[[nodiscard]] std::optional<Address> ParseAddress(std::string_view text);

inline constexpr std::string_view kNameFormat =
    "a name of 1 to 64 letters, digits, dots, dashes or underscores";
[[nodiscard]] bool IsName(std::string_view text) noexcept;

// The host and port of an address.
struct HostPort {
  std::string_view host;
  std::uint16_t port = 0;
};
[[nodiscard]] std::optional<HostPort> SplitAddress(
    const Address& address) noexcept;

}  // namespace chicorystep

#endif  // CHICORYSTEP_SETTINGS_VALUES_H_
