// Stores the members and the pending joins.
#ifndef hyssoppaddle_state_MemberTable_h
#define hyssoppaddle_state_MemberTable_h

#include "state/Context.h"
#include "state/Records.h"

#include <map>
#include <set>

namespace hyssoppaddle::state {

class MemberTable
{
public:
  Outcome Propose(const ProposeMember& aCommand, Context& aContext);
  Outcome Approve(const ApproveMember& aCommand, Context& aContext);
  Outcome Withdraw(const WithdrawApproval& aCommand, Context& aContext);
  Outcome Leave(const LeaveMember& aCommand, Context& aContext);

  // Returns true if there is at least one member and aApprovals contains all
  // members.
  [[nodiscard]] bool AllApproved(const std::set<MemberId>& aApprovals) const;
  [[nodiscard]] bool IsMember(const MemberId& aMember) const;

  [[nodiscard]] const std::map<MemberId, MemberRecord>& Members() const
  {
    return this->members;
  }
  [[nodiscard]] const std::map<MemberId, JoinRecord>& Joins() const
  {
    return this->joins;
  }
  void Load(std::map<MemberId, MemberRecord> aMembers,
            std::map<MemberId, JoinRecord> aJoins);

private:
  void AcceptJoin(const MemberId& aMember, Context& aContext);
  // Accepts joins that a departure has completed, in the order of their
  // proposals.
  void AcceptCompleteJoins(Context& aContext);
  [[nodiscard]] MemberId FirstCompleteJoin() const;

  std::map<MemberId, MemberRecord> members;
  std::map<MemberId, JoinRecord> joins; // keys are never current members
};

} // namespace hyssoppaddle::state

#endif
