// Commands on their way to the log: proposed here when this instance leads,
// forwarded to the leader otherwise, parked while there is none.
#include "core/ReducerImpl.h"
#include "wire/Codec.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::core {

namespace {

// An operator or caller waits at most this long for the log.
constexpr Duration kCommandTimeout{ 5000000 };
// A command that nobody waits for is tried for this long. Returned permits must
// not be lost while a partition lasts, so theirs is longer.
constexpr Duration kInternalTimeout{ 30000000 };
constexpr Duration kReturnTimeout{ 24LL * 3600 * 1000000 };

Duration
TimeoutOf(const Origin& aOrigin, const state::Command& aCommand)
{
  if (std::holds_alternative<state::ReturnPermits>(aCommand.body)) {
    return kReturnTimeout;
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
  if (this->leads) {
    state::Command stamped = aSubmission.command;
    stamped.at = std::max(this->wallNow, this->state.Now());
    std::string payload = wire::EncodeCommand(stamped);
    const std::uint64_t token =
      this->submissions.Add(std::move(aSubmission), this->options.self);
    this->work.emplace_back(
      agreement::Event(agreement::Propose{ token, std::move(payload) }));
    return;
  }
  if (aSubmission.origin.kind == OriginKind::Peer) {
    // The sender knows of a leader that this instance is not; it tries again.
    this->GiveUp(aSubmission, aSubmission.mayBeLogged);
    return;
  }
  if (this->leader.empty()) {
    this->submissions.Park(std::move(aSubmission));
    return;
  }
  wire::ForwardRequest forward;
  forward.command = aSubmission.command;
  forward.token = this->submissions.Add(std::move(aSubmission), this->leader);
  this->SendTo(this->leader, std::move(forward));
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
  const bool needsOwnWrite = submission->origin.kind == OriginKind::Http ||
                             submission->origin.kind == OriginKind::Internal;
  if (needsOwnWrite && aMessage.index > this->appliedIndex) {
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
        this->work.emplace_back(planner::Event(planner::CommandRefused{
          aSubmission.command.body, aOutcome.error->message }));
      }
      return;
    case OriginKind::Claim:
      this->work.emplace_back(request::Event(
        request::ClaimDecided{ origin.request, true, false, aOutcome }));
      return;
    case OriginKind::Announcement:
    case OriginKind::Internal:
      return;
  }
}

void
Reducer::Impl::GiveUp(const Submission& aSubmission, bool aUnknown)
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
      this->work.emplace_back(planner::Event(planner::CommandRefused{
        aSubmission.command.body, "not decided by the log" }));
      return;
    case OriginKind::Claim:
      this->work.emplace_back(request::Event(
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
  const bool isOurs = kind != OriginKind::Peer && kind != OriginKind::Planner;
  aSubmission.mayBeLogged = aSubmission.mayBeLogged || aUnknown;
  if (!mayResend || !isOurs || this->now >= aSubmission.deadline) {
    this->GiveUp(aSubmission, aSubmission.mayBeLogged);
    return;
  }
  // Parked rather than sent at once: the leader known here has just refused.
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
    this->GiveUp(submission, submission.mayBeLogged);
  }
}

void
Reducer::Impl::ReleaseHeld()
{
  for (const DecidedSubmission& held :
       this->submissions.TakeAppliedUpTo(this->appliedIndex)) {
    this->Decide(held.submission, held.outcome);
  }
}

} // namespace hyssoppaddle::core
