// Applies one command body to the tables. Each table enforces its own rules;
// this class enforces the rules that involve several tables.
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
  // Number of slots left below the team's limit. If a bundle lowered the limit
  // below the slots in use, this is 0 until enough work has ended.
  [[nodiscard]] std::uint32_t FreeSlots(const TeamId& aTeam) const;
  // Checks that the instance exists, is in the job's pool and accepts new work.
  [[nodiscard]] Outcome CheckInstanceFor(const PlaceTask& aCommand) const;
  // Activates the pending bundle if its approvals are complete, and updates the
  // other tables. Returns true if the active bundle changed.
  bool ActivateApprovedBundle();
  // Removes the upstream if its instance is no longer in the instance table.
  void RemoveUpstreamWithoutInstance(const InstanceId& aInstance);

  Tables& tables;
  Context& context;
};

} // namespace hyssoppaddle::state

#endif
