// Orders to the owner of the instances that are under way, and instances that
// are away.
#ifndef hyssoppaddle_dispatch_InstanceOwner_h
#define hyssoppaddle_dispatch_InstanceOwner_h

#include "dispatch/Instructions.h"
#include "dispatch/PoolBalance.h"

#include <map>
#include <string>

namespace hyssoppaddle::dispatch {

struct InstanceOwner
{
  struct OpenOrder
  {
    std::string instance;
    std::uint64_t wave = 0; // of a maintenance
    ServiceId pool;         // of a move
  };
  struct Arrival
  {
    ServiceId pool;
    Time since{};
  };

  // True when a list has come that is younger than anything ordered before.
  [[nodiscard]] bool HasFreshList(Time aNow) const
  {
    constexpr Duration kMaxListAge = std::chrono::seconds(1);
    return this->hasList && aNow - this->listedAt < kMaxListAge;
  }

  std::map<std::string, InstanceRow> instances; // as last listed
  std::map<std::string, InstanceRow> collected; // pages of the list under way
  std::string nextPage;
  std::uint64_t listToken = 0; // 0: none under way
  Time nextListAt{};
  Time listedAt{};
  bool hasList = false; // a whole list has come since this instance leads

  // Orders that are not yet on record, by instance.
  std::map<std::string, OpenOrder> proposedOrders;
  std::map<std::uint64_t, OpenOrder> orders; // sent, by token
  // Orders without an answer, by instance: they may have been carried out, so
  // they are sent again until an answer comes.
  std::map<std::string, OpenOrder> unconfirmed;
  std::map<std::string, Arrival> arrivals; // moves, until they announce
  std::map<std::string, Time>
    maintenanceStartedAt;              // maintenance, as known here
  std::map<std::string, Time> retryAt; // after a refused order
  // When a move ordered here ends; the list may still show it as under way.
  std::map<std::string, Time> moveEndsAt;
  PoolBalance balance;
  Time nextBalanceAt{};
};

} // namespace hyssoppaddle::dispatch

#endif
