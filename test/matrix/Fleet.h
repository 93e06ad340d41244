// A simulated fleet with real reducers: four entry instances (three voters, one
// learner), six upstreams, a virtual clock and an event queue. Everything that
// an outside observer can see is recorded in Observations.
#ifndef hyssoppaddle_test_matrix_Fleet_h
#define hyssoppaddle_test_matrix_Fleet_h

#include "base/Random.h"
#include "core/Reducer.h"
#include "matrix/FakeReplicaDisk.h"
#include "matrix/Observations.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hyssoppaddle::test {

struct EntryNode
{
  InstanceId name;
  DataCentreId dataCentre;
  bool voter = false;
  std::unique_ptr<core::Reducer> reducer; // null while it is down
  FakeReplicaDisk disk;
  // Increases with each start and kill. Events for earlier incarnations are
  // dropped.
  std::uint64_t incarnation = 0;
  bool paused = false;
  std::vector<std::function<void()>> deferredEvents;
};

// A request or task that is running at an upstream.
struct RunningWork
{
  TeamId team;
  bool isTask = false;
  std::uint64_t epoch = 0;
  state::TaskState state = state::TaskState::Running;
};

struct UpstreamNode
{
  InstanceId name;
  PoolId pool;
  ServiceId service;
  DataCentreId dataCentre;
  RackId rack;
  bool up = true;
  Time downSince;
  bool failsEverything = false;
  bool departing = false;
  std::uint64_t boot = 1;
  std::uint64_t sequence = 0;
  std::size_t entry = 0; // index of the entry instance it announces itself to
  std::map<std::string, RunningWork> work; // by request or job name
  // Reports of ended tasks; announcements repeat them until this boot ends.
  std::vector<state::TaskReport> reports;
};

class Fleet
{
public:
  explicit Fleet(std::uint64_t aSeed);
  ~Fleet();

  // Starts all instances and accepts the first member, bundle and key.
  void SetUp();

  void RunFor(Duration aTime);
  [[nodiscard]] Time Now() const;
  Random& RandomSource();

  // Fault injection.
  void Kill(std::size_t aEntry);
  void Start(std::size_t aEntry);
  void EraseDisk(std::size_t aEntry);
  void Pause(std::size_t aEntry);
  void Resume(std::size_t aEntry);
  void CutLink(std::size_t aFrom, std::size_t aTo); // one way
  void Isolate(std::size_t aEntry);
  void HealNetwork();
  void KillUpstream(std::size_t aUpstream);
  void StartUpstream(std::size_t aUpstream);
  void LoseAnswers(bool aLose); // to operators' commands, after the decision
  void DuplicateMessages(bool aDuplicate);
  void HealAll();

  [[nodiscard]] std::optional<std::size_t> Leader() const;
  // Index of a random entry instance that is up and is not aOther.
  [[nodiscard]] std::size_t AnyEntry(std::optional<std::size_t> aOther = {});

  // Sends a command of an operator through a random entry instance, and resends
  // it every second until it is decided.
  void Command(state::Command aCommand,
               std::function<void(const state::Outcome&)> aDone = {});
  // Sends a request of a caller to an entry instance.
  void Request(std::size_t aEntry, CallerRequest aRequest);

  [[nodiscard]] const state::FleetState& View(std::size_t aEntry) const;
  [[nodiscard]] bool IsUp(std::size_t aEntry) const;
  [[nodiscard]] UpstreamNode& Upstream(std::size_t aIndex);
  Observations& Observed();
  [[nodiscard]] std::size_t DecisionLineCount() const;

  // Command that proposes a bundle for this fleet, with aLimit for team "t1".
  [[nodiscard]] static state::Command Bundle(std::uint64_t aVersion,
                                             std::uint32_t aLimit);

  static constexpr std::size_t kEntries = 4;
  static constexpr std::size_t kUpstreams = 6;

private:
  struct Attempt
  {
    std::string request;
    std::size_t entry = 0;
    std::uint64_t incarnation = 0;
    request::RequestNumber number = 0;
    request::AttemptNumber attempt = 0;
    std::size_t upstream = 0;
    std::uint64_t boot = 0;
  };

  Time now;
  Random random;
  std::uint64_t nextEventNumber = 0;
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> eventQueue;
  std::vector<EntryNode> entries;
  std::vector<UpstreamNode> upstreams;
  std::set<std::pair<std::size_t, std::size_t>> cutLinks;
  bool loseAnswers = false;
  bool duplicateMessages = false;
  std::uint64_t nextToken = 1;
  std::uint64_t nextRequest = 1;
  std::map<std::uint64_t, std::function<void(const core::CommandDecided&)>>
    commands;
  std::map<std::uint64_t, std::function<void(const core::AnswerAnnouncement&)>>
    announcements;
  // Names of the requests that have arrived at an entry instance, by number.
  std::map<request::RequestNumber, std::string> requestNames;
  std::set<std::pair<request::RequestNumber, request::AttemptNumber>> abandoned;
  Observations observations;
  std::size_t decisionLineCount = 0;
  std::uint64_t nextCommand = 1;

  void Schedule(Duration aDelay, std::function<void()> aAction);
  [[nodiscard]] WallTime WallNow() const;
  void Deliver(std::size_t aEntry,
               std::uint64_t aIncarnation,
               core::Event aEvent);
  void Run(std::size_t aEntry, core::Effects aEffects);
  void TickEntry(std::size_t aEntry, std::uint64_t aIncarnation);
  [[nodiscard]] std::size_t IndexOf(const InstanceId& aEntry) const;
  [[nodiscard]] std::optional<std::size_t> UpstreamIndex(
    const InstanceId& aName) const;

  void On(std::size_t aEntry, core::SendPeer& aEffect);
  void On(std::size_t aEntry, core::WriteStorage& aEffect);
  void On(std::size_t aEntry, core::SaveSnapshot& aEffect);
  void On(std::size_t aEntry, core::CommandDecided& aEffect);
  void On(std::size_t aEntry, core::ReadDecided& aEffect);
  void On(std::size_t aEntry, core::AnswerAnnouncement& aEffect);
  void On(std::size_t aEntry, core::DeliverInstruction& aEffect);
  void On(std::size_t aEntry, core::LeaderChanged& aEffect);
  void On(std::size_t aEntry, request::Effect& aEffect);
  void On(std::size_t aEntry, planner::LogDecision& aEffect);

  void StartAttempt(std::size_t aEntry, const request::StartAttempt& aStart);
  void Execute(const Attempt& aAttempt);
  void Finish(const Attempt& aAttempt);
  void Announce(std::size_t aUpstream);
  void AnnouncePeriodically(std::size_t aUpstream, std::uint64_t aBoot);
  void HandleInstruction(std::size_t aUpstream,
                         const planner::Instruction& aInstruction);
  void StartTask(std::size_t aUpstream,
                 const planner::Instruction& aInstruction);
  void StopTask(std::size_t aUpstream,
                const planner::Instruction& aInstruction);
  void EndTask(std::size_t aUpstream,
               const std::string& aJob,
               state::TaskState aState);
  void Drain(std::size_t aUpstream);
  void Reboot(std::size_t aUpstream);
  void ObserveBundles();
  void ObservePools(const EntryNode& aNode);
  void SendCommand(const state::Command& aCommand,
                   const std::shared_ptr<bool>& aDecided,
                   const std::function<void(const state::Outcome&)>& aDone);
};

} // namespace hyssoppaddle::test

#endif
