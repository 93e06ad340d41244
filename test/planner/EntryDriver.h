// Fake entry instances. They renew every second, and immediately when permits
// run short, start work only within their permits and return idle permits on
// recall.
#ifndef hyssoppaddle_test_planner_EntryDriver_h
#define hyssoppaddle_test_planner_EntryDriver_h

#include "FleetDriver.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace hyssoppaddle::test {

struct FakeEntry
{
  std::uint64_t boots = 0;
  bool up = true;
  std::uint64_t returnSequence = 0;      // sequence number of the last return
  std::map<TeamId, std::uint32_t> load;  // requests that want to run now
  std::map<TeamId, std::uint32_t> inUse; // running now
  std::map<TeamId, std::uint32_t> returned; // returns not yet applied
  Time lastRenewal{};
  bool renewalScheduled = false;
};

// Delay of an early renewal while work waits for permits.
inline constexpr Duration kEarlyRenewalDelay{ std::chrono::milliseconds(100) };

class EntryDriver
{
public:
  EntryDriver(FleetDriver& aFleet, std::size_t aCount)
    : fleet(aFleet)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      this->Start(index);
      this->Schedule(index, Duration(kSecond.count() * index / aCount));
    }
  }

  static InstanceId Name(std::size_t aIndex)
  {
    return InstanceId("entry" + std::to_string(aIndex));
  }

  void Start(std::size_t aIndex)
  {
    FakeEntry& entry = this->entries[aIndex];
    ++entry.boots;
    entry.up = true;
    entry.returnSequence = 0;
    entry.inUse.clear();
    entry.returned.clear();
    this->fleet.ApplyNow(
      state::RegisterEntry{ Name(aIndex), this->Boot(aIndex) });
  }

  void SetLoad(std::size_t aIndex, const TeamId& aTeam, std::uint32_t aLoad)
  {
    FakeEntry& entry = this->entries[aIndex];
    entry.load[aTeam] = aLoad;
    this->Update(aIndex);
    const std::uint32_t held = this->Held(aIndex, aTeam);
    if (entry.up && aLoad > held) {
      this->Renew(aIndex);
    }
  }

  // Starts as many requests as the permits allow, and ends those above the
  // load.
  void Update(std::size_t aIndex)
  {
    FakeEntry& entry = this->entries[aIndex];
    for (const auto& [team, load] : entry.load) {
      entry.inUse[team] = std::min(load, this->Held(aIndex, team));
    }
  }

  void UpdateAll()
  {
    for (auto& [index, entry] : this->entries) {
      this->Update(index);
    }
  }

  [[nodiscard]] std::uint32_t InUse(const TeamId& aTeam) const
  {
    std::uint32_t sum = 0;
    for (const auto& [index, entry] : this->entries) {
      const auto found = entry.inUse.find(aTeam);
      sum += found == entry.inUse.end() ? 0 : found->second;
    }
    return sum;
  }

  [[nodiscard]] std::uint32_t Held(std::size_t aIndex, const TeamId& aTeam)
  {
    const auto record = this->fleet.state.Entries().find(Name(aIndex));
    if (record == this->fleet.state.Entries().end()) {
      return 0;
    }
    const auto permits = record->second.permits.find(aTeam);
    const std::uint32_t granted =
      permits == record->second.permits.end() ? 0 : permits->second;
    const std::uint32_t pendingReturn = this->entries[aIndex].returned[aTeam];
    return granted > pendingReturn ? granted - pendingReturn : 0;
  }

  std::map<std::size_t, FakeEntry> entries;

private:
  [[nodiscard]] std::string Boot(std::size_t aIndex)
  {
    return "boot" + std::to_string(this->entries[aIndex].boots);
  }

  void Schedule(std::size_t aIndex, Duration aDelay)
  {
    this->fleet.After(aDelay, [this, aIndex]() {
      if (this->entries[aIndex].up) {
        this->Update(aIndex);
        this->Renew(aIndex);
      }
      this->Schedule(aIndex, kSecond);
    });
  }

  // The answer arrives a millisecond later and carries the recalls.
  void Renew(std::size_t aIndex)
  {
    FakeEntry& entry = this->entries[aIndex];
    entry.lastRenewal = this->fleet.now;
    bool isShort = false;
    planner::EntryRenewed renewal{ Name(aIndex), this->Boot(aIndex), {} };
    for (const auto& [team, load] : entry.load) {
      const std::uint32_t inUse = entry.inUse[team];
      if (load > 0 || this->Held(aIndex, team) > 0) {
        renewal.demand.push_back({ team, inUse, load - inUse });
      }
      isShort = isShort || load > inUse;
    }
    if (isShort && !entry.renewalScheduled) {
      entry.renewalScheduled = true;
      this->fleet.After(kEarlyRenewalDelay, [this, aIndex]() {
        this->entries[aIndex].renewalScheduled = false;
        if (this->entries[aIndex].up) {
          this->Update(aIndex);
          this->Renew(aIndex);
        }
      });
    }
    this->fleet.Step(renewal);
    const auto recalls = this->fleet.planner->Recalls(Name(aIndex));
    this->fleet.After(kMillisecond, [this, aIndex, recalls]() {
      for (const wire::TeamDemand& recall : recalls) {
        this->Return(aIndex, recall.team, recall.inUse);
      }
    });
  }

  // Requests are short, so permits in use become idle while they are recalled.
  void Return(std::size_t aIndex, const TeamId& aTeam, std::uint32_t aWanted)
  {
    FakeEntry& entry = this->entries[aIndex];
    const std::uint32_t count = std::min(aWanted, this->Held(aIndex, aTeam));
    if (count == 0) {
      return;
    }
    entry.returned[aTeam] += count;
    this->Update(aIndex);
    state::ReturnPermits body{ Name(aIndex), this->Boot(aIndex), aTeam, count };
    body.sequence = ++entry.returnSequence;
    this->fleet.After(3 * kMillisecond, [this, aIndex, aTeam, count, body]() {
      if (this->fleet.ApplyNow(body).Ok()) {
        this->entries[aIndex].returned[aTeam] -= count;
      }
    });
  }

  FleetDriver& fleet;
};

} // namespace hyssoppaddle::test

#endif
