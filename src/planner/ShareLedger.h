// Dominant resource fairness weighted by share: what each team used of the
// fleet over the share window, and who is furthest below its share.
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

// Fractions of the fleet's processors, memory and accelerators.
using Fractions = std::array<double, 3>;

class ShareLedger
{
public:
  void Reset(Time aNow);
  void SetWindow(Duration aWindow);
  // Sum over the instances that may run work; a zero resource is not counted.
  void SetCapacity(const state::Resources& aCapacity);
  void SetShare(const TeamId& aTeam, std::uint32_t aShare);
  void RemoveTeam(const TeamId& aTeam);

  // Adds to (or, with negative amounts, takes from) what the team holds now.
  void Charge(const TeamId& aTeam, const state::Resources& aAmount);
  // Corrects the window by an amount that was charged wrongly for aTime.
  void Correct(const TeamId& aTeam,
               const state::Resources& aAmount,
               Duration aTime);
  // What relayed requests of the team occupy now; replaces the last value.
  void SetRequests(const TeamId& aTeam, const state::Resources& aAmount);

  // Moves the window up to aNow.
  void Advance(Time aNow);

  // Dominant fraction used over the window, plus what the team holds now over
  // aHorizon more, per unit of share. Smaller values go first.
  [[nodiscard]] double Key(const TeamId& aTeam) const;
  // Dominant fraction held now.
  [[nodiscard]] double Held(const TeamId& aTeam) const;
  // Mean dominant fraction over the window.
  [[nodiscard]] double Used(const TeamId& aTeam) const;
  // Dominant fraction of the fleet that an amount is.
  [[nodiscard]] double FractionOf(const state::Resources& aAmount) const;
  [[nodiscard]] std::uint32_t ShareOf(const TeamId& aTeam) const;

private:
  static constexpr std::size_t kBuckets = 60;

  struct Account
  {
    std::uint32_t share = 1;
    state::Resources held;
    state::Resources requests;
    // Resource-seconds of each part of the window; `sum` is their total and
    // `open` the current part.
    std::array<Fractions, kBuckets> buckets{};
    Fractions sum{};
    Fractions open{};
  };

  [[nodiscard]] Fractions RateOf(const Account& aAccount) const;
  void CloseBucket();

  std::map<TeamId, Account> accounts;
  state::Resources capacity;
  Duration bucketLength{ 1000000 };
  Time bucketStart{};
  Time advancedTo{};
  std::size_t bucket = 0;
};

} // namespace hyssoppaddle::planner

#endif
