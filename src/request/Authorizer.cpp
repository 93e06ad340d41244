// Checks presented keys against the replicated key records.
#include "request/Authorizer.h"

#include <algorithm>
#include <array>
#include <sodium.h>

namespace hyssoppaddle::request {

namespace {

constexpr std::size_t kDigestBytes = 32;

// Compares in constant time. If a digest has the wrong length, zeros are
// compared instead, so that a malformed digest takes as long as a wrong one.
bool
DigestsEqual(std::string_view aPresented, std::string_view aStored)
{
  static constexpr std::array<char, kDigestBytes> kZeros{};
  const bool lengths =
    aPresented.size() == kDigestBytes && aStored.size() == kDigestBytes;
  const char* left = lengths ? aPresented.data() : kZeros.data();
  const char* right = lengths ? aStored.data() : kZeros.data();
  const bool equal = sodium_memcmp(left, right, kDigestBytes) == 0;
  return lengths && equal;
}

} // namespace

Authorizer::Authorizer(const state::FleetState& aView)
  : view(&aView)
{
}

Authorizer::Verdict
Authorizer::Check(const std::optional<KeyId>& aKey,
                  std::string_view aDigest,
                  const state::ServiceSpec& aService,
                  WallTime aWallNow) const
{
  if (!aKey) {
    if (aService.open) {
      return { std::nullopt, aService.openTeam };
    }
    return { Problem::UnknownKey, TeamId() };
  }
  const auto found = this->view->Keys().find(*aKey);
  const bool known = found != this->view->Keys().end();
  const bool equal =
    DigestsEqual(aDigest, known ? found->second.digest : std::string_view());
  if (!known || !equal) {
    return { Problem::UnknownKey, TeamId() };
  }
  const state::KeyRecord& record = found->second;
  if (record.withdrawnAt && *record.withdrawnAt <= aWallNow) {
    return { Problem::UnknownKey, TeamId() };
  }
  const TeamId team(record.subject);
  const state::TeamSpec* spec = this->view->FindTeam(team);
  const bool mayUse =
    aService.open || (spec != nullptr && spec->workspace == aService.workspace);
  if (record.role != state::KeyRole::Team || spec == nullptr || !mayUse) {
    return { Problem::WrongTeam, team };
  }
  return { std::nullopt, team };
}

WallTime
Authorizer::FleetTime(Time aNow, WallTime aWallNow)
{
  if (this->view->Now() > this->seen) {
    this->seen = this->view->Now();
    this->seenAt = aNow;
  }
  return std::max(aWallNow, this->seen + (aNow - this->seenAt));
}

} // namespace hyssoppaddle::request
