// Handles the decoded calls of callers, upstreams and operators on the leader.
#ifndef hyssoppaddle_node_CallHandler_h
#define hyssoppaddle_node_CallHandler_h

#include "dispatch/Dispatcher.h"
#include "node/Calls.h"
#include "node/Replica.h"

#include <functional>
#include <set>
#include <string>

namespace hyssoppaddle::node {

class CallHandler
{
public:
  using ReplyCallback = std::function<void(Reply)>;
  // Proposes commands and reports the result of the proposal. The dispatcher
  // receives the verdicts separately when the replica applies the commands.
  using ProposeFunction =
    std::function<void(std::vector<work::Command>, Replica::ProposalCallback)>;
  using ConfirmFunction = std::function<void(Replica::ReadCallback)>;
  using DecisionLogger = std::function<void(const dispatch::Decision&)>;

  struct Callbacks
  {
    ProposeFunction propose;
    ConfirmFunction confirm;
    DecisionLogger logDecision;
    std::function<Time()> now;
  };

  // aState and aDispatcher must outlive this object. aControlAddress is
  // returned to upstreams as the address for their next announcements.
  // aDataCentres are all of the deployment, or empty when these are not known.
  CallHandler(const work::WorkState& aState,
              dispatch::Dispatcher& aDispatcher,
              std::string aControlAddress,
              Callbacks aCallbacks,
              std::vector<DataCentreId> aDataCentres = {});

  // Must be called only on a leader that has caught up. Calls aDone exactly
  // once.
  void Handle(const Call& aCall, ReplyCallback aDone);

private:
  // Result of checking a call to a queue against the current setup.
  struct Access
  {
    const work::Queue* queue = nullptr;
    WorkspaceId workspace;
    JobId job;
    Outcome refusal = Outcome::Done; // Done means that the call is allowed
  };

  void On(const SubmitCall& aCall, ReplyCallback aDone);
  void On(const ShowCall& aCall, ReplyCallback aDone);
  void On(const CancelCall& aCall, ReplyCallback aDone);
  void On(const AnnounceCall& aCall, ReplyCallback aDone);
  void On(const DepartCall& aCall, ReplyCallback aDone);
  void On(const PutSetupCall& aCall, ReplyCallback aDone);
  void On(const GetSetupCall& aCall, ReplyCallback aDone);
  void On(const StartWaveCall& aCall, ReplyCallback aDone);
  void On(const ShowWaveCall& aCall, ReplyCallback aDone);
  void On(const EvacuateCall& aCall, ReplyCallback aDone);
  void On(const ShowEvacuationsCall& aCall, ReplyCallback aDone);
  void On(const MalformedCall& aCall, ReplyCallback aDone);

  [[nodiscard]] Access CheckAccess(const QueueTarget& aCall) const;
  // True when the deployment has no such data centre, as far as this node
  // knows.
  [[nodiscard]] bool IsUnknown(const DataCentreId& aDataCentre) const;
  // Confirms leadership, so that the state is current, and then replies with
  // the result of aBuildReply.
  void ReplyAfterConfirmation(std::function<Reply()> aBuildReply,
                              ReplyCallback aDone);
  void Propose(std::vector<work::Command> aCommands,
               Reply aSuccess,
               ReplyCallback aDone);
  // aBuildReply receives the verdict of the command once it is committed.
  void Propose(work::Command aCommand,
               std::function<Reply(work::Verdict)> aBuildReply,
               ReplyCallback aDone);
  void LogRefusal(const std::string& aJob, const Reply& aReply);
  void Refuse(const std::string& aJob,
              Reply aReply,
              const ReplyCallback& aDone);

  const work::WorkState& state;
  dispatch::Dispatcher& dispatcher;
  std::string controlAddress;
  Callbacks callbacks;
  std::vector<DataCentreId> dataCentres;
  // Jobs whose submission is proposed but not yet committed or rejected.
  std::set<JobId> submitting;
};

} // namespace hyssoppaddle::node

#endif
