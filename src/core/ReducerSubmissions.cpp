// Submits commands to the log: proposes them when this instance is the leader,
// forwards them to the leader otherwise, and parks them while there is none.
#include "core/ReducerImpl.h"
#include "wire/Codec.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::core {

namespace {

// Longest time that an operator or caller waits for the log.
constexpr Duration kCommandTimeout = std::chrono::seconds(5);
// How long a command without a recipient is retried. Returned permits must not
// be lost during a network partition, so their timeout is longer.
constexpr Duration kInternalTimeout = std::chrono::seconds(30);
constexpr Duration kReturnPermitsTimeout = std::chrono::hours(24);

Duration
TimeoutOf(const Origin& aOrigin, const state::Command& aCommand)
{
  if (std::holds_alternative<state::ReturnPermits>(aCommand.body)) {
    return kReturnPermitsTimeout;
  }
  return aOrigin.kind == OriginKind::Internal ? kInternalTimeout
                                              : kCommandTimeout;
}

} // namespace

void
Reducer::Impl::Submit(Origin aOrigin, state::Command aCommand)
{
  Submission submission;
  submission.deadline = this->now + TimeoutOf(aOrigin, aCommand);
  submission.origin = std::move(aOrigin);
  submission.command = std::move(aCommand);
  this->Submit(std::move(submission));
}

void
Reducer::Impl::Submit(Submission aSubmission)
{
  if (this->isLeader) {
    state::Command stamped = aSubmission.command;
    stamped.at = std::max(this->wallNow, this->state.Now());
    std::string payload = wire::EncodeCommand(stamped);
    const std::uint64_t token =
      this->submissions.Add(std::move(aSubmission), this->options.self);
    this->pendingEvents.emplace_back(
      agreement::Event(agreement::Propose{ token, std::move(payload) }));
    return;
  }
  if (aSubmission.origin.kind == OriginKind::Peer) {
    // The sender has outdated information about the leader and will retry.
    this->ReportUndecided(aSubmission, aSubmission.mayBeLogged);
    return;
  }
  if (this->leader.empty()) {
    this->submissions.Park(std::move(aSubmission));
    return;
  }
  wire::ForwardRequest forwardRequest;
  forwardRequest.command = aSubmission.command;
  forwardRequest.token =
    this->submissions.Add(std::move(aSubmission), this->leader);
  this->SendTo(this->leader, std::move(forwardRequest));
}

void
Reducer::Impl::On(const InstanceId& aFrom, const wire::ForwardRequest& aMessage)
{
  Origin origin;
  origin.kind = OriginKind::Peer;
  origin.peer = aFrom;
  origin.token = aMessage.token;
  this->Submit(std::move(origin), aMessage.command);
}

void
Reducer::Impl::On(const InstanceId& /*aFrom*/,
                  const wire::ForwardReply& aMessage)
{
  std::optional<Submission> submission = this->submissions.Take(aMessage.token);
  if (!submission) {
    return;
  }
  if (!aMessage.decided) {
    this->Retry(std::move(*submission), aMessage.unknown);
    return;
  }
  const bool needsReadYourWrites =
    submission->origin.kind == OriginKind::Http ||
    submission->origin.kind == OriginKind::Internal;
  if (needsReadYourWrites && aMessage.index > this->appliedIndex) {
    this->submissions.HoldUntilApplied(
      aMessage.index, { std::move(*submission), aMessage.outcome });
    return;
  }
  this->Decide(*submission, aMessage.outcome);
}

void
Reducer::Impl::Decide(const Submission& aSubmission,
                      const state::Outcome& aOutcome)
{
  const Origin& origin = aSubmission.origin;
  switch (origin.kind) {
    case OriginKind::Http:
      this->effects.emplace_back(
        CommandDecided{ origin.token, true, false, aOutcome });
      return;
    case OriginKind::Peer:
      this->SendTo(origin.peer,
                   wire::ForwardReply{
                     origin.token, true, false, this->appliedIndex, aOutcome });
      return;
    case OriginKind::Planner:
      if (!aOutcome.Ok()) {
        this->pendingEvents.emplace_back(planner::Event(planner::CommandRefused{
          aSubmission.command.body, aOutcome.error->message }));
      }
      return;
    case OriginKind::Claim:
      this->pendingEvents.emplace_back(request::Event(
        request::ClaimDecided{ origin.request, true, false, aOutcome }));
      return;
    case OriginKind::Announcement:
    case OriginKind::Internal:
      return;
  }
}

void
Reducer::Impl::ReportUndecided(const Submission& aSubmission, bool aUnknown)
{
  const Origin& origin = aSubmission.origin;
  switch (origin.kind) {
    case OriginKind::Http:
      this->effects.emplace_back(
        CommandDecided{ origin.token, false, aUnknown, {} });
      return;
    case OriginKind::Peer:
      this->SendTo(origin.peer,
                   wire::ForwardReply{ origin.token, false, aUnknown, 0, {} });
      return;
    case OriginKind::Planner:
      this->pendingEvents.emplace_back(planner::Event(planner::CommandRefused{
        aSubmission.command.body, "not decided by the log" }));
      return;
    case OriginKind::Claim:
      this->pendingEvents.emplace_back(request::Event(
        request::ClaimDecided{ origin.request, false, aUnknown, {} }));
      return;
    case OriginKind::Announcement:
    case OriginKind::Internal:
      return;
  }
}

void
Reducer::Impl::Retry(Submission aSubmission, bool aUnknown)
{
  const OriginKind kind = aSubmission.origin.kind;
  const bool mayResend = !aUnknown || IsSafeToResend(aSubmission.command);
  const bool isRetriedHere =
    kind != OriginKind::Peer && kind != OriginKind::Planner;
  aSubmission.mayBeLogged = aSubmission.mayBeLogged || aUnknown;
  if (!mayResend || !isRetriedHere || this->now >= aSubmission.deadline) {
    this->ReportUndecided(aSubmission, aSubmission.mayBeLogged);
    return;
  }
  // Parked instead of resent at once, because the leader known here has just
  // rejected it or become unreachable.
  this->submissions.Park(std::move(aSubmission));
}

void
Reducer::Impl::ExpireSubmissions()
{
  if (!this->leader.empty()) {
    for (Submission& submission : this->submissions.TakeParked()) {
      this->Submit(std::move(submission));
    }
  }
  for (const Submission& submission :
       this->submissions.TakeExpired(this->now)) {
    this->ReportUndecided(submission, submission.mayBeLogged);
  }
}

void
Reducer::Impl::DecideHeldSubmissions()
{
  for (const DecidedSubmission& held :
       this->submissions.TakeAppliedUpTo(this->appliedIndex)) {
    this->Decide(held.submission, held.outcome);
  }
}

} // namespace hyssoppaddle::core
