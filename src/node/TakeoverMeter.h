// Times the steps of a change of the leader on the node that takes over: the
// loss is noticed, this node is elected, it has applied the log, upstreams
// confirm its fencing token, and the first task is started.
#ifndef hyssoppaddle_node_TakeoverMeter_h
#define hyssoppaddle_node_TakeoverMeter_h

#include "base/Time.h"
#include "dispatch/Decision.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace hyssoppaddle::node {

enum class TakeoverStep : std::uint8_t
{
  Elected,       // by a majority of the voters
  Ready,         // the log is applied, calls are handled
  FirstUpstream, // confirmed the fencing token
  FirstStart,    // was sent to an upstream
  AllUpstreams,  // that were recorded at the election have confirmed
  Count,
};

class TakeoverMeter
{
public:
  static constexpr std::size_t kSteps =
    static_cast<std::size_t>(TakeoverStep::Count);

  // Called when this node no longer knows a leader, and at its start.
  void OnLeaderLost(Time aNow);
  // Each step counts once for each term.
  void OnElected(Time aNow);
  void OnStep(TakeoverStep aStep, Time aNow);
  void OnUpstreams(std::size_t aConfirmed, std::size_t aTotal, Time aNow);
  // True between the election and the report.
  [[nodiscard]] bool IsMeasuring() const { return this->isMeasuring; }

  // The report of a takeover: once, when all upstreams have confirmed, a few
  // seconds after the election, or when aLeads is false.
  [[nodiscard]] std::optional<dispatch::Decision> TakeReport(bool aLeads,
                                                             Time aNow);

  // From the loss to the step in the last takeover of this node; empty if the
  // step was not reached.
  [[nodiscard]] std::optional<Duration> TimeTo(TakeoverStep aStep) const;
  [[nodiscard]] static std::string_view NameOf(TakeoverStep aStep);

private:
  Time lostAt{};
  bool isMeasuring = false;
  Time begunAt{}; // value of lostAt at the last election
  Time electedAt{};
  std::array<std::optional<Time>, kSteps> reachedAt;
  std::size_t confirmed = 0;
  std::size_t upstreams = 0;
};

} // namespace hyssoppaddle::node

#endif
