// Forwards calls, retries unanswered ones and gives up at the deadline.
#include "node/CallRouter.h"

#include "dispatch/Text.h"
#include "node/CallDeadline.h"
#include "node/RepeatedCall.h"

#include <algorithm>

namespace hyssoppaddle::node {

namespace {

// An unsent call is refused after this time if the leader refuses it: it hands
// over its leadership, or has been elected and has not applied the log yet.
constexpr Duration kUnreadyLeaderWaitLimit = std::chrono::milliseconds(300);
// Reserved so that the reply reaches the sender before its time limit.
constexpr Duration kReplyMargin = std::chrono::milliseconds(60);

// The safe methods of HTTP.
bool
IsRead(const wire::RemoteCall& aCall)
{
  return aCall.method == "GET" || aCall.method == "HEAD";
}

} // namespace

bool
CallRouter::OpenCall::MayHaveRun() const
{
  return !IsRead(this->call) && (this->sentTo.has_value() || this->unanswered);
}

void
CallRouter::OpenCall::AbandonReceiver()
{
  this->sentTo.reset();
  this->waitingSince.reset();
  this->unanswered = true;
}

CallRouter::CallRouter(InstanceId aSelf,
                       std::uint64_t aSeed,
                       Callbacks aCallbacks)
  : self(std::move(aSelf))
  , callbacks(std::move(aCallbacks))
  , tokens(aSeed)
{
}

void
CallRouter::Route(wire::RemoteCall aCall,
                  Duration aLimit,
                  Time aNow,
                  api::ReplyCallback aDone)
{
  const std::uint64_t token = this->tokens.Next();
  OpenCall& open = this->calls[token];
  open.call = std::move(aCall);
  open.done = std::move(aDone);
  open.waitingSince = aNow;
  open.answerBy = aNow + std::max(aLimit - kReplyMargin, aLimit / 2);
  if (this->closed) {
    this->GiveUp(token, {}, aNow);
    return;
  }
  const InstanceId leader = this->callbacks.leader();
  if (!leader.empty()) {
    this->Forward(token, leader, aNow);
  } else if (this->MustGiveUp(open, leader, aNow)) {
    this->GiveUp(token, this->callbacks.absence(aNow), aNow);
  }
}

void
CallRouter::Forward(std::uint64_t aToken, const InstanceId& aLeader, Time aNow)
{
  const std::uint64_t token = this->tokens.Next();
  auto entry = this->calls.extract(aToken);
  entry.key() = token;
  OpenCall& open = this->calls.insert(std::move(entry)).position->second;
  open.call.token = token;
  if (open.MayHaveRun()) {
    MarkRepeated(open.call);
  }
  open.sentTo = aLeader;
  if (open.isHeld) {
    open.isHeld = false;
    ++this->heldCalls;
  }
  open.refused = false;
  SetTimeLeft(open.call, open.answerBy - aNow);
  if (aLeader != this->self) {
    this->callbacks.send(aLeader, open.call);
    return;
  }
  this->callbacks.handleLocally(open.call, [this, token](RoutedReply aReply) {
    this->OnLocalReply(token, std::move(aReply));
  });
}

void
CallRouter::OnLocalReply(std::uint64_t aToken, RoutedReply aReply)
{
  const auto found = this->calls.find(aToken);
  if (found != this->calls.end() && found->second.sentTo == this->self) {
    this->OnRoutedReply(aToken, std::move(aReply));
  }
}

void
CallRouter::OnRoutedReply(std::uint64_t aToken, RoutedReply aReply)
{
  const auto found = this->calls.find(aToken);
  if (found == this->calls.end()) {
    return; // the call was given up earlier
  }
  OpenCall& call = found->second;
  if (!aReply.decided) {
    call.sentTo.reset();
    call.refused = true;
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
  if (!this->tokens.HasIssued(aReply.token)) {
    this->callbacks.foreignReply();
    return;
  }
  const auto found = this->calls.find(aReply.token);
  if (found == this->calls.end() || found->second.sentTo != aFrom) {
    this->callbacks.lateReply();
    return;
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
  this->OnRoutedReply(aReply.token, std::move(routed));
}

void
CallRouter::OnPeerLost(const InstanceId& aPeer)
{
  for (auto& [token, call] : this->calls) {
    if (call.sentTo == aPeer) {
      call.AbandonReceiver();
    }
  }
}

void
CallRouter::GiveUp(std::uint64_t aToken,
                   const LeaderAbsence& aAbsence,
                   Time aNow)
{
  const OpenCall& call = this->calls.at(aToken);
  Reply reply;
  reply.outcome = call.MayHaveRun() ? Outcome::Undecided : Outcome::Unavailable;
  reply.retryAfter = ReturnAfter(aAbsence, call.answerBy - aNow, aToken);
  this->refusedCalls += call.MayHaveRun() ? 0 : 1;
  const std::string notSent = this->closed ? "node stops" : "no leader known";
  this->callbacks.logDecision(
    { "call_given_up",
      {},
      { { "method", call.call.method },
        { "target", call.call.target },
        { "sent_to", call.sentTo ? call.sentTo->value : notSent },
        { "may_have_run", call.MayHaveRun() ? "yes" : "no" },
        { "absent_ms", dispatch::Text(aAbsence.lasted) },
        { "replicas", dispatch::Text(aAbsence.replicas) },
        { "reachable", dispatch::Text(aAbsence.reachable) },
        { "retry_after_ms", dispatch::Text(reply.retryAfter) } } });
  this->OnRoutedReply(aToken, { true, false, this->callbacks.encode(reply) });
}

void
CallRouter::GiveUpAll()
{
  this->closed = true;
  std::vector<std::uint64_t> open;
  for (const auto& [token, call] : this->calls) {
    open.push_back(token);
  }
  for (const std::uint64_t token : open) {
    this->GiveUp(token, {}, this->calls.at(token).answerBy);
  }
}

bool
CallRouter::MustGiveUp(const OpenCall& aCall,
                       const InstanceId& aLeader,
                       Time aNow) const
{
  if (aNow >= aCall.answerBy) {
    return true;
  }
  if (aCall.sentTo) {
    return false;
  }
  const Time since = aCall.waitingSince.value_or(aNow);
  if (aLeader.empty()) {
    const LeaderAbsence absence = this->callbacks.absence(aNow);
    // Only the next leader knows whether an earlier one has executed the call.
    const bool needsLeader = aCall.MayHaveRun() && absence.CanElect();
    return !needsLeader &&
           aNow >= HoldUntil(absence, since, aCall.answerBy, aNow);
  }
  return !aCall.MayHaveRun() && aCall.refused &&
         aNow - since >= kUnreadyLeaderWaitLimit;
}

void
CallRouter::Tick(Time aNow)
{
  const InstanceId leader = this->callbacks.leader();
  std::vector<std::uint64_t> expired;
  std::vector<std::uint64_t> unsent;
  for (auto& [token, call] : this->calls) {
    // A paused leader keeps its connection open and does not reply.
    if (call.sentTo && !leader.empty() && *call.sentTo != leader) {
      call.AbandonReceiver();
    }
    if (!call.sentTo && !call.waitingSince) {
      call.waitingSince = aNow;
    }
    if (this->MustGiveUp(call, leader, aNow)) {
      expired.push_back(token);
    } else if (!call.sentTo && !leader.empty()) {
      unsent.push_back(token);
    } else if (!call.sentTo) {
      call.isHeld = true;
    }
  }
  for (const std::uint64_t token : unsent) {
    this->Forward(token, leader, aNow);
  }
  for (const std::uint64_t token : expired) {
    if (this->calls.contains(token)) {
      this->GiveUp(token, this->callbacks.absence(aNow), aNow);
    }
  }
}

} // namespace hyssoppaddle::node
