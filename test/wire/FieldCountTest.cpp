// Checks that the Schema of each encoded struct lists all its fields.
#include "wire/Pack.h"
#include "wire/PeerSchema.h"
#include "wire/RecordSchema.h"

#include "support/Story.h"

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
Check(Story& aStory)
{
  aStory.Section(__PRETTY_FUNCTION__, [&] {
    EXPECT_EQUAL(aStory, std::size_t{ wire::kFieldCount<T> }, CountFields<T>());
  });
}

template<typename... Ts>
void
CheckAll(Story& aStory)
{
  (Check<Ts>(aStory), ...);
}

template<typename... Ts>
void
CheckAlternatives(Story& aStory, const std::variant<Ts...>& /*aVariant*/)
{
  CheckAll<Ts...>(aStory);
}

} // namespace

// Guards against a field that is added to a struct but not encoded: other
// replicas and restored snapshots would silently lose it.
Test(Schema, ListsEveryField)
{
  Story story;
  CheckAlternatives(story, state::CommandBody());
  CheckAlternatives(story, agreement::Message());
  CheckAlternatives(story, wire::PeerMessage());
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
           Error>(story);
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
           wire::UpstreamLiveness>(story);
}
