// Small fakes around real reducers: four entry instances (three voters, one
// learner), six fleet instances, a clock and a message queue. Every outcome
// goes to Observations.
#ifndef hyssoppaddle_test_matrix_Fleet_h
#define hyssoppaddle_test_matrix_Fleet_h

#include "base/Random.h"
#include "core/Reducer.h"
#include "matrix/FakeDisk.h"
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
  FakeDisk disk;
  std::uint64_t life = 0; // counts starts; events of earlier lives are dropped
  bool paused = false;
  std::vector<std::function<void()>> whilePaused;
};

// A request or task that an upstream is running.
struct Running
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
  std::size_t entry = 0;                  // announces to this entry instance
  std::map<std::string, Running> work;    // by request or job name
  std::vector<state::TaskReport> reports; // ended tasks, until acknowledged
};

class Fleet
{
public:
  explicit Fleet(std::uint64_t aSeed);
  ~Fleet();

  // Forms the cluster, accepts the first member, bundle and keys.
  void SetUp();

  void RunFor(Duration aTime);
  [[nodiscard]] Time Now() const;
  Random& Dice();

  // Faults.
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
  void LoseAnswers(bool aLose); // of operators' commands, after the decision
  void DuplicateMessages(bool aDuplicate);
  void HealAll();

  [[nodiscard]] std::optional<std::size_t> Leader() const;
  // An entry instance that is up and is not aOther.
  [[nodiscard]] std::size_t AnyEntry(std::optional<std::size_t> aOther = {});

  // Operators: resends every second through any entry instance until decided.
  void Command(state::Command aCommand,
               std::function<void(const state::Outcome&)> aDone = {});
  // Callers.
  void Request(std::size_t aEntry, CallerRequest aRequest);

  [[nodiscard]] const state::FleetState& View(std::size_t aEntry) const;
  [[nodiscard]] bool IsUp(std::size_t aEntry) const;
  [[nodiscard]] UpstreamNode& Upstream(std::size_t aIndex);
  Observations& Seen();
  [[nodiscard]] std::size_t DecisionLines() const;

  // A bundle of this fleet; the limit of team "t1" can be set.
  [[nodiscard]] static state::Command Bundle(std::uint64_t aVersion,
                                             std::uint32_t aLimit);

  static constexpr std::size_t kEntries = 4;
  static constexpr std::size_t kUpstreams = 6;

private:
  struct Attempt
  {
    std::string request;
    std::size_t entry = 0;
    std::uint64_t life = 0;
    request::RequestNumber number = 0;
    request::AttemptNumber attempt = 0;
    std::size_t upstream = 0;
    std::uint64_t boot = 0;
  };

  Time now;
  Random random;
  std::uint64_t order = 0;
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> queue;
  std::vector<EntryNode> entries;
  std::vector<UpstreamNode> upstreams;
  std::set<std::pair<std::size_t, std::size_t>> cut;
  bool losesAnswers = false;
  bool duplicates = false;
  std::uint64_t nextToken = 1;
  std::uint64_t nextRequest = 1;
  std::map<std::uint64_t, std::function<void(const core::CommandDecided&)>>
    commands;
  std::map<std::uint64_t, std::function<void(const core::AnswerAnnouncement&)>>
    announcements;
  // Requests that have arrived at an entry instance, by its number.
  std::map<request::RequestNumber, std::string> requestNames;
  std::set<std::pair<request::RequestNumber, request::AttemptNumber>> abandoned;
  Observations seen;
  std::size_t decisionLines = 0;
  std::uint64_t nextCommand = 1;

  void At(Duration aDelay, std::function<void()> aAction);
  [[nodiscard]] WallTime WallNow() const;
  void Deliver(std::size_t aEntry, std::uint64_t aLife, core::Event aEvent);
  void Run(std::size_t aEntry, core::Effects aEffects);
  void TickEntry(std::size_t aEntry, std::uint64_t aLife);
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
  void KeepAnnouncing(std::size_t aUpstream, std::uint64_t aBoot);
  void Obey(std::size_t aUpstream, const planner::Instruction& aInstruction);
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
