// Joins, approvals and departures of members.
#include "state/MemberTable.h"

#include <algorithm>

namespace hyssoppaddle::state {

Outcome
MemberTable::Propose(const ProposeMember& aCommand, Context& aContext)
{
  if (aCommand.member.empty()) {
    return Refuse(ErrorCode::InvalidArgument, "the member name is empty");
  }
  if (this->IsMember(aCommand.member)) {
    return Refuse(ErrorCode::Conflict,
                  aCommand.member.value + " is already a member");
  }
  if (this->joins.contains(aCommand.member)) {
    return AcceptRepeated("the join of " + aCommand.member.value +
                          " is already pending");
  }
  this->joins[aCommand.member].proposedAt = aContext.now;
  aContext.changes.members = true;
  if (this->members.empty()) {
    this->AcceptJoin(aCommand.member, aContext);
    return Accept(aCommand.member.value + " is the first member");
  }
  return Accept("the join of " + aCommand.member.value +
                " awaits the approval of every member");
}

Outcome
MemberTable::Approve(const ApproveMember& aCommand, Context& aContext)
{
  if (!this->IsMember(aCommand.approver)) {
    return Refuse(ErrorCode::Forbidden,
                  aCommand.approver.value + " is not a member");
  }
  if (this->IsMember(aCommand.member)) {
    return AcceptRepeated(aCommand.member.value + " is already a member");
  }
  const auto join = this->joins.find(aCommand.member);
  if (join == this->joins.end()) {
    return Refuse(ErrorCode::NotFound,
                  "no join of " + aCommand.member.value + " is pending");
  }
  if (!join->second.approvals.insert(aCommand.approver).second) {
    return AcceptRepeated("this approval was already given");
  }
  aContext.changes.members = true;
  if (!this->AllApproved(join->second.approvals)) {
    return Accept("the join still awaits other members");
  }
  this->AcceptJoin(aCommand.member, aContext);
  return Accept(aCommand.member.value + " is a member now");
}

Outcome
MemberTable::Withdraw(const WithdrawApproval& aCommand, Context& aContext)
{
  if (this->IsMember(aCommand.member)) {
    return Refuse(ErrorCode::Conflict,
                  aCommand.member.value +
                    " is already a member; an approval can be withdrawn only "
                    "before acceptance");
  }
  const auto join = this->joins.find(aCommand.member);
  if (join == this->joins.end()) {
    return Refuse(ErrorCode::NotFound,
                  "no join of " + aCommand.member.value + " is pending");
  }
  if (join->second.approvals.erase(aCommand.approver) == 0) {
    return AcceptRepeated("no approval of " + aCommand.approver.value +
                          " is recorded");
  }
  aContext.changes.members = true;
  return Accept("the approval counts as never given");
}

Outcome
MemberTable::Leave(const LeaveMember& aCommand, Context& aContext)
{
  if (this->members.erase(aCommand.member) == 0) {
    return Refuse(ErrorCode::NotFound,
                  aCommand.member.value + " is not a member");
  }
  for (auto& [member, join] : this->joins) {
    join.approvals.erase(aCommand.member);
  }
  aContext.changes.members = true;
  this->AcceptCompleteJoins(aContext);
  return Accept(aCommand.member.value + " has left");
}

bool
MemberTable::AllApproved(const std::set<MemberId>& aApprovals) const
{
  // Approvals are stored only for current members.
  return !this->members.empty() &&
         std::ranges::all_of(this->members, [&](const auto& aEntry) {
           return aApprovals.contains(aEntry.first);
         });
}

bool
MemberTable::IsMember(const MemberId& aMember) const
{
  return this->members.contains(aMember);
}

void
MemberTable::Load(std::map<MemberId, MemberRecord> aMembers,
                  std::map<MemberId, JoinRecord> aJoins)
{
  this->members = std::move(aMembers);
  this->joins = std::move(aJoins);
}

void
MemberTable::AcceptJoin(const MemberId& aMember, Context& aContext)
{
  this->members[aMember].acceptedAt = aContext.now;
  this->joins.erase(aMember);
}

void
MemberTable::AcceptCompleteJoins(Context& aContext)
{
  // Each acceptance adds a member whose approval the remaining joins then need,
  // so they are checked again.
  for (MemberId next = this->FirstCompleteJoin(); !next.empty();
       next = this->FirstCompleteJoin()) {
    this->AcceptJoin(next, aContext);
  }
}

MemberId
MemberTable::FirstCompleteJoin() const
{
  MemberId first;
  WallTime earliest = WallTime::max();
  for (const auto& [member, join] : this->joins) {
    const bool complete =
      this->members.empty() || this->AllApproved(join.approvals);
    if (complete && join.proposedAt < earliest) {
      first = member;
      earliest = join.proposedAt;
    }
  }
  return first;
}

} // namespace hyssoppaddle::state
