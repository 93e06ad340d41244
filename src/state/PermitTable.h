// Stores the registered entry instances and their permits.
#ifndef hyssoppaddle_state_PermitTable_h
#define hyssoppaddle_state_PermitTable_h

#include "state/Context.h"
#include "state/Records.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace hyssoppaddle::state {

// Maximum deadline of a request, and so the longest time for which work of an
// earlier boot may continue.
inline constexpr Duration kMaxRequestDeadline{ std::chrono::seconds(60) };
inline constexpr std::size_t kMaxKeptEarlierBoots = 8;

class PermitTable
{
public:
  Outcome Register(const RegisterEntry& aCommand, Context& aContext);
  // aFree is the number of slots left below the team's limit.
  Outcome Grant(const GrantPermits& aCommand,
                std::uint32_t aFree,
                Context& aContext);
  Outcome Return(const ReturnPermits& aCommand, Context& aContext);
  Outcome Reclaim(const ReclaimPermits& aCommand, Context& aContext);
  // Releases withheld permits whose withholding time has passed.
  void Expire(Context& aContext);

  [[nodiscard]] const std::map<InstanceId, EntryRecord>& Records() const
  {
    return this->records;
  }
  // Sum of granted and withheld permits of the team.
  [[nodiscard]] std::uint32_t CommittedTo(const TeamId& aTeam) const;
  void Load(std::map<InstanceId, EntryRecord> aRecords);

private:
  void Withhold(const InstanceId& aEntry, EntryRecord& aRecord, WallTime aNow);
  void AddCommitted(const TeamId& aTeam, std::uint32_t aCount);
  void RemoveCommitted(const TeamId& aTeam, std::uint32_t aCount);
  [[nodiscard]] Outcome CheckBoot(const InstanceId& aEntry,
                                  const std::string& aBoot) const;

  std::map<InstanceId, EntryRecord> records;
  std::map<TeamId, std::uint32_t> committed;
  std::set<std::pair<WallTime, InstanceId>> withholding; // by end time
};

} // namespace hyssoppaddle::state

#endif
