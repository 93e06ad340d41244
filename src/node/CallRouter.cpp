// Open calls and their ends.
#include "node/CallRouter.h"

#include <algorithm>

namespace hyssoppaddle::node {

namespace {

// Without a leader a call is refused after this: an election takes longer, and
// the caller can use its time elsewhere.
constexpr Duration kWaitForLeader = std::chrono::milliseconds(120);
constexpr Duration kRetryWithoutLeader = std::chrono::seconds(1);
// The answer must reach the sender before its limit.
constexpr Duration kAnswerTime = std::chrono::milliseconds(60);

} // namespace

CallRouter::CallRouter(InstanceId aSelf, Ports aPorts)
  : self(std::move(aSelf))
  , ports(std::move(aPorts))
{
}

void
CallRouter::Route(wire::RemoteCall aCall,
                  Duration aLimit,
                  Time aNow,
                  api::ReplyCallback aDone)
{
  const std::uint64_t token = ++this->lastToken;
  aCall.token = token;
  OpenCall& open = this->calls[token];
  open.call = std::move(aCall);
  open.done = std::move(aDone);
  open.arrived = aNow;
  open.endsBy = aNow + std::max(aLimit - kAnswerTime, aLimit / 2);
  const InstanceId leader = this->ports.leader();
  if (!leader.empty()) {
    this->Forward(open, leader);
  }
}

void
CallRouter::Forward(OpenCall& aCall, const InstanceId& aLeader)
{
  aCall.sentTo = aLeader;
  if (aLeader != this->self) {
    this->ports.send(aLeader, aCall.call);
    return;
  }
  const wire::RemoteCall call = aCall.call;
  this->ports.handleHere(call, [this, token = call.token](RoutedReply aReply) {
    this->OnRouted(token, std::move(aReply));
  });
}

void
CallRouter::OnRouted(std::uint64_t aToken, RoutedReply aReply)
{
  const auto found = this->calls.find(aToken);
  if (found == this->calls.end()) {
    return; // given up before
  }
  OpenCall& call = found->second;
  if (!aReply.decided) {
    call.sentTo.reset();
    call.unanswered = call.unanswered || aReply.mayHaveRun;
    return;
  }
  const api::ReplyCallback done = std::move(call.done);
  this->calls.erase(found);
  done(std::move(aReply.reply));
}

void
CallRouter::OnReply(const InstanceId& aFrom, wire::RemoteReply aReply)
{
  const auto found = this->calls.find(aReply.token);
  if (found == this->calls.end() || found->second.sentTo != aFrom) {
    return; // late: the call was given up or sent to another leader
  }
  RoutedReply routed;
  routed.decided = aReply.status != 0;
  routed.mayHaveRun = aReply.mayHaveRun;
  routed.reply.status = aReply.status;
  for (wire::HeaderField& field : aReply.fields) {
    routed.reply.headers.push_back(
      { std::move(field.name), std::move(field.value) });
  }
  routed.reply.body = std::move(aReply.body);
  this->OnRouted(aReply.token, std::move(routed));
}

void
CallRouter::OnLost(const InstanceId& aPeer)
{
  for (auto& [token, call] : this->calls) {
    if (call.sentTo == aPeer) {
      call.sentTo.reset();
      call.unanswered = true;
    }
  }
}

void
CallRouter::GiveUp(std::uint64_t aToken)
{
  const OpenCall& call = this->calls.at(aToken);
  Reply reply;
  reply.outcome = call.MayHaveRun() ? Outcome::Undecided : Outcome::Unavailable;
  reply.retryAfter = kRetryWithoutLeader;
  this->ports.note(
    { "call_given_up",
      {},
      { { "method", call.call.method },
        { "target", call.call.target },
        { "sent_to", call.sentTo ? call.sentTo->value : "no leader known" },
        { "may_have_run", call.MayHaveRun() ? "yes" : "no" } } });
  this->OnRouted(aToken, { true, false, this->ports.encode(reply) });
}

void
CallRouter::Tick(Time aNow)
{
  const InstanceId leader = this->ports.leader();
  std::vector<std::uint64_t> ended;
  std::vector<std::uint64_t> waiting;
  for (auto& [token, call] : this->calls) {
    const bool refused =
      !call.MayHaveRun() && aNow - call.arrived >= kWaitForLeader;
    if (aNow >= call.endsBy || (leader.empty() && refused)) {
      ended.push_back(token);
    } else if (!call.sentTo && !leader.empty()) {
      waiting.push_back(token);
    }
  }
  for (const std::uint64_t token : waiting) {
    this->Forward(this->calls.at(token), leader);
  }
  for (const std::uint64_t token : ended) {
    if (this->calls.contains(token)) {
      this->GiveUp(token);
    }
  }
}

} // namespace hyssoppaddle::node
