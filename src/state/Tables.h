// All tables of the replicated state, for the snapshot codec and the command
// handler.
#ifndef hyssoppaddle_state_Tables_h
#define hyssoppaddle_state_Tables_h

#include "base/Time.h"
#include "state/BundleTable.h"
#include "state/ClaimTable.h"
#include "state/InstanceTable.h"
#include "state/JobTable.h"
#include "state/KeyTable.h"
#include "state/MemberTable.h"
#include "state/OutcomeCache.h"
#include "state/PermitTable.h"
#include "state/UpstreamTable.h"
#include "state/WaveTable.h"

namespace hyssoppaddle::state {

struct Tables
{
  WallTime now; // monotonic
  MemberTable members;
  BundleTable bundles;
  KeyTable keys;
  ClaimTable claims;
  JobTable jobs;
  UpstreamTable upstreams;
  InstanceTable instances;
  WaveTable waves;
  PermitTable permits;
  OutcomeCache outcomes;
};

} // namespace hyssoppaddle::state

#endif
