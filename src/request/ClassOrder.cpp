// Orders the work classes by urgency with starvation protection.
#include "request/ClassOrder.h"

#include <algorithm>

namespace hyssoppaddle::request {

namespace {

std::size_t
IndexOf(state::WorkClass aClass)
{
  return static_cast<std::size_t>(aClass);
}

} // namespace

void
ClassOrder::OnWaiting(state::WorkClass aClass, Time aNow)
{
  std::optional<Time>& since = this->unservedSince.at(IndexOf(aClass));
  since = since.value_or(aNow);
}

void
ClassOrder::OnServed(state::WorkClass aClass, Time aNow)
{
  this->unservedSince.at(IndexOf(aClass)) = aNow;
}

void
ClassOrder::OnEmpty(state::WorkClass aClass)
{
  this->unservedSince.at(IndexOf(aClass)).reset();
}

std::array<state::WorkClass, kClassCount>
ClassOrder::Order(Time aNow) const
{
  std::array<state::WorkClass, kClassCount> order = kByUrgency;
  const auto rank = [&](state::WorkClass aClass) {
    const std::optional<Time>& since = this->unservedSince.at(IndexOf(aClass));
    return since && aNow - *since >= kStarvationTime ? *since : Time::max();
  };
  std::ranges::stable_sort(order, {}, rank);
  return order;
}

} // namespace hyssoppaddle::request
