#include "chicorystep/settings/values.h"

#include <algorithm>
#include <array>
#include <asio/ip/address_v4.hpp>
#include <cctype>
#include <charconv>
#include <iterator>
#include <limits>
#include <string>
#include <system_error>

namespace chicorystep {
namespace impl {

struct Unit {
  std::string_view name;
  std::int64_t factor;
};

inline constexpr std::array kDurationUnits = {
    Unit{"us", 1}, Unit{"ms", 1'000}, Unit{"s", 1'000'000},
    Unit{"min", 60'000'000}, Unit{"h", 3'600'000'000}};

inline constexpr std::array kByteUnits = {Unit{"B", 1}, Unit{"KiB", 1 << 10},
                                          Unit{"MiB", 1 << 20},
                                          Unit{"GiB", 1 << 30}};

// Parses a non-negative integer immediately followed by one of `units`.
template <typename Units>
std::optional<std::int64_t> ParseWithUnit(std::string_view text,
                                          const Units& units) {
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || number < 0) {
    return std::nullopt;
  }
  const std::string_view name(rest, static_cast<std::size_t>(end - rest));
  const auto unit = std::find_if(
      units.begin(), units.end(),
      [&](const Unit& candidate) { return candidate.name == name; });
  if (unit == units.end() ||
      number > std::numeric_limits<std::int64_t>::max() / unit->factor) {
    return std::nullopt;
  }
  return number * unit->factor;
}

template <typename Units>
std::string FormatWithUnit(std::int64_t number, const Units& units) {
  const auto unit = std::find_if(
      units.rbegin(), std::prev(units.rend()), [&](const Unit& candidate) {
        return number != 0 && number % candidate.factor == 0;
      });
  return std::to_string(number / unit->factor) + std::string(unit->name);
}

}  // namespace impl

std::string FormatValue(Duration value) {
  return impl::FormatWithUnit(value.count(), impl::kDurationUnits);
}

std::string FormatValue(Bytes value) {
  return impl::FormatWithUnit(value.value, impl::kByteUnits);
}

std::optional<Duration> ParseDuration(std::string_view text) {
  if (const auto count = impl::ParseWithUnit(text, impl::kDurationUnits)) {
    return Duration(*count);
  }
  return std::nullopt;
}

std::optional<Bytes> ParseBytes(std::string_view text) {
  if (const auto count = impl::ParseWithUnit(text, impl::kByteUnits)) {
    return Bytes(*count);
  }
  return std::nullopt;
}

std::optional<std::int64_t> ParseCount(std::string_view text) {
  return impl::ParseWithUnit(text, std::array{impl::Unit{"", 1}});
}

std::optional<bool> ParseFlag(std::string_view text) {
  if (text == "yes") {
    return true;
  }
  if (text == "no") {
    return false;
  }
  return std::nullopt;
}

std::optional<Address> ParseAddress(std::string_view text) {
  Address address{std::string(text)};
  const auto parts = SplitAddress(address);
  if (!parts) {
    return std::nullopt;
  }
  std::error_code error;
  asio::ip::make_address_v4(std::string(parts->host), error);
  if (error) {
    return std::nullopt;
  }
  return address;
}

bool IsName(std::string_view text) noexcept {
  constexpr std::size_t kMaxLength = 64;
  return !text.empty() && text.size() <= kMaxLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                  c == '.' || c == '-' || c == '_';
         });
}

std::optional<HostPort> SplitAddress(const Address& address) noexcept {
  const std::string_view text = address.value;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  HostPort parts{text.substr(0, colon), 0};
  const char* const end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data() + colon + 1, end, parts.port);
  if (error != std::errc{} || rest != end || parts.port == 0) {
    return std::nullopt;
  }
  return parts;
}

}  // namespace chicorystep
