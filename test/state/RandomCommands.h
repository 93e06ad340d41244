// Seeded random commands over a small set of names, so that they often meet.
// Some are nonsense on purpose.
#ifndef hyssoppaddle_test_state_RandomCommands_h
#define hyssoppaddle_test_state_RandomCommands_h

#include "base/Random.h"
#include "state/FleetState.h"

#include <string>
#include <vector>

namespace hyssoppaddle::test {

class RandomCommands
{
public:
  RandomCommands(std::uint64_t aSeed, const state::FleetState& aState);

  state::Command Next();

private:
  state::CommandBody Body();
  state::CommandBody MemberCommand();
  state::CommandBody BundleCommand();
  state::CommandBody KeyCommand();
  state::CommandBody ClaimCommand();
  state::CommandBody JobCommand();
  state::CommandBody TaskCommand();
  state::CommandBody PlaceCommand();
  state::CommandBody UpstreamCommand();
  state::CommandBody InstanceCommand();
  state::CommandBody PermitCommand();

  std::string Pick(const char* aPrefix, std::uint64_t aCount);
  InstanceId PickInstance();
  TeamId PickTeam();
  template<typename Enum>
  Enum PickEnum(Enum aLast)
  {
    const auto count = static_cast<std::uint64_t>(aLast) + 1;
    return static_cast<Enum>(this->random.Below(count));
  }

  Random random;
  const state::FleetState& state;
  WallTime now{ Duration(1000000000000) };
  std::vector<state::Command> sent; // some are sent again
};

} // namespace hyssoppaddle::test

#endif
