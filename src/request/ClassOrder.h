// Order in which the work classes are served: by urgency, except that a class
// that was not served for the starvation time precedes all others.
#ifndef hyssoppaddle_request_ClassOrder_h
#define hyssoppaddle_request_ClassOrder_h

#include "base/Time.h"
#include "state/Bundle.h"

#include <array>
#include <cstddef>
#include <optional>

namespace hyssoppaddle::request {

inline constexpr std::size_t kClassCount = 3;

inline constexpr std::array<state::WorkClass, kClassCount> kByUrgency{
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
  [[nodiscard]] std::array<state::WorkClass, kClassCount> Order(
    Time aNow) const;

  // No class may wait longer than 30 s. The difference of 10 s covers the time
  // until a permit or a slot becomes free after the class has moved to the
  // front.
  static constexpr Duration kStarvationTime = std::chrono::seconds(20);

private:
  std::array<std::optional<Time>, kClassCount> unservedSince;
};

} // namespace hyssoppaddle::request

#endif
