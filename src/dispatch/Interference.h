// Pairs of kinds of tasks of which one slows down the other on the same
// upstream.
//
// Load pattern: tasks share more of an upstream than its cores and memory, so
// some kinds take longer beside certain others and beside no one else. Slow
// upstreams, tasks that are long by themselves and jobs with wrong estimates
// look alike when few runs are compared. The runs of a kind with and without
// the neighbour are compared by their order, not by their size, over many jobs
// and several upstreams.
#ifndef hyssoppaddle_dispatch_Interference_h
#define hyssoppaddle_dispatch_Interference_h

#include "dispatch/RunObservation.h"

#include <cstddef>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssoppaddle::dispatch {

// A pair that has become known, or is not known any more.
struct InterferenceChange
{
  std::string slowed;    // kind
  std::string neighbour; // kind beside which it is slowed
  bool isKnown = false;
  double slowdown = 1.0; // ratio of the medians with and without
  std::size_t with = 0;  // runs compared
  std::size_t without = 0;
};

class Interference
{
public:
  // Kinds that are compared with each other; runs of further ones are ignored
  // until one has not been seen for kRetention.
  static constexpr std::size_t kMaxKinds = 24;
  // Runs on each side of a comparison: the last ones, and at least this many
  // before there is a result.
  static constexpr std::size_t kWindow = 64;
  static constexpr std::size_t kMinRuns = 32;
  // Runs of one upstream among them, so that at least four upstreams agree.
  static constexpr std::size_t kMaxOfUpstream = kMinRuns / 4;
  // Smallest slowdown that counts.
  static constexpr double kMinSlowdown = 1.25;
  // A run is evidence for this long.
  static constexpr Duration kRetention = std::chrono::seconds(60);

  // Records a run that ended as done on an upstream that is not held slow. Of
  // the tasks of one step, one run counts on each side.
  void Add(const RunObservation& aObservation, Time aNow);

  // Compares the pairs that have new evidence, and drops old evidence. Returns
  // the changes since the last call, in the order of the kinds.
  std::vector<InterferenceChange> Review(Time aNow);

  // True when runs of aSlowed are known to take longer beside aNeighbour.
  [[nodiscard]] bool Slows(std::string_view aNeighbour,
                           std::string_view aSlowed) const;
  // True when both can share an upstream without slowing each other down.
  [[nodiscard]] bool AreCompatible(std::string_view aLeft,
                                   std::string_view aRight) const
  {
    return !this->Slows(aLeft, aRight) && !this->Slows(aRight, aLeft);
  }
  [[nodiscard]] bool IsEmpty() const { return this->known.empty(); }

private:
  struct Sample
  {
    double ratio = 1.0; // of the run time to the declared one
    work::TaskRef step; // index 0
    InstanceId upstream;
    Time at{};
  };
  using Samples = std::vector<Sample>; // in the order of time

  struct Pair
  {
    Samples with;
    Samples without;
    std::size_t added = 0; // since the last comparison
  };
  using PairKey = std::pair<std::string, std::string>; // slowed, neighbour

  static void AddSample(Samples& aSamples, const Sample& aSample);
  static void EraseOld(Samples& aSamples, Time aNow);
  // How certain it is that runs take longer with the neighbour, as the distance
  // of the rank sum from its mean in standard deviations.
  static double RankScore(const Pair& aPair);
  static double SlowdownOf(const Pair& aPair);
  void EraseUnseen(Time aNow);
  [[nodiscard]] bool Admit(const std::string& aKind, Time aNow);

  // Invariant: at most kMaxKinds kinds, and pairs of these only.
  std::map<std::string, Time> kinds; // last run, as the slowed or the neighbour
  std::map<PairKey, Pair> pairs;
  std::set<PairKey> known;
};

} // namespace hyssoppaddle::dispatch

#endif
