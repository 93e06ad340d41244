// Dominant resource fairness weighted by share: records what each team used of
// the fleet over the share window, and orders the teams by their deficit.
#ifndef hyssoppaddle_planner_ShareLedger_h
#define hyssoppaddle_planner_ShareLedger_h

#include "base/Id.h"
#include "base/Time.h"
#include "state/Resources.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace hyssoppaddle::planner {

// Fractions of the fleet's processors, memory and accelerators, in this order.
using Fractions = std::array<double, 3>;

class ShareLedger
{
public:
  void Reset(Time aNow);
  void SetWindow(Duration aWindow);
  // Sets the total capacity of the instances that accept work. A resource with
  // capacity zero is not counted.
  void SetCapacity(const state::Resources& aCapacity);
  void SetShare(const TeamId& aTeam, std::uint32_t aShare);
  void RemoveTeam(const TeamId& aTeam);

  // Adds an amount, which may be negative, to what the team holds now.
  void Charge(const TeamId& aTeam, const state::Resources& aAmount);
  // Corrects the window for an amount by which the charge was wrong during
  // aPeriod.
  void Correct(const TeamId& aTeam,
               const state::Resources& aAmount,
               Duration aPeriod);
  // Sets what relayed requests of the team occupy now. Replaces the previous
  // value.
  void SetRequests(const TeamId& aTeam, const state::Resources& aAmount);

  // Advances the window to aNow.
  void Advance(Time aNow);

  // Dominant fraction per unit of share: the use over the window plus what the
  // team holds now, counted for kHorizonSeconds more. Teams with smaller values
  // go first.
  [[nodiscard]] double PriorityKey(const TeamId& aTeam) const;
  // Dominant fraction that the team holds now.
  [[nodiscard]] double HeldFraction(const TeamId& aTeam) const;
  // Mean dominant fraction over the window.
  [[nodiscard]] double UsedFraction(const TeamId& aTeam) const;
  // Dominant fraction of the fleet that the amount represents.
  [[nodiscard]] double FractionOf(const state::Resources& aAmount) const;
  [[nodiscard]] std::uint32_t ShareOf(const TeamId& aTeam) const;

private:
  static constexpr std::size_t kBuckets = 60;

  struct Account
  {
    std::uint32_t share = 1;
    state::Resources held;
    state::Resources requests;
    // Fraction-seconds per bucket of the window. `sum` is the total over the
    // closed buckets, and `current` is the bucket in progress.
    std::array<Fractions, kBuckets> buckets{};
    Fractions sum{};
    Fractions current{};
  };

  [[nodiscard]] Fractions RateOf(const Account& aAccount) const;
  void CloseBucket();

  std::map<TeamId, Account> accounts;
  state::Resources capacity;
  Duration bucketLength{ std::chrono::seconds(1) };
  Time bucketStart{};
  Time advancedTo{};
  std::size_t bucket = 0;
};

} // namespace hyssoppaddle::planner

#endif
