// A deployment in virtual time around the real dispatcher and state machine:
// upstreams that run tasks under leases, the owner of the instances, and a log
// whose commits can be delayed. Invariants are checked after every step against
// what the upstreams run, not against the dispatcher's state.
#ifndef hyssoppaddle_test_dispatch_FakeDeployment_h
#define hyssoppaddle_test_dispatch_FakeDeployment_h

#include "dispatch/Dispatcher.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hyssoppaddle::test {

// Virtual time advances by this.
inline constexpr Duration kTimeStep = dispatch::milliseconds(5);

struct FakeRun
{
  std::uint32_t run = 0;
  Time endsAt{};
  state::Resources size;
  bool longRunning = false;
  Time startedAt{};
  bool mayRunTwice = false;
};

struct FakeUpstream
{
  work::Upstream record;
  bool alive = true;
  bool reachable = true;
  // Carries out starts but does not answer them.
  bool dropsAnswers = false;
  // Starts get no answer and are carried out by ReleaseHeldStarts.
  bool holdsStarts = false;
  // Renewals do not reach it.
  bool losesRenewals = false;
  // Rejects all starts and does nothing for them.
  bool refusesStarts = false;
  // Every task started here ends as failed.
  bool failsAllTasks = false;
  // Its lists contain only rows that cannot be read.
  bool listsUnreadableRows = false;
  // One further row of its lists cannot be read.
  bool listsOneUnreadableRow = false;
  // How many times longer tasks that start here take.
  double slowdown = 1.0;
  // Its tasks make no progress from this time on.
  std::optional<Time> stalledSince;
  // Time until the answer to a start arrives.
  Duration startAnswerDelay = dispatch::milliseconds(3);
  Time bootedAt{};
  std::uint64_t fence = 0;
  dispatch::UpstreamClock leaseUntil = 0;
  std::map<work::TaskRef, FakeRun> running;
  std::map<work::TaskRef, std::uint32_t> highestEnded;
  std::vector<dispatch::EndedTask> ended;
  std::uint64_t lastEnd = 0;
  std::uint64_t sequence = 0;
  std::uint32_t startsSeen = 0;
  std::uint32_t stopsSeen = 0;
};

struct FakeInstance
{
  ServiceId pool;
  dispatch::InstancePhase phase = dispatch::InstancePhase::Up;
  Time backAt{};
  std::uint64_t activeWave = 0; // wave of the maintenance in progress; 0: none
  std::uint64_t completedWave = 0; // wave of the last maintenance
  // The replica that led at the last order.
  std::optional<std::size_t> orderedBy;
  Time orderedAt{};
  DataCentreId dataCentre{};
};

class FakeDeployment
{
public:
  FakeDeployment();

  // Adds a service, with a queue and a workspace of the same name.
  void AddService(const std::string& aName, bool aStandby = false);
  // Adds a queue of an added service whose tasks need tickets of the advisor.
  // Must be called before a leader is elected.
  void AddAdvisedQueue(const std::string& aName, const std::string& aService);
  void AddUpstream(const std::string& aService, std::int64_t aMilliCpus = 8000);
  // Adds an instance on standby, without an upstream.
  void AddStandby(const std::string& aInstance, const std::string& aPool);
  void SetLimit(const std::string& aWorkspace, state::Resources aLimit);
  // Must be called before a leader is elected.
  void SetMaintenanceTime(Duration aTime);
  void ElectLeader();
  // Another replica becomes the leader: it loses the previous leader's soft
  // state and keeps the replicated state.
  void ChangeLeader();

  // aWorkspace is that of the queue's name if it is empty.
  void Submit(const std::string& aJob,
              const std::string& aQueue,
              std::vector<work::Step> aSteps,
              const std::string& aWorkspace = {});
  // Asks whether a job would be accepted now. Returns the time after which its
  // caller should retry if it is rejected.
  std::optional<Duration> Offer(const std::string& aQueue,
                                std::vector<work::Step> aSteps);
  [[nodiscard]] std::uint64_t CountQueuedJobs(const std::string& aQueue) const;
  // How often the leader has measured a load for admission.
  [[nodiscard]] std::uint64_t LoadMeasurements() const
  {
    return this->dispatcher->LoadMeasurements();
  }
  // Comparisons that placement of the leader has made.
  [[nodiscard]] std::uint64_t PlanSteps() const
  {
    return this->dispatcher->PlanSteps();
  }
  void Cancel(const std::string& aJob);
  // Brings the next version of the setup into force.
  void ChangeSetup(const std::function<void(work::Setup&)>& aChange);
  void StartWave(std::uint64_t aNumber,
                 std::vector<std::string> aInstances,
                 Duration aLength,
                 std::uint32_t aMaxAway);
  // Puts an added upstream and its instance into a data centre. Must be called
  // before a leader is elected.
  void Place(const std::string& aUpstream, const std::string& aDataCentre);
  // Commits an order to evacuate the data centre, or its withdrawal.
  void Evacuate(const std::string& aDataCentre, bool aRequested = true);
  void Drain(const std::string& aUpstream, Duration aLeavesIn);
  // The upstream ends without a notice. With aRestarts its instance starts a
  // new boot.
  void Crash(const std::string& aUpstream, bool aRestarts);
  // The next announcement of an upstream.
  dispatch::Announcement NextReport(const InstanceId& aUpstream);
  // Delivers an announcement or a departure, whoever has sent it.
  void Report(const dispatch::Announcement& aAnnouncement);
  void Depart(const std::string& aUpstream);
  // Carries out the starts that upstreams have held, by the boots that live
  // now.
  void ReleaseHeldStarts();

  void Run(Duration aFor);
  // Runs until aDone returns true, but at most aLimit. Returns the last result
  // of aDone.
  bool RunUntil(Duration aLimit, const std::function<bool()>& aDone);

  [[nodiscard]] work::JobState StateOf(const std::string& aJob) const;
  [[nodiscard]] std::size_t RunningOn(const std::string& aService) const;
  [[nodiscard]] std::size_t UpstreamsOf(const std::string& aService) const;
  [[nodiscard]] Duration EndedAfter(const std::string& aJob) const;

  work::WorkState state;
  std::map<InstanceId, FakeUpstream> upstreams;
  std::map<std::string, FakeInstance> instances;
  bool holdCommits = false; // keeps proposals uncommitted
  // Answers and committed commands that the leader can handle in a second.
  // Answers beyond that wait in the order of their arrival; commands are
  // handled at once and delay the answers behind them. Zero: any number.
  std::uint32_t leaderEventsPerSecond = 0;
  // How many times longer than declared a task takes by itself.
  std::function<double(const work::TaskRef&)> ownFactor;
  std::size_t secondRunsSeen = 0; // tasks of which two runs executed at once
  // Time from its start until a long-running task is at work.
  Duration warmUp{ 0 };
  // The owner carries out maintenance without answering.
  bool ownerDropsAnswers = false;
  bool ownerRefusesMaintenance = false;
  // Orders do not reach the owner.
  bool ownerLosesOrders = false;
  // Tasks that ran on an instance when its maintenance began.
  std::size_t tasksEndedByMaintenance = 0;
  // The owner lists its instances on two pages that follow each other.
  bool ownerListsInACircle = false;
  std::uint32_t listRequests = 0;
  std::uint32_t moves = 0;
  std::uint32_t adviceRequests = 0;
  std::uint32_t rejectedStarts = 0;
  std::uint64_t mostPlanSteps = 0; // for one output of the leader
  // Maximum number of instances under maintenance.
  std::size_t maxAwayAtOnce = 0;
  std::vector<std::string> violations;
  std::vector<dispatch::Decision> decisions;

private:
  void Step();
  void ProcessOutput();
  void Commit();
  // Handles the answers that are due, as far as the leader gets.
  void HandleAnswers();
  // How long the answer that waits longest has waited for the leader.
  [[nodiscard]] Duration LoopDelay() const;
  void Announce(const InstanceId& aId);
  void Deliver(dispatch::Instruction aInstruction);
  void Answer(const dispatch::RenewLease& aOrder);
  void Answer(const dispatch::StartTask& aOrder);
  void Answer(const dispatch::StopTask& aOrder);
  void Answer(const dispatch::PaceTask& aOrder);
  void Answer(const dispatch::AskAdvice& aOrder);
  void Answer(const dispatch::ListInstances& aOrder);
  void Answer(const dispatch::MaintainInstance& aOrder);
  void Answer(const dispatch::MoveInstance& aOrder);
  void Reply(dispatch::Answer aAnswer);
  void ReplyLate(dispatch::Answer aAnswer, Duration aAfter);
  // In percent.
  [[nodiscard]] std::uint32_t ProgressOf(const FakeUpstream& aUp,
                                         const FakeRun& aRun) const;
  dispatch::Answer TaskListsOf(const dispatch::RenewLease& aOrder);
  void End(const InstanceId& aId,
           const work::TaskRef& aTask,
           work::EndKind aKind);
  void RemoveUpstreamsOf(const std::string& aInstance);
  void AdvanceUpstreams();
  void AdvanceInstances();
  void MakeReplicas();
  void CheckOrderHolder(FakeInstance& aInstance, const std::string& aName);
  [[nodiscard]] std::size_t Leader() const
  {
    return this->term % this->replicas.size();
  }
  void CheckInvariants();
  FakeUpstream* FindReachable(const dispatch::Destination& aTo);
  // True when another upstream uses the address.
  [[nodiscard]] bool IsUsedByAnother(const dispatch::Destination& aTo) const;
  // Returns the upstream of an order and prepares the answer. Returns null when
  // it is unreachable, after it has scheduled an empty answer.
  FakeUpstream* ReceiveOrder(std::uint64_t aToken,
                             const dispatch::Destination& aTo,
                             dispatch::OrderAnswer& aAnswer);
  [[nodiscard]] dispatch::UpstreamClock ClockOf(const FakeUpstream& aUp) const;
  [[nodiscard]] WallTime Wall() const;

  struct Pending
  {
    Time at{};
    std::function<dispatch::Answer()>
      answer; // evaluated when the answer is delivered
  };

  dispatch::Options options;
  std::array<std::unique_ptr<dispatch::Dispatcher>, 2> replicas;
  dispatch::Dispatcher* dispatcher = nullptr; // the leader's
  work::Setup setup;
  std::uint64_t term = 0;
  Time now{ std::chrono::seconds(1000) };
  std::deque<std::vector<work::Command>> proposed;
  std::vector<dispatch::StartTask> heldStarts;
  std::vector<Pending> answers;
  std::deque<Pending> arrived; // wait for the leader
  // Events that the leader can handle now. Negative after a large batch, which
  // delays the events behind it.
  double eventsLeft = 0;
  std::map<InstanceId, Time> nextAnnouncement;
  std::map<InstanceId, Duration> leaving;
  std::map<std::string, WallTime> submitted;
  std::map<work::TaskRef, Time> completedTasks; // when recorded as done
  std::set<work::TaskRef> tasksRunTwice;
  std::uint32_t lastUpstream = 0;
};

// A step of aCount tasks that each need aMilliCpus and run for aRuns.
work::Step
MakeStep(std::uint32_t aCount, std::int64_t aMilliCpus, Duration aRuns);

} // namespace hyssoppaddle::test

#endif
