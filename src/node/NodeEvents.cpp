// Handles peer messages, calls and answers, and executes the output of the
// dispatcher.
#include "node/NodeImpl.h"

#include "node/CallDeadline.h"
#include "node/Clock.h"
#include "node/LeaderRedirect.h"
#include "node/OperatorCalls.h"
#include "node/RepeatedCall.h"
#include "shell/Clock.h"

#include <algorithm>

namespace hyssoppaddle::node {

namespace {

// A leader sends instructions only while a majority of the voters has answered
// within this time. It is shorter than the minimum election timeout (900 ms),
// after which another leader may have been elected. Voters whose connection was
// closed may elect one sooner, and count only after their next answer.
constexpr Duration kQuorumContactLimit = std::chrono::milliseconds(800);
// Calls are handled for this long before other events get their turn.
constexpr Duration kMaxCallPass = std::chrono::milliseconds(10);
// Orders for data centres are not accepted for this long after a pause.
constexpr Duration kAfterPause = std::chrono::seconds(1);

} // namespace

void
Node::Impl::OnPeerMessage(const InstanceId& aFrom, wire::PeerMessage aMessage)
{
  const LoopMeter::Scope scope(this->loopMeter, LoopPart::PeerMessages);
  this->DetectPause(SuspendAwareNow());
  this->cluster.RecordContact(aFrom, SuspendAwareNow());
  std::visit(
    [&](auto& aConcrete) {
      using T = std::decay_t<decltype(aConcrete)>;
      if constexpr (std::is_same_v<T, wire::RaftMessage> ||
                    std::is_same_v<T, wire::JoinRequest> ||
                    std::is_same_v<T, wire::RemoteCall> ||
                    std::is_same_v<T, wire::RemoteReply> ||
                    std::is_same_v<T, wire::NodeStatus>) {
        this->On(aFrom, aConcrete);
      }
      // The other message types are used only by daemons with a static list of
      // peers.
    },
    aMessage);
}

void
Node::Impl::On(const InstanceId& aFrom, wire::RaftMessage& aMessage)
{
  if (this->replica) {
    this->StepReplica(
      agreement::MessageReceived{ aFrom, std::move(aMessage.message) },
      SuspendAwareNow());
    this->ScheduleOutputProcessing();
  }
}

void
Node::Impl::On(const InstanceId& aFrom, wire::JoinRequest& aMessage)
{
  if (aMessage.wantsVote) {
    this->membership.RecordJoinRequest(aFrom, SuspendAwareNow());
  }
}

void
Node::Impl::On(const InstanceId& aFrom, wire::RemoteCall& aMessage)
{
  const std::uint64_t token = aMessage.token;
  if (this->dispatcherTerm == 0) {
    this->peers->Send(aFrom, wire::RemoteReply{ token, 0, false, {}, {} });
    return;
  }
  this->EnqueueCall(std::move(aMessage),
                    [this, aFrom, token](RoutedReply aReply) {
                      wire::RemoteReply reply;
                      reply.token = token;
                      reply.status = aReply.decided ? aReply.reply.status : 0;
                      reply.mayHaveRun = aReply.mayHaveRun;
                      for (api::HttpHeader& header : aReply.reply.headers) {
                        reply.fields.push_back(
                          { std::move(header.name), std::move(header.value) });
                      }
                      reply.body = std::move(aReply.reply.body);
                      this->peers->Send(aFrom, reply);
                    });
}

void
Node::Impl::On(const InstanceId& aFrom, wire::RemoteReply& aMessage)
{
  if (aMessage.token == wire::kReportToken) {
    this->RecordSpeedReport(aFrom, aMessage);
    return;
  }
  this->router->OnReply(aFrom, std::move(aMessage));
}

void
Node::Impl::On(const InstanceId& aFrom, wire::NodeStatus& aMessage)
{
  this->cluster.OnStatus(aFrom, aMessage, SuspendAwareNow());
  this->DialLinkTargets();
  this->ScheduleOutputProcessing();
}

void
Node::Impl::OnCall(api::HttpRequest aRequest,
                   bool aControl,
                   api::ReplyCallback aDone)
{
  const LoopMeter::Scope scope(this->loopMeter, LoopPart::Calls);
  aRequest.listener =
    aControl ? api::Listener::Control : api::Listener::Callers;
  if (this->protocol->IsBulk(aRequest)) {
    const auto redirect =
      RedirectToLeader(this->self,
                       this->cluster.Leader(SuspendAwareNow()),
                       this->settings.controlAddress,
                       aRequest.target);
    if (redirect) {
      this->LogThrottled({ "call_redirected",
                           {},
                           { { "method", aRequest.method },
                             { "target", aRequest.target },
                             { "to", redirect->location } } });
      aDone(this->protocol->Encode(*redirect));
      return;
    }
  }
  if (this->MayHaveWaitedInPause(aRequest)) {
    Reply refusal;
    refusal.retryAfter = kAfterPause;
    aDone(this->protocol->Encode(refusal));
    return;
  }
  if (!this->HasMemoryFor(aRequest)) {
    this->RefuseForMemory(aRequest, aDone);
    return;
  }
  aDone = this->CountUntilAnswered(aRequest, std::move(aDone));
  const Duration limit = this->protocol->TimeLimit(aRequest);
  wire::RemoteCall call;
  call.control = aControl;
  call.method = std::move(aRequest.method);
  call.target = std::move(aRequest.target);
  for (const std::string_view name : this->protocol->ForwardedHeaders()) {
    const std::string_view value = aRequest.Header(name);
    if (!value.empty()) {
      call.fields.push_back({ std::string(name), std::string(value) });
    }
  }
  call.body = std::move(aRequest.body);
  this->metrics->Add(shell::Counter::Requests);
  this->router->Route(
    std::move(call), limit, SuspendAwareNow(), std::move(aDone));
}

Call
Node::Impl::DecodeCall(const api::HttpRequest& aRequest) const
{
  std::optional<Call> own = DecodeOperatorCall(aRequest);
  return own ? std::move(*own) : this->protocol->Decode(aRequest);
}

// An order that waited in a socket during a pause is repeated elsewhere by its
// sender, who may have withdrawn it since.
bool
Node::Impl::MayHaveWaitedInPause(const api::HttpRequest& aRequest)
{
  const Time now = SuspendAwareNow();
  this->DetectPause(now);
  return this->pauseEndedAt && now - *this->pauseEndedAt < kAfterPause &&
         std::holds_alternative<EvacuateCall>(this->DecodeCall(aRequest));
}

void
Node::Impl::EnqueueCall(wire::RemoteCall aCall,
                        CallRouter::RoutedReplyCallback aDone)
{
  QueuedCall queued;
  queued.arrivedAt = SuspendAwareNow();
  queued.done = std::move(aDone);
  queued.isRepeated = IsRepeated(aCall);
  const std::optional<Duration> timeLeft = TimeLeft(aCall);
  api::HttpRequest& request = queued.request;
  request.method = std::move(aCall.method);
  request.target = std::move(aCall.target);
  for (wire::HeaderField& field : aCall.fields) {
    request.headers.push_back(
      { std::move(field.name), std::move(field.value) });
  }
  request.body = std::move(aCall.body);
  request.listener =
    aCall.control ? api::Listener::Control : api::Listener::Callers;
  queued.callClass = this->protocol->ClassOf(request);
  queued.answerBy =
    queued.arrivedAt + timeLeft.value_or(this->protocol->TimeLimit(request));
  this->callQueue.Push(std::move(queued));
  this->ScheduleCalls();
}

void
Node::Impl::DiscardCall(const QueuedCall& aCall,
                        CallQueue::DiscardReason aReason)
{
  this->callMeter.RecordWait(SuspendAwareNow() - aCall.arrivedAt);
  if (aReason == CallQueue::DiscardReason::CallerGone) {
    this->callMeter.RecordDropped();
    return;
  }
  this->callMeter.RecordEvicted();
  aCall.done(RoutedReply{ false, false, {} });
}

// Posts the calls to the event loop, so that messages of other nodes, answers
// of upstreams and timers are handled between two passes.
void
Node::Impl::ScheduleCalls()
{
  if (!this->callsScheduled) {
    this->callsScheduled = true;
    shell::asio::post(this->io, [this] { this->ServeCalls(); });
  }
}

void
Node::Impl::ServeCalls()
{
  const LoopMeter::Scope scope(this->loopMeter, LoopPart::Handling);
  this->callsScheduled = false;
  Time now = SuspendAwareNow();
  this->DetectPause(now);
  const Time passEnd = now + kMaxCallPass;
  while (now < passEnd) {
    std::optional<QueuedCall> call = this->callQueue.Pop(now);
    if (!call) {
      break;
    }
    this->callMeter.RecordWait(now - call->arrivedAt);
    this->HandleCall(std::move(*call));
    now = SuspendAwareNow();
  }
  if (!this->callQueue.IsEmpty()) {
    this->ScheduleCalls();
  }
}

void
Node::Impl::HandleCall(QueuedCall aCall)
{
  const Time begun = SuspendAwareNow();
  const Call decoded = this->DecodeCall(aCall.request);
  this->handler->Handle(
    decoded,
    [this, isRepeated = aCall.isRepeated, done = std::move(aCall.done)](
      const Reply& aReply) {
      if (isRepeated && OutcomeOfRepeated(aReply.outcome) != aReply.outcome) {
        Reply unknown;
        unknown.outcome = OutcomeOfRepeated(aReply.outcome);
        this->LogThrottled({ "repeated_call_not_refused", {}, {} });
        done({ true, true, this->protocol->Encode(unknown) });
        return;
      }
      const bool undecided = aReply.outcome == Outcome::Undecided;
      const bool decided = !undecided && aReply.outcome != Outcome::NotLeading;
      done({ decided, undecided, this->protocol->Encode(aReply) });
    });
  const Duration elapsed = SuspendAwareNow() - begun;
  this->callQueue.Charge(aCall.callClass, elapsed);
  this->callMeter.Record(decoded, elapsed);
  this->ScheduleOutputProcessing();
}

void
Node::Impl::OnHandlerError()
{
  this->LogThrottled({ "handler_failed", {}, {} }); // counts it
  this->outputProcessingScheduled = false;
  this->callsScheduled = false;
  if (this->replica && this->replica->IsLeader()) {
    this->TransferLeadership({}, SuspendAwareNow());
  }
  this->ArmTick();
}

// Posts the processing to the event loop, so that all output of the current
// handlers is proposed and sent together.
void
Node::Impl::ScheduleOutputProcessing()
{
  if (!this->outputProcessingScheduled) {
    this->outputProcessingScheduled = true;
    shell::asio::post(this->io, [this] { this->ProcessDispatcherOutput(); });
  }
}

void
Node::Impl::ProcessDispatcherOutput()
{
  const LoopMeter::Scope scope(this->loopMeter, LoopPart::Output);
  this->outputProcessingScheduled = false;
  if (this->replica) {
    this->CheckLeadership();
  }
  // A new leader is reported and used at once, not at the next tick.
  this->SendStatus(SuspendAwareNow());
  this->RouteWaitingCalls();
  if (!this->replica) {
    return;
  }
  dispatch::Output output = this->dispatcher->TakeOutput();
  for (const dispatch::Decision& decision : output.decisions) {
    if (decision.isSummary) {
      this->LogUnthrottled(decision);
    } else {
      this->LogThrottled(decision);
    }
  }
  this->ProposeDispatcherCommands(std::move(output.commands));
  for (const dispatch::Instruction& instruction : output.instructions) {
    this->Execute(instruction);
  }
  if (this->dispatcher->HasUnfinishedPlans()) {
    this->ScheduleOutputProcessing();
  }
}

void
Node::Impl::ProposeDispatcherCommands(std::vector<work::Command> aCommands)
{
  // A leader rejects all proposals during a transfer. Repeating them before its
  // end would keep the event loop busy, as each proposal schedules this again.
  const bool transfers = this->replica->RaftState().IsTransferring();
  if (!this->rejectedCommands.empty() && !transfers) {
    aCommands.insert(aCommands.begin(),
                     std::make_move_iterator(this->rejectedCommands.begin()),
                     std::make_move_iterator(this->rejectedCommands.end()));
    this->rejectedCommands.clear();
  }
  if (aCommands.empty()) {
    return;
  }
  const std::uint64_t term = this->dispatcherTerm;
  this->Propose(
    aCommands,
    [this, term, commands = aCommands](ProposalResult aProposalResult,
                                       std::span<const work::Verdict>) {
      // A leader rejects proposals while it transfers leadership; they are
      // proposed again later.
      if (aProposalResult == ProposalResult::Rejected &&
          term == this->dispatcherTerm && term != 0) {
        this->rejectedCommands.insert(
          this->rejectedCommands.end(), commands.begin(), commands.end());
      }
    });
}

void
Node::Impl::Propose(std::vector<work::Command> aCommands,
                    Replica::ProposalCallback aDone)
{
  work::Batch batch;
  batch.stamp = shell::WallClockNow();
  batch.commands = std::move(aCommands);
  const LoopMeter::Scope scope(this->loopMeter, LoopPart::Raft);
  this->replica->Propose(batch, SuspendAwareNow(), std::move(aDone));
  this->ScheduleOutputProcessing();
}

bool
Node::Impl::MaySendInstructions(Time aNow) const
{
  const agreement::Raft& raft = this->replica->RaftState();
  if (raft.CurrentRole() != agreement::Role::Leader || raft.IsTransferring() ||
      !this->orderPermission.IsProven()) {
    return false;
  }
  const auto& voters = raft.ActiveConfiguration().voters;
  const auto fresh = static_cast<std::size_t>(
    std::count_if(voters.begin(), voters.end(), [&](const InstanceId& aVoter) {
      const auto heard = raft.LastHeard(aVoter);
      return aVoter == this->self ||
             (heard && aNow - *heard < kQuorumContactLimit);
    }));
  return fresh > voters.size() / 2;
}

void
Node::Impl::Execute(const dispatch::Instruction& aInstruction)
{
  const std::uint64_t term = this->dispatcherTerm;
  const auto answer =
    [this, term, instruction = aInstruction](const OutboundResult& aResult) {
      if (term == this->dispatcherTerm && term != 0) {
        this->HandleAnswer(instruction, aResult);
      }
    };
  const auto maySend = [this, term] {
    const Time now = SuspendAwareNow();
    this->DetectPause(now);
    return term == this->dispatcherTerm && term != 0 &&
           this->MaySendInstructions(now);
  };
  if (!maySend()) {
    shell::asio::post(this->io, [answer] {
      answer(OutboundResult{ Delivery::NotSent, 0, {} });
    });
    return;
  }
  if (std::holds_alternative<dispatch::StartTask>(aInstruction)) {
    this->takeover.OnStep(TakeoverStep::FirstStart, SuspendAwareNow());
  }
  this->metrics->Add(shell::Counter::InstructionsSent);
  this->client->Send(
    this->protocol->EncodeInstruction(aInstruction), maySend, answer);
}

void
Node::Impl::HandleAnswer(const dispatch::Instruction& aInstruction,
                         const OutboundResult& aResult)
{
  const LoopMeter::Scope scope(this->loopMeter, LoopPart::Answers);
  if (aResult.delivery != Delivery::Answered) {
    this->metrics->Add(shell::Counter::InstructionsFailed);
  }
  this->dispatcher->Handle(this->protocol->DecodeAnswer(aInstruction, aResult),
                           SuspendAwareNow(),
                           shell::WallClockNow());
  this->ScheduleOutputProcessing();
}

} // namespace hyssoppaddle::node
