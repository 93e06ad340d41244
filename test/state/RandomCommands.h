// Generates seeded random commands. They use a small set of names, so that many
// commands refer to the same objects. Some are intentionally invalid.
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
  state::CommandBody MakeBody();
  state::CommandBody MakeMemberCommand();
  state::CommandBody MakeBundleCommand();
  state::CommandBody MakeKeyCommand();
  state::CommandBody MakeClaimCommand();
  state::CommandBody MakeJobCommand();
  state::CommandBody MakeTaskCommand();
  state::CommandBody MakePlaceCommand();
  state::CommandBody MakeUpstreamCommand();
  state::CommandBody MakeInstanceCommand();
  state::CommandBody MakePermitCommand();

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
  std::vector<state::Command> sent; // Next repeats some of them
};

} // namespace hyssoppaddle::test

#endif
