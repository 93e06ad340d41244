// Messages, calls and answers, and the decisions that follow from them.
#include "node/NodeImpl.h"

#include "node/Clock.h"
#include "shell/Clock.h"

#include <algorithm>

namespace hyssoppaddle::node {

namespace {

// A leader acts only while a majority answered this lately: less than the time
// after which another may have been elected.
constexpr Duration kQuorumFresh = std::chrono::milliseconds(800);

} // namespace

void
Node::Impl::OnPeerMessage(const InstanceId& aFrom, wire::PeerMessage aMessage)
{
  this->NoticePause(SuspendAwareNow());
  this->cluster.Heard(aFrom, SuspendAwareNow());
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
      // The other messages belong to daemons with a static list of peers.
    },
    aMessage);
}

void
Node::Impl::On(const InstanceId& aFrom, wire::RaftMessage& aMessage)
{
  if (this->replica) {
    this->replica->Step(
      agreement::MessageReceived{ aFrom, std::move(aMessage.message) },
      SuspendAwareNow());
    this->SchedulePump();
  }
}

void
Node::Impl::On(const InstanceId& aFrom, wire::JoinRequest& aMessage)
{
  if (aMessage.wantsVote) {
    this->cluster.OnJoin(aFrom, SuspendAwareNow());
  }
}

void
Node::Impl::On(const InstanceId& aFrom, wire::RemoteCall& aMessage)
{
  const std::uint64_t token = aMessage.token;
  if (this->ledTerm == 0) {
    this->peers->Send(aFrom, wire::RemoteReply{ token, 0, false, {}, {} });
    return;
  }
  this->HandleHere(aMessage, [this, aFrom, token](RoutedReply aReply) {
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
  this->router->OnReply(aFrom, std::move(aMessage));
}

void
Node::Impl::On(const InstanceId& aFrom, wire::NodeStatus& aMessage)
{
  this->cluster.OnStatus(aFrom, aMessage, SuspendAwareNow());
  this->DialWanted();
}

void
Node::Impl::OnCall(api::HttpRequest aRequest,
                   bool aControl,
                   api::ReplyCallback aDone)
{
  aRequest.listener =
    aControl ? api::Listener::Control : api::Listener::Callers;
  const Duration limit = this->protocol->TimeLimit(aRequest);
  wire::RemoteCall call;
  call.control = aControl;
  call.method = std::move(aRequest.method);
  call.target = std::move(aRequest.target);
  for (const std::string_view name : this->protocol->Fields()) {
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

void
Node::Impl::HandleHere(const wire::RemoteCall& aCall,
                       CallRouter::LocalReply aDone)
{
  api::HttpRequest request;
  request.method = aCall.method;
  request.target = aCall.target;
  for (const wire::HeaderField& field : aCall.fields) {
    request.headers.push_back({ field.name, field.value });
  }
  request.body = aCall.body;
  request.listener =
    aCall.control ? api::Listener::Control : api::Listener::Callers;
  this->handler->Handle(
    this->protocol->Decode(request),
    [this, done = std::move(aDone)](const Reply& aReply) {
      const bool undecided = aReply.outcome == Outcome::Undecided;
      const bool decided = !undecided && aReply.outcome != Outcome::NotLeading;
      done({ decided, undecided, this->protocol->Encode(aReply) });
    });
  this->SchedulePump();
}

InstanceId
Node::Impl::CallTarget()
{
  const InstanceId leader = this->cluster.Leader(SuspendAwareNow());
  if (leader == this->self) {
    return this->ledTerm != 0 ? leader : InstanceId();
  }
  return this->peers->IsConnected(leader) ? leader : InstanceId();
}

// Everything that one turn of the loop decides leaves together.
void
Node::Impl::SchedulePump()
{
  if (!this->pumpScheduled) {
    this->pumpScheduled = true;
    shell::asio::post(this->io, [this] { this->Pump(); });
  }
}

void
Node::Impl::Pump()
{
  this->pumpScheduled = false;
  if (!this->replica) {
    return;
  }
  this->CheckLeadership();
  dispatch::Output output = this->dispatcher->TakeOutput();
  for (const dispatch::Decision& decision : output.decisions) {
    this->Note(decision);
  }
  this->ProposeDecided(std::move(output.commands));
  for (const dispatch::Instruction& instruction : output.instructions) {
    this->Execute(instruction);
  }
}

void
Node::Impl::CheckLeadership()
{
  const std::uint64_t leads =
    this->replica->HasCaughtUp() ? this->replica->Log().CurrentTerm() : 0;
  if (leads == this->ledTerm) {
    return;
  }
  this->ledTerm = leads;
  this->held.clear();
  if (leads == 0) {
    this->dispatcher->LoseLeadership();
    this->Note({ "leadership_lost", {}, {} });
    return;
  }
  this->electedAt = SuspendAwareNow();
  this->confirmed = true; // a majority has answered this election
  this->dispatcher->BecomeLeader(leads, this->electedAt, shell::WallClockNow());
}

void
Node::Impl::ProposeDecided(std::vector<work::Command> aCommands)
{
  if (!this->held.empty()) {
    aCommands.insert(aCommands.begin(),
                     std::make_move_iterator(this->held.begin()),
                     std::make_move_iterator(this->held.end()));
    this->held.clear();
  }
  if (aCommands.empty()) {
    return;
  }
  const std::uint64_t term = this->ledTerm;
  this->Propose(
    aCommands,
    [this, term, commands = aCommands](ProposalEnd aEnd,
                                       std::span<const work::Verdict>) {
      // While it hands over, a leader takes no proposals.
      if (aEnd == ProposalEnd::Rejected && term == this->ledTerm && term != 0) {
        this->held.insert(this->held.end(), commands.begin(), commands.end());
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
  this->replica->Propose(batch, SuspendAwareNow(), std::move(aDone));
  this->SchedulePump();
}

bool
Node::Impl::MayAct(Time aNow) const
{
  const agreement::Raft& raft = this->replica->Log();
  if (raft.CurrentRole() != agreement::Role::Leader || !this->confirmed) {
    return false;
  }
  const auto& voters = raft.ActiveConfiguration().voters;
  const auto fresh = static_cast<std::size_t>(
    std::count_if(voters.begin(), voters.end(), [&](const InstanceId& aVoter) {
      const auto heard = raft.LastHeard(aVoter);
      return aVoter == this->self || (heard && aNow - *heard < kQuorumFresh);
    }));
  return fresh > voters.size() / 2;
}

void
Node::Impl::Execute(const dispatch::Instruction& aInstruction)
{
  const std::uint64_t term = this->ledTerm;
  const auto answer =
    [this, term, instruction = aInstruction](const OutboundResult& aResult) {
      if (term == this->ledTerm && term != 0) {
        this->Answer(instruction, aResult);
      }
    };
  const auto maySend = [this, term] {
    const Time now = SuspendAwareNow();
    this->NoticePause(now);
    return term == this->ledTerm && term != 0 && this->MayAct(now);
  };
  if (!maySend()) {
    shell::asio::post(this->io, [answer] {
      answer(OutboundResult{ Delivery::NotSent, 0, {} });
    });
    return;
  }
  this->metrics->Add(shell::Counter::InstructionsSent);
  this->client->Send(this->protocol->Write(aInstruction), maySend, answer);
}

void
Node::Impl::Answer(const dispatch::Instruction& aInstruction,
                   const OutboundResult& aResult)
{
  if (aResult.delivery != Delivery::Answered) {
    this->metrics->Add(shell::Counter::InstructionsFailed);
  }
  this->dispatcher->Handle(this->protocol->Read(aInstruction, aResult),
                           SuspendAwareNow(),
                           shell::WallClockNow());
  this->SchedulePump();
}

} // namespace hyssoppaddle::node
