// Encoding of commands, bundles and outcomes. The field order and the type
// numbers define the format of the log: a changed command needs a new number.
#ifndef hyssoppaddle_wire_CommandSchema_h
#define hyssoppaddle_wire_CommandSchema_h

#include "state/Commands.h"
#include "state/Outcome.h"
#include "wire/Schema.h"

namespace hyssoppaddle::wire {

HYSSOPPADDLE_LAST_VALUE(state::WorkClass, Archive);
HYSSOPPADDLE_LAST_VALUE(state::KeyRole, Team);
HYSSOPPADDLE_LAST_VALUE(state::ClaimState, Unknown);
HYSSOPPADDLE_LAST_VALUE(state::StopMode, Stop);
HYSSOPPADDLE_LAST_VALUE(state::TaskState, Unknown);
HYSSOPPADDLE_LAST_VALUE(state::UpstreamState, Silent);
HYSSOPPADDLE_LAST_VALUE(state::InstancePhase, Lost);
HYSSOPPADDLE_LAST_VALUE(state::StopPurpose, Repair);
HYSSOPPADDLE_LAST_VALUE(state::InstanceAction, Move);
HYSSOPPADDLE_LAST_VALUE(state::WaveState, Finished);
HYSSOPPADDLE_LAST_VALUE(ErrorCode, Corrupt);

HYSSOPPADDLE_SCHEMA(state::Resources,
                    aIt.milliCpus,
                    aIt.memoryMb,
                    aIt.accelerators);
HYSSOPPADDLE_SCHEMA(state::DataCentreSpec, aIt.name, aIt.region);
HYSSOPPADDLE_SCHEMA(state::InstanceSpec,
                    aIt.name,
                    aIt.dataCentre,
                    aIt.rack,
                    aIt.capacity);
HYSSOPPADDLE_SCHEMA(state::PoolSpec,
                    aIt.name,
                    aIt.spare,
                    aIt.minAvailable,
                    aIt.instances);
HYSSOPPADDLE_SCHEMA(state::WorkspaceSpec, aIt.name, aIt.member);
HYSSOPPADDLE_SCHEMA(state::TeamSpec,
                    aIt.name,
                    aIt.workspace,
                    aIt.share,
                    aIt.limit);
HYSSOPPADDLE_SCHEMA(state::ServiceSpec,
                    aIt.name,
                    aIt.pool,
                    aIt.workspace,
                    aIt.workClass,
                    aIt.open,
                    aIt.openTeam,
                    aIt.queueLimit,
                    aIt.maxDeadline);
HYSSOPPADDLE_SCHEMA(state::PolicySpec,
                    aIt.nearnessWeight,
                    aIt.maintenanceInterval,
                    aIt.soakTime,
                    aIt.drainTime,
                    aIt.shareWindow);
HYSSOPPADDLE_SCHEMA(state::Bundle,
                    aIt.version,
                    aIt.base,
                    aIt.dataCentres,
                    aIt.workspaces,
                    aIt.pools,
                    aIt.teams,
                    aIt.services,
                    aIt.policy);

HYSSOPPADDLE_SCHEMA(state::ProposeMember, aIt.member);
HYSSOPPADDLE_SCHEMA(state::ApproveMember, aIt.member, aIt.approver);
HYSSOPPADDLE_SCHEMA(state::WithdrawApproval, aIt.member, aIt.approver);
HYSSOPPADDLE_SCHEMA(state::LeaveMember, aIt.member);
HYSSOPPADDLE_SCHEMA(state::ProposeBundle,
                    aIt.content,
                    aIt.digest,
                    aIt.proposer,
                    aIt.bundle);
HYSSOPPADDLE_SCHEMA(state::ApproveBundle, aIt.version, aIt.digest, aIt.member);
HYSSOPPADDLE_SCHEMA(state::GrantKey,
                    aIt.key,
                    aIt.role,
                    aIt.subject,
                    aIt.digest);
HYSSOPPADDLE_SCHEMA(state::WithdrawKey, aIt.key, aIt.overlap);
HYSSOPPADDLE_SCHEMA(state::ClaimRequest,
                    aIt.team,
                    aIt.idempotencyKey,
                    aIt.requestDigest,
                    aIt.entry,
                    aIt.createdAt);
HYSSOPPADDLE_SCHEMA(state::FinishClaim,
                    aIt.team,
                    aIt.idempotencyKey,
                    aIt.state,
                    aIt.status,
                    aIt.attempt);
HYSSOPPADDLE_SCHEMA(state::SubmitJob,
                    aIt.job,
                    aIt.team,
                    aIt.service,
                    aIt.workClass,
                    aIt.size,
                    aIt.slots,
                    aIt.runTime,
                    aIt.idempotent,
                    aIt.payload);
HYSSOPPADDLE_SCHEMA(state::CancelJobs, aIt.team, aIt.jobs);
HYSSOPPADDLE_SCHEMA(state::PlaceTask,
                    aIt.job,
                    aIt.instance,
                    aIt.epoch,
                    aIt.lease,
                    aIt.charged);
HYSSOPPADDLE_SCHEMA(state::StopTask, aIt.job, aIt.epoch, aIt.mode, aIt.reason);
HYSSOPPADDLE_SCHEMA(state::TaskReport,
                    aIt.job,
                    aIt.epoch,
                    aIt.state,
                    aIt.usage,
                    aIt.detail);
HYSSOPPADDLE_SCHEMA(state::ReportTasks, aIt.instance, aIt.boot, aIt.reports);
HYSSOPPADDLE_SCHEMA(state::EndTask, aIt.job, aIt.epoch, aIt.state, aIt.reason);
HYSSOPPADDLE_SCHEMA(state::EndJob, aIt.job, aIt.cannotRun, aIt.reason);
HYSSOPPADDLE_SCHEMA(state::Announcement,
                    aIt.instance,
                    aIt.bootedAtMs,
                    aIt.boot,
                    aIt.sequence,
                    aIt.service,
                    aIt.pool,
                    aIt.dataCentre,
                    aIt.rack,
                    aIt.address,
                    aIt.slots,
                    aIt.connections,
                    aIt.capacity,
                    aIt.state);
HYSSOPPADDLE_SCHEMA(state::UpdateUpstream, aIt.announcement);
HYSSOPPADDLE_SCHEMA(state::MarkUpstreamSilent,
                    aIt.instance,
                    aIt.boot,
                    aIt.sequence);
HYSSOPPADDLE_SCHEMA(state::SetInstancePhase,
                    aIt.instance,
                    aIt.from,
                    aIt.to,
                    aIt.purpose,
                    aIt.reason);
HYSSOPPADDLE_SCHEMA(state::MoveInstance, aIt.instance, aIt.from, aIt.to);
HYSSOPPADDLE_SCHEMA(state::RequestInstanceAction,
                    aIt.instance,
                    aIt.request,
                    aIt.to);
HYSSOPPADDLE_SCHEMA(state::SetWave,
                    aIt.wave,
                    aIt.state,
                    aIt.reason,
                    aIt.forecastEnd);
HYSSOPPADDLE_SCHEMA(state::RegisterEntry, aIt.entry, aIt.boot);
HYSSOPPADDLE_SCHEMA(state::GrantPermits,
                    aIt.entry,
                    aIt.boot,
                    aIt.team,
                    aIt.count);
HYSSOPPADDLE_SCHEMA(state::ReturnPermits,
                    aIt.entry,
                    aIt.boot,
                    aIt.team,
                    aIt.count,
                    aIt.sequence);
HYSSOPPADDLE_SCHEMA(state::ReclaimPermits, aIt.entry, aIt.boot);
HYSSOPPADDLE_SCHEMA(state::Command, aIt.requestId, aIt.actor, aIt.at, aIt.body);

HYSSOPPADDLE_SCHEMA(Error, aIt.code, aIt.message);
HYSSOPPADDLE_SCHEMA(state::ClaimOutcome,
                    aIt.granted,
                    aIt.state,
                    aIt.status,
                    aIt.attempt);
HYSSOPPADDLE_SCHEMA(state::Outcome,
                    aIt.error,
                    aIt.detail,
                    aIt.claim,
                    aIt.repeated);

// Type numbers of commands, in the order of the alternatives of CommandBody.
template<>
struct TypeNumbers<state::CommandBody>
{
  static constexpr std::array<std::uint16_t, 27> kNumbers{
    1,  // ProposeMember
    2,  // ApproveMember
    3,  // WithdrawApproval
    4,  // LeaveMember
    5,  // ProposeBundle
    6,  // ApproveBundle
    7,  // GrantKey
    8,  // WithdrawKey
    9,  // ClaimRequest
    10, // FinishClaim
    11, // SubmitJob
    12, // CancelJobs
    13, // PlaceTask
    14, // StopTask
    15, // ReportTasks
    16, // EndTask
    17, // EndJob
    18, // UpdateUpstream
    19, // MarkUpstreamSilent
    20, // SetInstancePhase
    21, // MoveInstance
    22, // RequestInstanceAction
    23, // SetWave
    24, // RegisterEntry
    25, // GrantPermits
    26, // ReturnPermits
    27, // ReclaimPermits
  };
};

} // namespace hyssoppaddle::wire

#endif
