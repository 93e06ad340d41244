// Decoded records of a snapshot before they are loaded into tables, and the
// consistency checks that the tables depend on.
#ifndef hyssoppaddle_wire_SnapshotCheck_h
#define hyssoppaddle_wire_SnapshotCheck_h

#include "state/OutcomeCache.h"
#include "state/Records.h"

#include <deque>
#include <map>
#include <string>

namespace hyssoppaddle::wire {

struct SnapshotRecords
{
  std::map<MemberId, state::MemberRecord> members;
  std::map<MemberId, state::JoinRecord> joins;
  std::map<std::uint64_t, state::BundleRecord> bundles;
  std::map<KeyId, state::KeyRecord> keys;
  std::map<state::ClaimKey, state::ClaimRecord> claims;
  std::map<JobId, state::JobRecord> jobs;
  std::map<InstanceId, state::UpstreamRecord> upstreams;
  std::map<InstanceId, state::InstanceRecord> instances;
  std::map<WaveId, state::WaveRecord> waves;
  std::map<InstanceId, state::EntryRecord> entries;
  std::deque<state::CachedOutcome> outcomes;
};

// Describes the first inconsistency found; empty if there is none.
std::string
ProblemOf(const SnapshotRecords& aRecords);

} // namespace hyssoppaddle::wire

#endif
