// Order in which waiting classes are served: the urgent one first, but a class
// that has waited too long since it was last served goes before all others.
#ifndef hyssoppaddle_request_ClassOrder_h
#define hyssoppaddle_request_ClassOrder_h

#include "base/Time.h"
#include "state/Bundle.h"

#include <array>
#include <cstddef>
#include <optional>

namespace hyssoppaddle::request {

inline constexpr std::size_t kClasses = 3;

inline constexpr std::array<state::WorkClass, kClasses> kByUrgency{
  state::WorkClass::Preview,
  state::WorkClass::Print,
  state::WorkClass::Archive
};

class ClassOrder
{
public:
  void OnWaiting(state::WorkClass aClass, Time aNow);
  void OnServed(state::WorkClass aClass, Time aNow);
  void OnEmpty(state::WorkClass aClass);
  [[nodiscard]] std::array<state::WorkClass, kClasses> Order(Time aNow) const;

  // Below the promised 30 s by the time that a permit or a slot takes to fall
  // free once the class is first in line.
  static constexpr Duration kStarving{ 20000000 };

private:
  std::array<std::optional<Time>, kClasses> unservedSince;
};

} // namespace hyssoppaddle::request

#endif
