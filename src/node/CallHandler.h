// Answers the calls of callers, upstreams and operators on the leader.
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
  // Proposes commands; the dispatcher is told of their outcome by its own way.
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

  // aState and aDispatcher must outlive this object. aControlAddress is named
  // to upstreams for their next announcements.
  CallHandler(const work::WorkState& aState,
              dispatch::Dispatcher& aDispatcher,
              std::string aControlAddress,
              Callbacks aCallbacks);

  // Only on a leader that has caught up. Calls aDone once.
  void Handle(const Call& aCall, ReplyCallback aDone);

private:
  // What the setup in force says of a call to a queue.
  struct Access
  {
    const work::Queue* queue = nullptr;
    WorkspaceId workspace;
    JobId job;
    Outcome refusal = Outcome::Done; // Done: allowed
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
  void On(const MalformedCall& aCall, ReplyCallback aDone);

  [[nodiscard]] Access CheckAccess(const QueueTarget& aCall) const;
  // Answers with what aRead finds once the state is proven current.
  void ReplyAfterConfirmation(std::function<Reply()> aMakeReply,
                              ReplyCallback aDone);
  void Propose(std::vector<work::Command> aCommands,
               Reply aSuccess,
               ReplyCallback aDone);
  void Refuse(const std::string& aJob,
              Reply aReply,
              const ReplyCallback& aDone);

  const work::WorkState& state;
  dispatch::Dispatcher& dispatcher;
  std::string controlAddress;
  Callbacks callbacks;
  std::set<JobId> submitting; // proposed, not yet decided
};

} // namespace hyssoppaddle::node

#endif
