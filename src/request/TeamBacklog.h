// Services in which each team has waiting requests, so that a permit that falls
// free is offered only there, the urgent class first and none starving.
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
  // One request of the team stopped waiting there; aServed: it was started.
  void OnLeft(const TeamId& aTeam,
              const ServiceId& aService,
              state::WorkClass aClass,
              bool aServed,
              Time aNow);

  // Services to offer a permit of the team to, in order.
  [[nodiscard]] std::vector<ServiceId> Services(const TeamId& aTeam,
                                                Time aNow) const;
  [[nodiscard]] std::uint32_t Waiting(const TeamId& aTeam) const;
  // Waiting requests per team, over all services.
  [[nodiscard]] std::map<TeamId, std::uint32_t> All() const;
  // Teams that wait anywhere.
  [[nodiscard]] std::vector<TeamId> Teams() const;

private:
  struct Team
  {
    std::uint32_t waiting = 0;
    ClassOrder order;
    std::array<std::map<ServiceId, std::uint32_t>, kClasses> classes;
  };

  std::map<TeamId, Team> teams; // only those with waiting requests
};

} // namespace hyssoppaddle::request

#endif
