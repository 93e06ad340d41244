// Owner of the bundles: proposals, approvals, the accepted one and look-ups in
// it.
#ifndef hyssoppaddle_state_BundleTable_h
#define hyssoppaddle_state_BundleTable_h

#include "state/Context.h"
#include "state/MemberTable.h"
#include "state/Records.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace hyssoppaddle::state {

// Accepted bundles that are kept for display and for repeated proposals.
inline constexpr std::size_t kKeptBundles = 16;
// Superseded bundles keep their content, newest first, up to this sum; of the
// others only the approvals and the digest stay. A bundle of 6,100 workers
// takes about 1.6 MB in memory, so 16 of them would not fit into the 64 MB of a
// daemon.
inline constexpr std::size_t kMaxSupersededBytes = 256 * 1024;

class BundleTable
{
public:
  BundleTable();

  Outcome Propose(const ProposeBundle& aCommand, Context& aContext);
  Outcome Approve(const ApproveBundle& aCommand,
                  const MemberTable& aMembers,
                  Context& aContext);
  void RemoveApprovals(const MemberId& aMember);
  // Accepts the pending bundle when all members have approved it. Returns true
  // when the active bundle changed.
  bool AcceptIfComplete(const MemberTable& aMembers, Context& aContext);

  [[nodiscard]] const Bundle& Active() const { return *this->active; }
  [[nodiscard]] const std::shared_ptr<const Bundle>& ActivePointer() const
  {
    return this->active;
  }
  [[nodiscard]] const TeamSpec* FindTeam(const TeamId& aTeam) const;
  [[nodiscard]] const ServiceSpec* FindService(const ServiceId& aService) const;
  [[nodiscard]] const PoolSpec* FindPool(const PoolId& aPool) const;
  // Slots the team may have running; 0 for a team that is not in the bundle.
  [[nodiscard]] std::uint32_t LimitOf(const TeamId& aTeam) const;
  // True when an instance of the pool, as the bundle lists it, can hold aSize.
  [[nodiscard]] bool FitsPool(const Resources& aSize,
                              const PoolId& aPool) const;

  [[nodiscard]] const std::map<std::uint64_t, BundleRecord>& Records() const
  {
    return this->records;
  }
  void Load(std::map<std::uint64_t, BundleRecord> aRecords);

private:
  [[nodiscard]] Outcome CheckVersion(const ProposeBundle& aCommand) const;
  void Activate(std::shared_ptr<const Bundle> aBundle);
  void IndexActive();
  void DropOldRecords();
  void TrimSuperseded();

  std::map<std::uint64_t, BundleRecord> records;
  std::shared_ptr<const Bundle> active; // never null
  // Look-ups in the active bundle. Read by key only, never iterated.
  std::map<TeamId, const TeamSpec*> teams;
  std::map<ServiceId, const ServiceSpec*> services;
  std::map<PoolId, const PoolSpec*> pools;
  std::map<PoolId, std::vector<Resources>> shapes; // without repeats
};

} // namespace hyssoppaddle::state

#endif
