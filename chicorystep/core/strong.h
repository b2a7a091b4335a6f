#ifndef CHICORYSTEP_CORE_STRONG_H_
#define CHICORYSTEP_CORE_STRONG_H_

#include <compare>
#include <concepts>
#include <cstddef>
#include <functional>
#include <string>
#include <type_traits>
#include <utility>

namespace chicorystep {

// An identifier that compares only with identifiers of the same kind. `Tag`
// distinguishes the kinds and is never defined; `Rep` is the type of the stored
// value.
template <typename Tag, typename Rep>
struct Id {
  using rep = Rep;

  Rep value{};

  constexpr Id() = default;
  constexpr explicit Id(Rep initial) : value(std::move(initial)) {}

  [[nodiscard]] constexpr bool empty() const noexcept {
    return this->value == Rep{};
  }

  friend constexpr auto operator<=>(const Id&, const Id&) = default;
};

// An amount in one unit. Amounts of the same unit can be added, subtracted and
// compared; mixing units does not compile.
template <typename Tag, typename Rep>
struct Quantity {
  static_assert(std::is_arithmetic_v<Rep>, "a quantity holds a number");
  using rep = Rep;

  Rep value{};

  constexpr Quantity() = default;
  constexpr explicit Quantity(Rep initial) noexcept : value(initial) {}

  friend constexpr auto operator<=>(const Quantity&, const Quantity&) = default;

  constexpr Quantity& operator+=(Quantity other) noexcept {
    this->value += other.value;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) noexcept {
    this->value -= other.value;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) noexcept {
    return Quantity(static_cast<Rep>(a.value + b.value));
  }
  friend constexpr Quantity operator-(Quantity a, Quantity b) noexcept {
    return Quantity(static_cast<Rep>(a.value - b.value));
  }
  template <std::integral Factor>
  friend constexpr Quantity operator*(Quantity a, Factor factor) noexcept {
    return Quantity(static_cast<Rep>(a.value * static_cast<Rep>(factor)));
  }
};

}  // namespace chicorystep

template <typename Tag, typename Rep>
struct std::hash<chicorystep::Id<Tag, Rep>> {
  std::size_t operator()(const chicorystep::Id<Tag, Rep>& id) const noexcept {
    return std::hash<Rep>{}(id.value);
  }
};

#endif  // CHICORYSTEP_CORE_STRONG_H_
