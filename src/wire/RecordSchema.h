// Encoding of the records in a snapshot.
#ifndef hyssoppaddle_wire_RecordSchema_h
#define hyssoppaddle_wire_RecordSchema_h

#include "state/OutcomeCache.h"
#include "state/Records.h"
#include "wire/CommandSchema.h"

namespace hyssoppaddle::wire {

HYSSOPPADDLE_LAST_VALUE(state::JobState, OutcomeUnknown);

HYSSOPPADDLE_SCHEMA(state::MemberRecord, aIt.acceptedAt);
HYSSOPPADDLE_SCHEMA(state::JoinRecord, aIt.proposedAt, aIt.approvals);
HYSSOPPADDLE_SCHEMA(state::BundleRecord,
                    aIt.content,
                    aIt.digest,
                    aIt.proposer,
                    aIt.proposedAt,
                    aIt.acceptedAt,
                    aIt.approvals,
                    aIt.bundle);
HYSSOPPADDLE_SCHEMA(state::KeyRecord,
                    aIt.role,
                    aIt.subject,
                    aIt.digest,
                    aIt.grantedAt,
                    aIt.withdrawnAt);
HYSSOPPADDLE_SCHEMA(state::ClaimKey, aIt.team, aIt.idempotencyKey);
HYSSOPPADDLE_SCHEMA(state::ClaimRecord,
                    aIt.requestDigest,
                    aIt.entry,
                    aIt.claimedAt,
                    aIt.state,
                    aIt.status,
                    aIt.attempt);
HYSSOPPADDLE_SCHEMA(state::TaskRecord,
                    aIt.instance,
                    aIt.boot,
                    aIt.epoch,
                    aIt.state,
                    aIt.placedAt,
                    aIt.leaseEnd,
                    aIt.lease,
                    aIt.charged,
                    aIt.usage,
                    aIt.requested);
HYSSOPPADDLE_SCHEMA(state::JobRecord,
                    aIt.team,
                    aIt.service,
                    aIt.pool,
                    aIt.workClass,
                    aIt.size,
                    aIt.slots,
                    aIt.runTime,
                    aIt.idempotent,
                    aIt.payload,
                    aIt.state,
                    aIt.submittedAt,
                    aIt.endedAt,
                    aIt.epoch,
                    aIt.task,
                    aIt.failedOn,
                    aIt.checkpointed,
                    aIt.cancelRequested,
                    aIt.reason);
HYSSOPPADDLE_SCHEMA(state::UpstreamRecord,
                    aIt.announcement,
                    aIt.changedAt,
                    aIt.servingSince,
                    aIt.state);
HYSSOPPADDLE_SCHEMA(state::InstanceRecord,
                    aIt.pool,
                    aIt.movingToPool,
                    aIt.homePool,
                    aIt.dataCentre,
                    aIt.rack,
                    aIt.capacity,
                    aIt.phase,
                    aIt.purpose,
                    aIt.since,
                    aIt.lastMaintainedAt,
                    aIt.bootIdAtStop,
                    aIt.requested,
                    aIt.requestedPool,
                    aIt.reason,
                    aIt.retired);
HYSSOPPADDLE_SCHEMA(state::WaveRecord,
                    aIt.state,
                    aIt.reason,
                    aIt.startedAt,
                    aIt.forecastEnd);
HYSSOPPADDLE_SCHEMA(state::EntryRecord,
                    aIt.boot,
                    aIt.registeredAt,
                    aIt.permits,
                    aIt.withheld,
                    aIt.withheldUntil,
                    aIt.earlierBoots,
                    aIt.lastReturnSequence);
HYSSOPPADDLE_SCHEMA(state::RequestKey, aIt.actor, aIt.requestId);
HYSSOPPADDLE_SCHEMA(state::CachedOutcome,
                    aIt.key,
                    aIt.at,
                    aIt.bodyDigest,
                    aIt.outcome);

} // namespace hyssoppaddle::wire

#endif
