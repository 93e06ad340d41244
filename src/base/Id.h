// Strong string identifiers, so that a team cannot be passed where a pool is
// expected.
#ifndef hyssoppaddle_base_Id_h
#define hyssoppaddle_base_Id_h

#include <compare>
#include <string>
#include <string_view>
#include <utility>

namespace hyssoppaddle {

template<typename Tag>
struct Id
{
  std::string value;

  Id() = default;
  explicit Id(std::string aValue)
    : value(std::move(aValue))
  {
  }

  [[nodiscard]] bool empty() const { return this->value.empty(); }
  [[nodiscard]] std::string_view View() const { return this->value; }
  auto operator<=>(const Id&) const = default;
};

using InstanceId = Id<struct InstanceTag>;
using DataCentreId = Id<struct DataCentreTag>;
using RackId = Id<struct RackTag>;
using PoolId = Id<struct PoolTag>;
using ServiceId = Id<struct ServiceTag>;
using TeamId = Id<struct TeamTag>;
using MemberId = Id<struct MemberTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using JobId = Id<struct JobTag>;
using KeyId = Id<struct KeyTag>;
using WaveId = Id<struct WaveTag>;

} // namespace hyssoppaddle

#endif
