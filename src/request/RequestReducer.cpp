// Dispatches each event to the engine.
#include "request/RequestReducer.h"

#include "request/Engine.h"

namespace hyssoppaddle::request {

struct RequestReducer::Impl
{
  Engine engine;
};

RequestReducer::RequestReducer(RequestOptions aOptions,
                               const state::FleetState& aView)
  : impl(std::make_unique<Impl>(Impl{ Engine(std::move(aOptions), aView) }))
{
}

RequestReducer::~RequestReducer() = default;
RequestReducer::RequestReducer(RequestReducer&&) noexcept = default;
RequestReducer&
RequestReducer::operator=(RequestReducer&&) noexcept = default;

Effects
RequestReducer::Step(const Event& aEvent, Time aNow, WallTime aWallNow)
{
  Engine& engine = this->impl->engine;
  engine.BeginStep(aNow, aWallNow);
  std::visit([&](const auto& aConcrete) { engine.On(aConcrete); }, aEvent);
  return engine.EndStep();
}

void
RequestReducer::StopAdmission()
{
  this->impl->engine.StopAdmission();
}

std::size_t
RequestReducer::Active() const
{
  return this->impl->engine.Active();
}

std::vector<wire::TeamDemand>
RequestReducer::Demand() const
{
  return this->impl->engine.Demand();
}

const RequestCounters&
RequestReducer::Counters() const
{
  return this->impl->engine.Counters();
}

bool
RequestReducer::IsViewFresh(Time aNow) const
{
  return this->impl->engine.IsViewFresh(aNow);
}

std::vector<std::string>
RequestReducer::ExplainTeam(const TeamId& aTeam, Time aNow) const
{
  return this->impl->engine.ExplainTeam(aTeam, aNow);
}

std::vector<std::string>
RequestReducer::ExplainUpstream(const InstanceId& aUpstream, Time aNow) const
{
  return this->impl->engine.ExplainUpstream(aUpstream, aNow);
}

} // namespace hyssoppaddle::request
