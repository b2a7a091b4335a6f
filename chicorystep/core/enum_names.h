#ifndef CHICORYSTEP_CORE_ENUM_NAMES_H_
#define CHICORYSTEP_CORE_ENUM_NAMES_H_

#include <array>
#include <concepts>
#include <cstddef>
#include <optional>
#include <string_view>

namespace chicorystep {

// The names of an enum's values, indexed by value from 0. Every enum that is
// logged or encoded specialises this variable next to its declaration with an
// array of std::string_view.
template <typename Enum>
inline constexpr std::nullptr_t kEnumNames = nullptr;

template <typename Enum>
concept NamedEnum =
    !std::same_as<std::remove_cvref_t<decltype(kEnumNames<Enum>)>,
                  std::nullptr_t>;

// Returns the name of `value`, or "unknown" for a value outside the enum.
template <NamedEnum Enum>
[[nodiscard]] constexpr std::string_view EnumName(Enum value) noexcept {
  const auto position = static_cast<std::size_t>(value);
  return position < kEnumNames<Enum>.size() ? kEnumNames<Enum>[position]
                                            : std::string_view("unknown");
}

// Returns the value whose name is `name`, if there is one.
template <NamedEnum Enum>
[[nodiscard]] constexpr std::optional<Enum> EnumFromName(
    std::string_view name) noexcept {
  for (std::size_t i = 0; i < kEnumNames<Enum>.size(); ++i) {
    if (kEnumNames<Enum>[i] == name) {
      return static_cast<Enum>(i);
    }
  }
  return std::nullopt;
}

}  // namespace chicorystep

#endif  // CHICORYSTEP_CORE_ENUM_NAMES_H_
