// Serialization schema of the commands and tables of the job state machine. The
// order of the fields and the type numbers define the format of the log, so
// they must not change.
#ifndef hyssoppaddle_work_WorkSchema_h
#define hyssoppaddle_work_WorkSchema_h

#include "wire/CommandSchema.h"
#include "work/WorkState.h"

namespace hyssoppaddle::wire {

HYSSOPPADDLE_LAST_VALUE(work::JobState, Cancelled);
HYSSOPPADDLE_LAST_VALUE(work::EndKind, Lost);

HYSSOPPADDLE_SCHEMA(work::AdviceTimes,
                    aIt.decision,
                    aIt.perUpstream,
                    aIt.validity);
HYSSOPPADDLE_SCHEMA(work::Queue,
                    aIt.name,
                    aIt.host,
                    aIt.pathPrefix,
                    aIt.service,
                    aIt.priority,
                    aIt.maxAttempts,
                    aIt.stretch,
                    aIt.targetCompletion,
                    aIt.allowAnonymous,
                    aIt.needsAdvice,
                    aIt.advice);
HYSSOPPADDLE_SCHEMA(work::QueueAddress, aIt.host, aIt.pathPrefix);
HYSSOPPADDLE_SCHEMA(work::Service, aIt.name, aIt.enforcesCapacity, aIt.standby);
HYSSOPPADDLE_SCHEMA(work::Workspace, aIt.name, aIt.keys, aIt.weight, aIt.limit);
HYSSOPPADDLE_SCHEMA(work::Setup,
                    aIt.version,
                    aIt.document,
                    aIt.approvedBy,
                    aIt.queues,
                    aIt.services,
                    aIt.workspaces);
HYSSOPPADDLE_SCHEMA(work::Step,
                    aIt.count,
                    aIt.size,
                    aIt.estimate,
                    aIt.after,
                    aIt.dataRack,
                    aIt.requiredLabel,
                    aIt.image,
                    aIt.tailLatencyTarget,
                    aIt.maxPerUpstream,
                    aIt.maxUnavailable,
                    aIt.checkpoints,
                    aIt.gang,
                    aIt.rackLocal,
                    aIt.speculative,
                    aIt.longRunning,
                    aIt.fills);
HYSSOPPADDLE_SCHEMA(work::JobSpec,
                    aIt.payload,
                    aIt.steps,
                    aIt.occurrences,
                    aIt.firstDue,
                    aIt.interval);
HYSSOPPADDLE_SCHEMA(work::TaskRef,
                    aIt.job,
                    aIt.occurrence,
                    aIt.step,
                    aIt.index);
HYSSOPPADDLE_SCHEMA(work::Run,
                    aIt.number,
                    aIt.upstream,
                    aIt.boot,
                    aIt.startedAt);
HYSSOPPADDLE_SCHEMA(work::Task,
                    aIt.lastRun,
                    aIt.failures,
                    aIt.done,
                    aIt.checkpoint,
                    aIt.runs);
HYSSOPPADDLE_SCHEMA(work::Job,
                    aIt.queue,
                    aIt.workspace,
                    aIt.spec,
                    aIt.acceptedAt,
                    aIt.state,
                    aIt.endedAt,
                    aIt.tasks,
                    aIt.queueAddress);
HYSSOPPADDLE_ADDED_FIELDS(work::Job, 1);
HYSSOPPADDLE_SCHEMA(work::Upstream,
                    aIt.service,
                    aIt.address,
                    aIt.dataCentre,
                    aIt.capacity,
                    aIt.labels,
                    aIt.boot,
                    aIt.instance,
                    aIt.draining);
HYSSOPPADDLE_SCHEMA(work::Wave,
                    aIt.instances,
                    aIt.length,
                    aIt.maxAway,
                    aIt.startedAt,
                    aIt.started,
                    aIt.removed);
HYSSOPPADDLE_SCHEMA(work::SetSetup, aIt.setup);
HYSSOPPADDLE_SCHEMA(work::SubmitJob,
                    aIt.id,
                    aIt.queue,
                    aIt.workspace,
                    aIt.spec,
                    aIt.queueAddress);
HYSSOPPADDLE_ADDED_FIELDS(work::SubmitJob, 1);
HYSSOPPADDLE_SCHEMA(work::CancelJob, aIt.id);
HYSSOPPADDLE_SCHEMA(work::StartRun, aIt.task, aIt.run);
HYSSOPPADDLE_SCHEMA(work::EndRun,
                    aIt.task,
                    aIt.run,
                    aIt.upstream,
                    aIt.kind,
                    aIt.checkpoint);
HYSSOPPADDLE_SCHEMA(work::SetUpstream, aIt.id, aIt.upstream);
HYSSOPPADDLE_SCHEMA(work::RemoveUpstream, aIt.id, aIt.ended);
HYSSOPPADDLE_SCHEMA(work::EndedBoot, aIt.boot, aIt.at);
HYSSOPPADDLE_SCHEMA(work::StartWave, aIt.number, aIt.wave);
HYSSOPPADDLE_SCHEMA(work::AdvanceWave, aIt.number, aIt.instance, aIt.removed);
HYSSOPPADDLE_SCHEMA(work::OrderInstance, aIt.instance, aIt.holder, aIt.fence);
HYSSOPPADDLE_SCHEMA(work::SetEvacuation, aIt.dataCentre, aIt.requested, aIt.by);

template<>
struct TypeNumbers<work::Command>
{
  static constexpr std::array<std::uint16_t, 11> kNumbers{
    1,  // SetSetup
    2,  // SubmitJob
    3,  // CancelJob
    4,  // StartRun
    5,  // EndRun
    6,  // SetUpstream
    7,  // RemoveUpstream
    8,  // StartWave
    9,  // AdvanceWave
    10, // OrderInstance
    11, // SetEvacuation
  };
};

HYSSOPPADDLE_SCHEMA(work::InstanceOrder, aIt.holder, aIt.at);
HYSSOPPADDLE_SCHEMA(work::Withdrawal, aIt.at);
HYSSOPPADDLE_SCHEMA(work::Evacuation, aIt.since, aIt.by);
HYSSOPPADDLE_SCHEMA(work::Batch, aIt.stamp, aIt.commands);
HYSSOPPADDLE_SCHEMA(work::WorkTables,
                    aIt.now,
                    aIt.setup,
                    aIt.jobs,
                    aIt.upstreams,
                    aIt.endedBoots,
                    aIt.waves,
                    aIt.instanceOrders,
                    aIt.withdrawals,
                    aIt.evacuations);
HYSSOPPADDLE_ADDED_FIELDS(work::WorkTables, 3);

} // namespace hyssoppaddle::wire

#endif
