// Handlers for each type of call.
#include "node/CallHandler.h"

#include "dispatch/Text.h"

#include <utility>

namespace hyssoppaddle::node {

namespace {

// The first setup is loaded before callers arrive, so a caller that retries
// after this time finds it.
constexpr Duration kNoSetupRetryAfter = std::chrono::seconds(1);
// Recorded cancels of unknown jobs expire one by one, so there is soon room.
constexpr Duration kCancelRetryAfter = std::chrono::seconds(1);
// Bounds the memory of the job IDs that are recorded without a job.
constexpr std::size_t kMaxJobIdBytes = 256;
// Approver recorded for setups: the members of this deployment have agreed,
// outside the system, that their operator approves on their behalf.
constexpr const char* kStandingApproval = "standing-approval";

Reply
MakeReply(Outcome aOutcome)
{
  Reply reply;
  reply.outcome = aOutcome;
  return reply;
}

bool
IsValid(const JobId& aId)
{
  return !aId.empty() && aId.value.size() <= kMaxJobIdBytes;
}

// The reply to a caller whose proposal was not committed.
Reply
MakeUncommittedReply(ProposalResult aResult)
{
  return MakeReply(aResult == ProposalResult::Rejected ? Outcome::NotLeading
                                                       : Outcome::Undecided);
}

std::string_view
OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::NoSuchQueue:
      return "no such queue";
    case Outcome::UnknownKey:
      return "unknown key";
    case Outcome::Malformed:
      return "malformed";
    case Outcome::Overloaded:
      return "overloaded";
    case Outcome::Unavailable:
      return "unavailable";
    default:
      return "not allowed";
  }
}

} // namespace

CallHandler::CallHandler(const work::WorkState& aState,
                         dispatch::Dispatcher& aDispatcher,
                         std::string aControlAddress,
                         Callbacks aCallbacks)
  : state(aState)
  , dispatcher(aDispatcher)
  , controlAddress(std::move(aControlAddress))
  , callbacks(std::move(aCallbacks))
{
}

void
CallHandler::Handle(const Call& aCall, ReplyCallback aDone)
{
  std::visit(
    [&](const auto& aConcrete) { this->On(aConcrete, std::move(aDone)); },
    aCall);
}

CallHandler::Access
CallHandler::CheckAccess(const QueueTarget& aCall) const
{
  Access access;
  const work::Setup& setup = this->state.CurrentSetup();
  if (setup.version == 0) {
    access.refusal = Outcome::Unavailable;
    return access;
  }
  access.queue = setup.FindQueue(aCall.host, aCall.path);
  if (access.queue == nullptr) {
    access.refusal = Outcome::NoSuchQueue;
    return access;
  }
  access.job = JobId(aCall.path.substr(access.queue->pathPrefix.size()));
  const work::Workspace* workspace =
    aCall.key.empty() ? nullptr : setup.FindByKey(aCall.key);
  if (workspace != nullptr) {
    access.workspace = workspace->name;
  } else if (!access.queue->allowAnonymous) {
    access.refusal = Outcome::UnknownKey;
  }
  return access;
}

void
CallHandler::ReplyAfterConfirmation(std::function<Reply()> aBuildReply,
                                    ReplyCallback aDone)
{
  this->callbacks.confirm([buildReply = std::move(aBuildReply),
                           done = std::move(aDone)](bool aConfirmed) {
    if (aConfirmed) {
      done(buildReply());
      return;
    }
    done(MakeReply(Outcome::NotLeading));
  });
}

void
CallHandler::Propose(std::vector<work::Command> aCommands,
                     Reply aSuccess,
                     ReplyCallback aDone)
{
  this->callbacks.propose(
    std::move(aCommands),
    [success = std::move(aSuccess),
     done = std::move(aDone)](ProposalResult aProposalResult,
                              std::span<const work::Verdict> /*aVerdicts*/) {
      if (aProposalResult == ProposalResult::Committed) {
        done(success);
        return;
      }
      done(MakeUncommittedReply(aProposalResult));
    });
}

void
CallHandler::Propose(work::Command aCommand,
                     std::function<Reply(work::Verdict)> aBuildReply,
                     ReplyCallback aDone)
{
  std::vector<work::Command> commands;
  commands.push_back(std::move(aCommand));
  this->callbacks.propose(
    std::move(commands),
    [buildReply = std::move(aBuildReply),
     done = std::move(aDone)](ProposalResult aProposalResult,
                              std::span<const work::Verdict> aVerdicts) {
      if (aProposalResult != ProposalResult::Committed) {
        done(MakeUncommittedReply(aProposalResult));
        return;
      }
      // There is no verdict when the leadership was lost before the command was
      // applied.
      done(aVerdicts.empty() ? MakeReply(Outcome::Undecided)
                             : buildReply(aVerdicts.front()));
    });
}

void
CallHandler::LogRefusal(const std::string& aJob, const Reply& aReply)
{
  this->callbacks.logDecision(
    { "call_refused",
      aJob,
      { { "reason", std::string(OutcomeName(aReply.outcome)) },
        { "detail", aReply.reason },
        { "setup", dispatch::Text(this->state.CurrentSetup().version) },
        { "retry_after_ms", dispatch::Text(aReply.retryAfter) } } });
}

void
CallHandler::Refuse(const std::string& aJob,
                    Reply aReply,
                    const ReplyCallback& aDone)
{
  this->LogRefusal(aJob, aReply);
  aDone(std::move(aReply));
}

void
CallHandler::On(const SubmitCall& aCall, ReplyCallback aDone)
{
  const Access access = this->CheckAccess(aCall.queueTarget);
  if (access.refusal != Outcome::Done) {
    // Confirm that the local setup is current before refusing a caller because
    // of it.
    this->ReplyAfterConfirmation(
      [this, call = aCall.queueTarget] {
        // The setup may have changed since the first check. If the call is now
        // allowed, the caller is asked to retry.
        const Access recheck = this->CheckAccess(call);
        Reply reply =
          MakeReply(recheck.refusal == Outcome::Done ? Outcome::Unavailable
                                                     : recheck.refusal);
        reply.retryAfter = kNoSetupRetryAfter;
        return reply;
      },
      [this, job = access.job.value, done = std::move(aDone)](Reply aReply) {
        this->Refuse(job, std::move(aReply), done);
      });
    return;
  }
  if (!aCall.spec || !IsValid(access.job)) {
    Reply reply = MakeReply(Outcome::Malformed);
    reply.reason =
      IsValid(access.job) ? "the job cannot be read" : "no valid job ID";
    this->Refuse(access.job.value, std::move(reply), aDone);
    return;
  }
  if (this->state.FindJob(access.job) != nullptr) {
    this->ReplyAfterConfirmation([] { return MakeReply(Outcome::Done); },
                                 std::move(aDone));
    return;
  }
  const bool isNew = !this->submitting.contains(access.job);
  const auto rejection =
    isNew ? this->dispatcher.CheckAdmission(
              access.job, access.workspace, *access.queue, *aCall.spec)
          : std::nullopt;
  if (rejection) {
    Reply reply = MakeReply(Outcome::Overloaded);
    reply.retryAfter = rejection->retryAfter;
    reply.reason =
      rejection->isBeyondShare ? "beyond the share of the workspace" : "";
    this->Refuse(access.job.value, std::move(reply), aDone);
    return;
  }
  this->submitting.insert(access.job);
  std::vector<work::Command> commands;
  commands.emplace_back(work::SubmitJob{ access.job,
                                         access.queue->name,
                                         access.workspace,
                                         *aCall.spec,
                                         access.queue->Address() });
  this->Propose(
    std::move(commands),
    MakeReply(Outcome::Done),
    [this, job = access.job, done = std::move(aDone)](Reply aReply) {
      this->submitting.erase(job);
      done(std::move(aReply));
    });
}

void
CallHandler::On(const ShowCall& aCall, ReplyCallback aDone)
{
  this->ReplyAfterConfirmation(
    [this, call = aCall.queueTarget] {
      const Access access = this->CheckAccess(call);
      if (access.refusal != Outcome::Done) {
        return MakeReply(access.refusal);
      }
      if (access.job.empty()) {
        Reply reply = MakeReply(Outcome::QueueShown);
        reply.pending = this->dispatcher.CountQueuedJobs(*access.queue);
        return reply;
      }
      const work::Job* job = this->state.FindJob(access.job);
      if (job == nullptr) {
        return MakeReply(Outcome::NoSuchJob);
      }
      Reply reply = MakeReply(Outcome::JobShown);
      reply.job = job->state;
      return reply;
    },
    std::move(aDone));
}

void
CallHandler::On(const CancelCall& aCall, ReplyCallback aDone)
{
  const Access access = this->CheckAccess(aCall.queueTarget);
  if (access.refusal != Outcome::Done || !IsValid(access.job)) {
    this->ReplyAfterConfirmation(
      [this, call = aCall.queueTarget] {
        const Access recheck = this->CheckAccess(call);
        if (recheck.refusal != Outcome::Done) {
          return MakeReply(recheck.refusal);
        }
        if (!IsValid(recheck.job)) {
          return MakeReply(Outcome::NoSuchJob);
        }
        // Now allowed, and not recorded: a submission may still be on its way.
        Reply reply = MakeReply(Outcome::Unavailable);
        reply.retryAfter = kNoSetupRetryAfter;
        return reply;
      },
      std::move(aDone));
    return;
  }
  // Also for an unknown job, whose submission may still be on its way.
  this->Propose(
    work::CancelJob{ access.job },
    [this, job = access.job](work::Verdict aVerdict) {
      if (aVerdict == work::Verdict::Full) {
        Reply reply = MakeReply(Outcome::Unavailable);
        reply.retryAfter = kCancelRetryAfter;
        this->LogRefusal(job.value, reply);
        return reply;
      }
      return MakeReply(aVerdict == work::Verdict::NotFound ? Outcome::NoSuchJob
                                                           : Outcome::Done);
    },
    std::move(aDone));
}

void
CallHandler::On(const AnnounceCall& aCall, ReplyCallback aDone)
{
  const work::Setup& setup = this->state.CurrentSetup();
  const ServiceId& service = aCall.announcement.record.service;
  if (setup.version != 0 && setup.FindService(service) == nullptr) {
    Reply refusal = MakeReply(Outcome::Malformed);
    refusal.reason = "unknown service " + service.value;
    this->Refuse({}, std::move(refusal), aDone);
    return;
  }
  Reply reply = MakeReply(Outcome::Announced);
  reply.announceTo = this->controlAddress;
  std::vector<work::Command> commands = this->dispatcher.HandleAnnouncement(
    aCall.announcement, this->callbacks.now());
  if (commands.empty()) {
    aDone(std::move(reply));
    return;
  }
  this->Propose(std::move(commands), std::move(reply), std::move(aDone));
}

void
CallHandler::On(const DepartCall& aCall, ReplyCallback aDone)
{
  std::vector<work::Command> commands =
    this->dispatcher.HandleDeparture(aCall.upstream, this->callbacks.now());
  if (commands.empty()) {
    aDone(MakeReply(Outcome::Done));
    return;
  }
  this->Propose(
    std::move(commands), MakeReply(Outcome::Done), std::move(aDone));
}

void
CallHandler::On(const PutSetupCall& aCall, ReplyCallback aDone)
{
  work::Setup setup = aCall.setup;
  setup.approvedBy = { kStandingApproval };
  this->callbacks.logDecision(
    { "setup_received",
      {},
      { { "version", dispatch::Text(setup.version) },
        { "held", dispatch::Text(this->state.CurrentSetup().version) },
        { "approved_by", kStandingApproval } } });
  // The applied state is committed, so a setup that it already contains or has
  // replaced is acknowledged without another copy in the log.
  if (setup.version <= this->state.CurrentSetup().version) {
    aDone(MakeReply(Outcome::Done));
    return;
  }
  std::vector<work::Command> commands;
  commands.emplace_back(work::SetSetup{ std::move(setup) });
  this->Propose(
    std::move(commands), MakeReply(Outcome::Done), std::move(aDone));
}

void
CallHandler::On(const GetSetupCall& /*aCall*/, ReplyCallback aDone)
{
  this->ReplyAfterConfirmation(
    [this] {
      const work::Setup& setup = this->state.CurrentSetup();
      Reply reply = MakeReply(setup.version == 0 ? Outcome::Unavailable
                                                 : Outcome::SetupShown);
      reply.document = setup.document;
      reply.retryAfter = kNoSetupRetryAfter;
      return reply;
    },
    std::move(aDone));
}

void
CallHandler::On(const StartWaveCall& aCall, ReplyCallback aDone)
{
  std::vector<work::Command> commands;
  commands.emplace_back(work::StartWave{ aCall.number, aCall.wave });
  this->Propose(
    std::move(commands), MakeReply(Outcome::Done), std::move(aDone));
}

void
CallHandler::On(const ShowWaveCall& aCall, ReplyCallback aDone)
{
  this->ReplyAfterConfirmation(
    [this, number = aCall.number] {
      const auto& waves = this->state.Tables().waves;
      const auto found = waves.find(number);
      if (found == waves.end()) {
        return MakeReply(Outcome::NoSuchWave);
      }
      Reply reply = MakeReply(Outcome::WaveShown);
      reply.waveCompleted = found->second.IsCompleted();
      return reply;
    },
    std::move(aDone));
}

void
CallHandler::On(const MalformedCall& aCall, ReplyCallback aDone)
{
  Reply reply =
    MakeReply(aCall.knownPath ? Outcome::Malformed : Outcome::NoSuchQueue);
  reply.reason = aCall.reason;
  const ReplyCallback done = std::move(aDone);
  this->Refuse({}, std::move(reply), done);
}

} // namespace hyssoppaddle::node
