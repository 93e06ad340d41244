// Index of the services in which each team has queued requests. A permit that
// becomes free is offered only to these services, in the order of ClassOrder:
// by urgency, with starvation protection.
#ifndef hyssoppaddle_request_TeamBacklog_h
#define hyssoppaddle_request_TeamBacklog_h

#include "base/Id.h"
#include "request/ClassOrder.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace hyssoppaddle::request {

class TeamBacklog
{
public:
  void OnWaiting(const TeamId& aTeam,
                 const ServiceId& aService,
                 state::WorkClass aClass,
                 Time aNow);
  // A request of the team left the queue of the service; aServed: it was
  // started.
  void OnLeft(const TeamId& aTeam,
              const ServiceId& aService,
              state::WorkClass aClass,
              bool aServed,
              Time aNow);

  // Services to which a permit of the team is offered, in order.
  [[nodiscard]] std::vector<ServiceId> Services(const TeamId& aTeam,
                                                Time aNow) const;
  [[nodiscard]] std::uint32_t WaitingCount(const TeamId& aTeam) const;
  // Number of queued requests per team over all services.
  [[nodiscard]] std::map<TeamId, std::uint32_t> WaitingCounts() const;
  // Teams with queued requests in any service.
  [[nodiscard]] std::vector<TeamId> Teams() const;

private:
  struct Team
  {
    std::uint32_t waiting = 0;
    ClassOrder order;
    std::array<std::map<ServiceId, std::uint32_t>, kClassCount> classes;
  };

  std::map<TeamId, Team> teams; // only teams with queued requests
};

} // namespace hyssoppaddle::request

#endif
