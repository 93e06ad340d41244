// Stores proposed and accepted bundles with their approvals, and indexes the
// active bundle.
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

// Number of bundle records kept, for display and for answering repeated
// proposals.
inline constexpr std::size_t kMaxKeptBundles = 16;
// Superseded bundles keep their content, newest first, up to this total size;
// older ones keep only the approvals and the digest. A bundle with 6,100
// workers takes about 1.6 MB in memory, so 16 of them would not fit into the
// 64 MB of a daemon.
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
  // Activates the pending bundle if all members have approved it. Returns true
  // if the active bundle changed.
  bool AcceptIfComplete(const MemberTable& aMembers, Context& aContext);

  [[nodiscard]] const Bundle& Active() const { return *this->active; }
  [[nodiscard]] const std::shared_ptr<const Bundle>& ActivePointer() const
  {
    return this->active;
  }
  [[nodiscard]] const TeamSpec* FindTeam(const TeamId& aTeam) const;
  [[nodiscard]] const ServiceSpec* FindService(const ServiceId& aService) const;
  [[nodiscard]] const PoolSpec* FindPool(const PoolId& aPool) const;
  // Slot limit of the team; 0 for a team that is not in the active bundle.
  [[nodiscard]] std::uint32_t LimitOf(const TeamId& aTeam) const;
  // Returns true if aSize fits at least one instance that the active bundle
  // lists in the pool.
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
  // Indexes of the active bundle. They are looked up by key and never iterated.
  std::map<TeamId, const TeamSpec*> teams;
  std::map<ServiceId, const ServiceSpec*> services;
  std::map<PoolId, const PoolSpec*> pools;
  std::map<PoolId, std::vector<Resources>> capacities; // distinct values
};

} // namespace hyssoppaddle::state

#endif
