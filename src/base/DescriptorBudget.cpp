// Guaranteed parts of the descriptors and a common rest.
#include "base/DescriptorBudget.h"

#include <algorithm>

namespace hyssoppaddle {

namespace {

// Descriptors that are not given out: files and libraries of the process, links
// to some hundred nodes, and connections that are only refused. Small processes
// keep back a quarter instead.
constexpr std::size_t kReserve = 700;
constexpr std::size_t kSmallReserveDivisor = 4;
// Guaranteed to each owner of accepted connections, and to connections to
// upstreams, of which each needs one for its lease.
constexpr std::size_t kAcceptedDivisor = 6;
constexpr std::size_t kUpstreamsDivisor = 3;

std::size_t
IndexOf(DescriptorOwner aOwner)
{
  return static_cast<std::size_t>(aOwner);
}

} // namespace

DescriptorBudget::DescriptorBudget(std::size_t aLimit)
  : total(aLimit - std::min(kReserve, aLimit / kSmallReserveDivisor))
  , reserve(aLimit - this->total)
{
  this->guaranteed = { this->total / kAcceptedDivisor,
                       this->total / kAcceptedDivisor,
                       this->total / kUpstreamsDivisor };
}

bool
DescriptorBudget::HasRoom(DescriptorOwner aOwner) const
{
  const std::size_t owner = IndexOf(aOwner);
  std::size_t needed = 0; // by the other owners, in use or guaranteed
  for (std::size_t i = 0; i < kOwners; ++i) {
    needed += i == owner ? 0 : std::max(this->inUse[i], this->guaranteed[i]);
  }
  std::size_t used = 0;
  for (const std::size_t count : this->inUse) {
    used += count;
  }
  const bool isGuaranteed =
    this->inUse[owner] < this->guaranteed[owner] && used < this->total;
  return isGuaranteed || this->inUse[owner] + needed < this->total;
}

bool
DescriptorBudget::Acquire(DescriptorOwner aOwner)
{
  const std::size_t owner = IndexOf(aOwner);
  if (!this->HasRoom(aOwner)) {
    ++this->refused[owner];
    return false;
  }
  ++this->inUse[owner];
  return true;
}

void
DescriptorBudget::Release(DescriptorOwner aOwner)
{
  --this->inUse[IndexOf(aOwner)];
}

std::size_t
DescriptorBudget::InUse(DescriptorOwner aOwner) const
{
  return this->inUse[IndexOf(aOwner)];
}

std::uint64_t
DescriptorBudget::Refused(DescriptorOwner aOwner) const
{
  return this->refused[IndexOf(aOwner)];
}

std::size_t
DescriptorBudget::Guaranteed(DescriptorOwner aOwner) const
{
  return this->guaranteed[IndexOf(aOwner)];
}

std::string_view
DescriptorBudget::NameOf(DescriptorOwner aOwner)
{
  constexpr std::array<std::string_view, kOwners> kNames{ "callers",
                                                          "control",
                                                          "upstreams" };
  return kNames[IndexOf(aOwner)];
}

} // namespace hyssoppaddle
