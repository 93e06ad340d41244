// Orders to the owner of the instances, its list of instances, and moves of
// instances between pools.
#include "dispatch/Dispatcher.h"
#include "dispatch/Text.h"

#include <algorithm>
#include <array>

namespace hyssoppaddle::dispatch {

namespace {

// The list changes through the dispatcher's own orders and through lost
// instances. The interval is short enough to notice an instance that has
// returned and long enough to cost little.
constexpr Duration kListInterval = seconds(2);
constexpr Duration kListRetry = milliseconds(500);
constexpr Duration kBalanceInterval = milliseconds(100);
// A moved instance that has not announced itself after this time is no longer
// counted as arriving.
constexpr Duration kArrivalTimeout = seconds(5);
// Delay before an instance is ordered again after its owner refused an order.
constexpr Duration kRefusedOrderDelay = seconds(2);
// Retry delay after an order for an instance that was still moving.
constexpr Duration kBusyRetryDelay = milliseconds(300);
// Added to the duration of a move before the instance may be ordered again.
constexpr Duration kMoveMargin = milliseconds(100);
// Retry delay of an order that was not answered.
constexpr Duration kUnansweredRetryDelay = milliseconds(400);

} // namespace

void
Dispatcher::AskForInstances()
{
  if (this->owner.listToken != 0 || this->now < this->owner.nextListAt) {
    return;
  }
  ListInstances ask;
  ask.token = ++this->lastToken;
  ask.page = this->owner.nextPage;
  this->owner.listToken = ask.token;
  this->output.instructions.emplace_back(std::move(ask));
}

void
Dispatcher::On(const InstanceList& aAnswer)
{
  if (aAnswer.token != this->owner.listToken) {
    return;
  }
  this->owner.listToken = 0;
  // Pages that follow each other in a circle never end.
  const bool isCircle =
    !aAnswer.nextPage.empty() &&
    !this->owner.collectedPages.insert(aAnswer.nextPage).second;
  if (!aAnswer.answered || isCircle) {
    this->owner.nextListAt = this->now + kListRetry;
    this->owner.collected.clear();
    this->owner.collectedPages.clear();
    this->owner.nextPage.clear();
    return;
  }
  for (const InstanceRow& row : aAnswer.rows) {
    // A later row of the same instance is not its own.
    this->owner.collected.try_emplace(row.instance, row);
  }
  this->owner.nextPage = aAnswer.nextPage;
  if (!aAnswer.nextPage.empty()) {
    this->owner.nextListAt = this->now;
    return;
  }
  this->owner.instances = std::exchange(this->owner.collected, {});
  this->owner.collectedPages.clear();
  this->owner.hasList = true;
  this->fleetChanged = true;
  this->owner.listedAt = this->now;
  this->owner.nextListAt = this->now + kListInterval;
}

bool
Dispatcher::IsOrdered(const std::string& aInstance) const
{
  return this->owner.proposedOrders.contains(aInstance) ||
         std::any_of(this->owner.orders.begin(),
                     this->owner.orders.end(),
                     [&](const auto& aItem) {
                       return aItem.second.instance == aInstance;
                     });
}

// The instances of a standby pool run no upstream, so they never announce
// themselves.
bool
Dispatcher::IsStandby(const ServiceId& aService) const
{
  const auto& services = this->state.CurrentSetup().services;
  return std::any_of(
    services.begin(), services.end(), [&](const work::Service& aItem) {
      return aItem.name == aService && aItem.standby;
    });
}

// The list can be seconds old, so an instance that it shows as moving counts as
// up once a move ordered by this leader must have ended.
bool
Dispatcher::IsUp(const InstanceRow& aRow) const
{
  const auto moved = this->owner.moveEndsAt.find(aRow.instance);
  return aRow.phase == InstancePhase::Up ||
         (aRow.phase == InstancePhase::Moving &&
          moved != this->owner.moveEndsAt.end() && this->now >= moved->second);
}

// True when the instance has no pending order, is not arriving anywhere and was
// not refused recently.
bool
Dispatcher::IsFree(const std::string& aInstance) const
{
  const auto next = this->owner.retryAt.find(aInstance);
  return !this->IsOrdered(aInstance) && this->MayOrder(aInstance) &&
         !this->owner.unconfirmed.contains(aInstance) &&
         !this->owner.arrivals.contains(aInstance) &&
         (next == this->owner.retryAt.end() || this->now >= next->second);
}

void
Dispatcher::BalancePools()
{
  if (!this->options.hasInstanceOwner) {
    return;
  }
  this->AskForInstances();
  this->ResendUnconfirmed();
  std::erase_if(this->owner.arrivals, [this](const auto& aItem) {
    return this->now - aItem.second.since > kArrivalTimeout;
  });
  if (!this->owner.hasList || this->now < this->owner.nextBalanceAt) {
    return;
  }
  this->owner.nextBalanceAt = this->now + kBalanceInterval;
  this->MeasurePools();
  this->ObserveTurns(this->recentPools);
  for (const PoolMove& move :
       this->owner.balance.PlanMoves(this->recentPools, this->now)) {
    this->OrderMove(move);
  }
}

void
Dispatcher::ObserveTurns(std::span<const PoolLoad> aPools)
{
  std::vector<ServiceDemand> demands;
  for (const PoolLoad& pool : aPools) {
    if (!pool.standby) {
      demands.push_back({ pool.service,
                          this->forecast.RecentCores(pool.service, this->now),
                          pool.runningCores });
    }
  }
  this->turns.Observe(demands, this->now);
}

bool
Dispatcher::HasRuns(const std::string& aInstance) const
{
  return std::any_of(
    this->sessions.begin(), this->sessions.end(), [&](const auto& aItem) {
      return aItem.second.record.instance == aInstance &&
             !aItem.second.runs.empty();
    });
}

void
Dispatcher::ResendUnconfirmed()
{
  std::vector<InstanceOwner::OpenOrder> due;
  for (const auto& [instance, order] : this->owner.unconfirmed) {
    if (!this->IsOrdered(instance) && this->MayOrder(instance) &&
        this->now >= this->owner.retryAt[instance] &&
        !this->HasRuns(instance)) {
      due.push_back(order);
    }
  }
  for (const InstanceOwner::OpenOrder& order : due) {
    if (order.pool.empty()) {
      this->OrderMaintenance(order.wave, order.instance);
    } else {
      this->OrderMove({ order.instance, order.pool });
    }
  }
}

void
Dispatcher::OrderMove(const PoolMove& aMove)
{
  for (auto& [id, session] : this->sessions) {
    if (session.record.instance == aMove.instance &&
        session.record.service != aMove.to) {
      session.evacuating = true; // prevents new starts on it
      session.evacuatingSince = this->now;
    }
  }
  if (!this->IsStandby(aMove.to)) {
    this->owner.arrivals[aMove.instance] = { aMove.to, this->now };
  }
  this->ProposeOrder({ aMove.instance, 0, aMove.to });
}

void
Dispatcher::OrderMaintenance(std::uint64_t aWave, const std::string& aInstance)
{
  this->ProposeOrder({ aInstance, aWave, {} });
}

void
Dispatcher::ProposeOrder(InstanceOwner::OpenOrder aOrder)
{
  this->output.commands.emplace_back(work::OrderInstance{
    aOrder.instance, InstanceId(this->options.self), this->term });
  this->owner.proposedOrders[aOrder.instance] = std::move(aOrder);
}

// False while an order of an earlier leader may be younger than the lease.
bool
Dispatcher::MayOrder(const std::string& aInstance) const
{
  const auto& recorded = this->state.Tables().instanceOrders;
  const auto last = recorded.find(aInstance);
  return this->history.MayOrder(aInstance,
                                last == recorded.end() ? nullptr
                                                       : &last->second,
                                InstanceId(this->options.self),
                                this->options.orderLease + kDeposedLeaderWindow,
                                this->now,
                                this->wall);
}

void
Dispatcher::On(const work::OrderInstance& aCommand, work::Verdict /*aVerdict*/)
{
  const auto found = this->owner.proposedOrders.find(aCommand.instance);
  if (found == this->owner.proposedOrders.end() ||
      aCommand.fence != this->term) {
    return;
  }
  const InstanceOwner::OpenOrder order = std::move(found->second);
  this->owner.proposedOrders.erase(found);
  const std::uint64_t token = ++this->lastToken;
  if (order.pool.empty()) {
    this->output.instructions.emplace_back(
      MaintainInstance{ token, order.instance, order.wave, this->term });
  } else {
    this->output.instructions.emplace_back(
      MoveInstance{ token, order.instance, order.pool, this->term });
  }
  this->owner.orders[token] = order;
}

void
Dispatcher::On(const InstanceAnswer& aAnswer)
{
  const auto found = this->owner.orders.find(aAnswer.token);
  if (found == this->owner.orders.end()) {
    return;
  }
  const InstanceOwner::OpenOrder order = found->second;
  this->owner.orders.erase(found);
  constexpr std::array<std::string_view, 5> kNames{
    "done", "busy", "refused", "throttled", "no answer"
  };
  const bool isMove = !order.pool.empty();
  this->LogDecision(
    isMove ? "move_ordered" : "maintenance_ordered",
    {},
    { { "instance", order.instance },
      { "pool", order.pool.value },
      { "wave", Text(order.wave) },
      { "fence", Text(this->term) },
      { "result",
        std::string(kNames[static_cast<std::size_t>(aAnswer.result)]) } });
  if (aAnswer.result == InstanceResult::Done) {
    this->owner.unconfirmed.erase(order.instance);
    this->OnInstanceOrderDone(order);
    return;
  }
  const bool again = aAnswer.result == InstanceResult::NoAnswer ||
                     (aAnswer.result == InstanceResult::Throttled &&
                      this->owner.unconfirmed.contains(order.instance));
  this->owner.retryAt[order.instance] =
    this->now + (again ? kUnansweredRetryDelay
                 : aAnswer.result == InstanceResult::Busy ? kBusyRetryDelay
                                                          : kRefusedOrderDelay);
  if (again) {
    this->owner.unconfirmed[order.instance] = order;
    return;
  }
  this->owner.unconfirmed.erase(order.instance);
  if (isMove) {
    this->owner.arrivals.erase(order.instance);
    this->CancelEvacuation(order.instance);
  } else if (aAnswer.result == InstanceResult::Refused) {
    this->CancelEvacuation(order.instance);
    this->output.commands.emplace_back(
      work::AdvanceWave{ order.wave, order.instance, true });
  }
}

// The owner also answers with Done when the order was carried out before, so
// the boot that is recorded now may live on. It has no runs, because instances
// are ordered only when they are empty.
void
Dispatcher::OnInstanceOrderDone(const InstanceOwner::OpenOrder& aOrder)
{
  const Duration away = aOrder.pool.empty() ? this->options.maintenanceTime
                                            : this->options.moveTime;
  for (auto& [id, session] : this->sessions) {
    if (session.record.instance != aOrder.instance || !session.evacuating) {
      continue;
    }
    if (session.runs.empty()) {
      this->owner.takenDown[id] = { session.record.boot, this->now + away };
      this->output.commands.emplace_back(work::RemoveUpstream{ id, false });
    } else {
      session.evacuating = false;
    }
  }
  const auto listed = this->owner.instances.find(aOrder.instance);
  if (aOrder.pool.empty()) {
    this->owner.maintenanceStartedAt[aOrder.instance] = this->now;
    this->output.commands.emplace_back(
      work::AdvanceWave{ aOrder.wave, aOrder.instance, false });
    if (listed != this->owner.instances.end()) {
      listed->second.phase = InstancePhase::Maintenance;
    }
    return;
  }
  if (!this->IsStandby(aOrder.pool)) {
    this->owner.arrivals[aOrder.instance] = { aOrder.pool, this->now };
  }
  this->owner.moveEndsAt[aOrder.instance] =
    this->now + this->options.moveTime + kMoveMargin;
  if (listed != this->owner.instances.end()) {
    listed->second.phase = InstancePhase::Moving;
    listed->second.pool = aOrder.pool;
  }
}

void
Dispatcher::CancelEvacuation(const std::string& aInstance)
{
  for (auto& [id, session] : this->sessions) {
    if (session.record.instance == aInstance) {
      session.evacuating = false;
      this->dirtyServices.insert(session.record.service);
    }
  }
}

} // namespace hyssoppaddle::dispatch
