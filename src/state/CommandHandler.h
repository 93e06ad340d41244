// Applies one command body to the tables. Rules within one part of the state
// are the table's; what concerns several tables is here.
#ifndef hyssoppaddle_state_CommandHandler_h
#define hyssoppaddle_state_CommandHandler_h

#include "state/Commands.h"
#include "state/Context.h"
#include "state/Tables.h"

#include <cstdint>

namespace hyssoppaddle::state {

class CommandHandler
{
public:
  CommandHandler(Tables& aTables, Context& aContext);

  Outcome operator()(const ProposeMember& aCommand);
  Outcome operator()(const ApproveMember& aCommand);
  Outcome operator()(const WithdrawApproval& aCommand);
  Outcome operator()(const LeaveMember& aCommand);
  Outcome operator()(const ProposeBundle& aCommand);
  Outcome operator()(const ApproveBundle& aCommand);
  Outcome operator()(const GrantKey& aCommand);
  Outcome operator()(const WithdrawKey& aCommand);
  Outcome operator()(const ClaimRequest& aCommand);
  Outcome operator()(const FinishClaim& aCommand);
  Outcome operator()(const SubmitJob& aCommand);
  Outcome operator()(const CancelJobs& aCommand);
  Outcome operator()(const PlaceTask& aCommand);
  Outcome operator()(const StopTask& aCommand);
  Outcome operator()(const ReportTasks& aCommand);
  Outcome operator()(const EndTask& aCommand);
  Outcome operator()(const EndJob& aCommand);
  Outcome operator()(const UpdateUpstream& aCommand);
  Outcome operator()(const MarkUpstreamSilent& aCommand);
  Outcome operator()(const SetInstancePhase& aCommand);
  Outcome operator()(const MoveInstance& aCommand);
  Outcome operator()(const RequestInstanceAction& aCommand);
  Outcome operator()(const SetWave& aCommand);
  Outcome operator()(const RegisterEntry& aCommand);
  Outcome operator()(const GrantPermits& aCommand);
  Outcome operator()(const ReturnPermits& aCommand);
  Outcome operator()(const ReclaimPermits& aCommand);

private:
  // Slots below the team's limit. When a bundle lowered the limit below what
  // runs, this is 0 until enough work has ended.
  [[nodiscard]] std::uint32_t FreeSlots(const TeamId& aTeam) const;
  [[nodiscard]] Outcome CheckInstanceFor(const PlaceTask& aCommand) const;
  // Accepts a bundle whose last approval has come and follows it.
  bool FollowApprovals();
  void RemoveUpstreamIfGone(const InstanceId& aInstance);

  Tables& tables;
  Context& context;
};

} // namespace hyssoppaddle::state

#endif
