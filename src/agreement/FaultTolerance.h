// The losses that a cluster must survive without losing committed entries, and
// the number of voters that this needs.
#ifndef hyssoppaddle_agreement_FaultTolerance_h
#define hyssoppaddle_agreement_FaultTolerance_h

#include <cstddef>

namespace hyssoppaddle::agreement {

struct FaultTolerance
{
  // Instances that may lose their disks at the same time.
  std::size_t instances = 1;
  // Data centres that may be lost at the same time, and how many there are.
  std::size_t dataCentres = 0;
  std::size_t dataCentreCount = 1;

  // True if aVoters voters, spread evenly over the data centres, still have a
  // majority with intact disks after any tolerated loss.
  [[nodiscard]] bool IsMetBy(std::size_t aVoters) const;

  // The same for aVoters voters less one, whichever it is: it may leave the
  // data centre with the most voters as it is.
  [[nodiscard]] bool IsMetWithoutAnyOneOf(std::size_t aVoters) const;

  bool operator==(const FaultTolerance&) const = default;

private:
  [[nodiscard]] std::size_t MostLost(std::size_t aVoters) const;
};

} // namespace hyssoppaddle::agreement

#endif
