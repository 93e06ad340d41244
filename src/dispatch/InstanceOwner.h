// State of the communication with the owner of the instances: its list of
// instances, the orders sent to it, and instances that are moving or under
// maintenance.
#ifndef hyssoppaddle_dispatch_InstanceOwner_h
#define hyssoppaddle_dispatch_InstanceOwner_h

#include "dispatch/Instructions.h"
#include "dispatch/PoolBalance.h"

#include <map>
#include <set>
#include <string>

namespace hyssoppaddle::dispatch {

struct InstanceOwner
{
  struct OpenOrder
  {
    std::string instance;
    std::uint64_t wave = 0; // set for maintenance
    ServiceId pool;         // set for a move
  };
  // A boot that an order or its departure has probably ended.
  struct TakenDown
  {
    std::uint64_t boot = 0;
    Time until{}; // a boot that announces itself later has lived on
  };
  struct Arrival
  {
    ServiceId pool;
    Time since{};
  };

  // True when the last complete list is recent enough to show that an instance
  // no longer exists.
  [[nodiscard]] bool HasFreshList(Time aNow) const
  {
    constexpr Duration kMaxListAge = std::chrono::seconds(1);
    return this->hasList && aNow - this->listedAt < kMaxListAge;
  }

  std::map<std::string, InstanceRow> instances; // from the last complete list
  std::map<std::string, InstanceRow> collected; // pages of the list being read
  std::set<std::string> collectedPages;         // their tokens
  std::string nextPage;
  std::uint64_t listToken = 0; // 0: no request pending
  Time nextListAt{};
  Time listedAt{};
  // A complete list was received since this instance became the leader.
  bool hasList = false;

  // Orders that are not yet committed, by instance.
  std::map<std::string, OpenOrder> proposedOrders;
  std::map<std::uint64_t, OpenOrder> orders; // sent but not answered, by token
  // Orders that got no answer, by instance. They may have been carried out, so
  // they are sent again until an answer arrives.
  std::map<std::string, OpenOrder> unconfirmed;
  std::map<InstanceId, TakenDown> takenDown; // by upstream
  // Moves by instance, until the instance announces itself.
  std::map<std::string, Arrival> arrivals;
  // Start of the last maintenance, by instance, as observed by this leader.
  std::map<std::string, Time> maintenanceStartedAt;
  // Earliest time of the next order, by instance.
  std::map<std::string, Time> retryAt;
  // Expected end of each move that this leader ordered. The list may still show
  // the instance as moving.
  std::map<std::string, Time> moveEndsAt;
  PoolBalance balance;
  Time nextBalanceAt{};
  Time nextWaveCheckAt{};
};

} // namespace hyssoppaddle::dispatch

#endif
