// Checks that the Schema of each encoded struct lists all its fields.
#include "wire/Pack.h"
#include "wire/PeerSchema.h"
#include "wire/RecordSchema.h"

#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

// Converts to any type, so that aggregate initialisation can count the fields.
struct AnyField
{
  template<typename T>
  operator T() const;
};

template<typename T, typename... Fields>
constexpr std::size_t
CountFields()
{
  if constexpr (requires { T{ Fields{}..., AnyField{} }; }) {
    return CountFields<T, Fields..., AnyField>();
  } else {
    return sizeof...(Fields);
  }
}

template<typename T>
void
Check(TestTrace& aTrace)
{
  aTrace.Section(__PRETTY_FUNCTION__, [&] {
    EXPECT_EQUAL(aTrace, std::size_t{ wire::kFieldCount<T> }, CountFields<T>());
  });
}

template<typename... Ts>
void
CheckAll(TestTrace& aTrace)
{
  (Check<Ts>(aTrace), ...);
}

template<typename... Ts>
void
CheckAlternatives(TestTrace& aTrace, const std::variant<Ts...>& /*aVariant*/)
{
  CheckAll<Ts...>(aTrace);
}

} // namespace

// Guards against a field that is added to a struct but not encoded: other
// replicas and restored snapshots would silently lose it.
Test(Schema, ListsEveryField)
{
  TestTrace trace;
  CheckAlternatives(trace, state::CommandBody());
  CheckAlternatives(trace, agreement::Message());
  CheckAlternatives(trace, wire::PeerMessage());
  CheckAll<state::Resources,
           state::DataCentreSpec,
           state::InstanceSpec,
           state::PoolSpec,
           state::WorkspaceSpec,
           state::TeamSpec,
           state::ServiceSpec,
           state::PolicySpec,
           state::Bundle,
           state::TaskReport,
           state::Announcement,
           state::Command,
           state::Outcome,
           state::ClaimOutcome,
           Error>(trace);
  CheckAll<state::MemberRecord,
           state::JoinRecord,
           state::BundleRecord,
           state::KeyRecord,
           state::ClaimKey,
           state::ClaimRecord,
           state::TaskRecord,
           state::JobRecord,
           state::UpstreamRecord,
           state::InstanceRecord,
           state::WaveRecord,
           state::EntryRecord,
           state::CachedOutcome,
           agreement::LogEntry,
           agreement::Configuration,
           agreement::SnapshotMeta,
           wire::TeamDemand,
           wire::UpstreamLiveness>(trace);
}
