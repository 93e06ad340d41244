// Clock, network, storage and fault injection of the simulated fleet.
#include "matrix/Fleet.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::test {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kNetworkDelay = std::chrono::milliseconds(1);
constexpr Duration kSyncTime = std::chrono::microseconds(500);
constexpr Duration kResendInterval = std::chrono::seconds(1);
constexpr WallTime kInitialWallTime{ Duration(1'700'000'000'000'000) };

} // namespace

Fleet::Fleet(std::uint64_t aSeed)
  : random(aSeed)
{
  for (std::size_t index = 0; index < kEntries; ++index) {
    EntryNode node;
    node.name = InstanceId("n" + std::to_string(index + 1));
    node.dataCentre = DataCentreId(index % 2 == 0 ? "dc1" : "dc2");
    node.voter = index < 3;
    this->entries.push_back(std::move(node));
  }
  for (std::size_t index = 0; index < kUpstreams; ++index) {
    UpstreamNode node;
    node.name = InstanceId("u" + std::to_string(index + 1));
    node.pool = PoolId(index < 4 ? "p1" : "spare");
    node.service = ServiceId(index < 4 ? "s1" : "s2");
    node.dataCentre = DataCentreId(index % 2 == 0 ? "dc1" : "dc2");
    node.rack = RackId("r" + std::to_string(index / 2 + 1));
    node.entry = index % kEntries;
    this->upstreams.push_back(std::move(node));
  }
}

Fleet::~Fleet() = default;

Time
Fleet::Now() const
{
  return this->now;
}

WallTime
Fleet::WallNow() const
{
  return kInitialWallTime + this->now.time_since_epoch();
}

Random&
Fleet::RandomSource()
{
  return this->random;
}

void
Fleet::Schedule(Duration aDelay, std::function<void()> aAction)
{
  this->eventQueue.emplace(
    std::pair(this->now + aDelay, this->nextEventNumber++), std::move(aAction));
}

void
Fleet::RunFor(Duration aTime)
{
  const Time end = this->now + aTime;
  while (!this->eventQueue.empty() &&
         this->eventQueue.begin()->first.first <= end) {
    auto item = this->eventQueue.extract(this->eventQueue.begin());
    this->now = item.key().first;
    item.mapped()();
  }
  this->now = end;
  this->ObserveBundles();
}

void
Fleet::ObserveBundles()
{
  for (const EntryNode& node : this->entries) {
    if (node.reducer != nullptr) {
      // A restarted instance does not serve requests from its view before it
      // has caught up, so the view is only checked once it is ready.
      if (node.reducer->IsReady(this->now)) {
        if (node.reducer->State().ActiveBundle().version > 0) {
          this->ObservePools(node);
        }
        this->observations.BundleSeen(
          node.name.value, node.reducer->State().ActiveBundle().version);
      }
    }
  }
}

// Checks the lists of instances by pool, as an operator would read them.
void
Fleet::ObservePools(const EntryNode& aNode)
{
  std::map<InstanceId, std::size_t> pools;
  for (const char* pool : { "p1", "spare" }) {
    for (const InstanceId& instance :
         aNode.reducer->State().InstancesOf(PoolId(pool))) {
      ++pools[instance];
    }
  }
  for (const UpstreamNode& upstream : this->upstreams) {
    this->observations.PoolsSeen(upstream.name, pools[upstream.name]);
  }
}

void
Fleet::Start(std::size_t aEntry)
{
  EntryNode& node = this->entries[aEntry];
  if (node.reducer != nullptr) {
    return;
  }
  core::ReducerOptions options;
  options.self = node.name;
  options.dataCentre = node.dataCentre;
  options.boot = node.name.value + "-" + std::to_string(++node.incarnation);
  options.seed = this->random.Next();
  for (const EntryNode& each : this->entries) {
    auto& list = each.voter ? options.initial.voters : options.initial.learners;
    list.push_back(each.name);
  }
  if (!node.voter) {
    node.disk.Erase();
  }
  agreement::RecoveredLog recovered = node.disk.Recover();
  node.reducer = std::make_unique<core::Reducer>(
    std::move(options), std::move(recovered), this->now, this->WallNow());
  this->TickEntry(aEntry, node.incarnation);
}

void
Fleet::Kill(std::size_t aEntry)
{
  EntryNode& node = this->entries[aEntry];
  node.reducer.reset();
  node.paused = false;
  node.deferredEvents.clear();
  ++node.incarnation;
  // The connections of the callers end, but the upstreams keep running
  // requests.
  for (auto& [number, name] : this->requestNames) {
    const CallerRequest& request = this->observations.Requests().at(name);
    if (number % kEntries == aEntry && request.endCount == 0) {
      this->observations.RequestEnded(name, false);
    }
  }
  for (std::size_t other = 0; other < kEntries; ++other) {
    if (other != aEntry && this->entries[other].reducer != nullptr) {
      this->Deliver(
        other, this->entries[other].incarnation, core::PeerLost{ node.name });
    }
  }
}

void
Fleet::EraseDisk(std::size_t aEntry)
{
  this->entries[aEntry].disk.Erase();
}

void
Fleet::Pause(std::size_t aEntry)
{
  this->entries[aEntry].paused = this->entries[aEntry].reducer != nullptr;
}

void
Fleet::Resume(std::size_t aEntry)
{
  EntryNode& node = this->entries[aEntry];
  node.paused = false;
  for (auto& action : std::exchange(node.deferredEvents, {})) {
    action();
  }
}

void
Fleet::CutLink(std::size_t aFrom, std::size_t aTo)
{
  this->cutLinks.emplace(aFrom, aTo);
}

void
Fleet::Isolate(std::size_t aEntry)
{
  for (std::size_t other = 0; other < kEntries; ++other) {
    this->CutLink(aEntry, other);
    this->CutLink(other, aEntry);
  }
}

void
Fleet::HealNetwork()
{
  this->cutLinks.clear();
}

void
Fleet::LoseAnswers(bool aLose)
{
  this->loseAnswers = aLose;
}

void
Fleet::DuplicateMessages(bool aDuplicate)
{
  this->duplicateMessages = aDuplicate;
}

void
Fleet::HealAll()
{
  this->HealNetwork();
  this->LoseAnswers(false);
  this->DuplicateMessages(false);
  for (std::size_t index = 0; index < kEntries; ++index) {
    this->Resume(index);
    this->Start(index);
  }
  for (std::size_t index = 0; index < kUpstreams; ++index) {
    this->upstreams[index].failsEverything = false;
    this->StartUpstream(index);
  }
}

std::optional<std::size_t>
Fleet::Leader() const
{
  for (std::size_t index = 0; index < kEntries; ++index) {
    const EntryNode& node = this->entries[index];
    if (node.reducer != nullptr && !node.paused &&
        node.reducer->Log().CurrentRole() == agreement::Role::Leader) {
      return index;
    }
  }
  return std::nullopt;
}

std::size_t
Fleet::AnyEntry(std::optional<std::size_t> aOther)
{
  const std::size_t first = this->random.Below(kEntries);
  for (std::size_t step = 0; step < kEntries; ++step) {
    const std::size_t index = (first + step) % kEntries;
    if (index != aOther && this->IsUp(index)) {
      return index;
    }
  }
  return first;
}

bool
Fleet::IsUp(std::size_t aEntry) const
{
  return this->entries[aEntry].reducer != nullptr;
}

const state::FleetState&
Fleet::View(std::size_t aEntry) const
{
  return this->entries[aEntry].reducer->State();
}

UpstreamNode&
Fleet::Upstream(std::size_t aIndex)
{
  return this->upstreams[aIndex];
}

Observations&
Fleet::Observed()
{
  return this->observations;
}

std::size_t
Fleet::DecisionLineCount() const
{
  return this->decisionLineCount;
}

std::size_t
Fleet::IndexOf(const InstanceId& aEntry) const
{
  const auto found =
    std::find_if(this->entries.begin(),
                 this->entries.end(),
                 [&](const EntryNode& aNode) { return aNode.name == aEntry; });
  return static_cast<std::size_t>(found - this->entries.begin());
}

void
Fleet::Deliver(std::size_t aEntry,
               std::uint64_t aIncarnation,
               core::Event aEvent)
{
  EntryNode& node = this->entries[aEntry];
  if (node.reducer == nullptr || node.incarnation != aIncarnation) {
    return;
  }
  if (node.paused) {
    node.deferredEvents.emplace_back(
      [this, aEntry, aIncarnation, event = std::move(aEvent)] {
        this->Deliver(aEntry, aIncarnation, event);
      });
    return;
  }
  this->Run(aEntry, node.reducer->Reduce(aEvent, this->now, this->WallNow()));
}

void
Fleet::Run(std::size_t aEntry, core::Effects aEffects)
{
  for (core::Effect& effect : aEffects) {
    std::visit([&](auto& aConcrete) { this->On(aEntry, aConcrete); }, effect);
  }
}

void
Fleet::TickEntry(std::size_t aEntry, std::uint64_t aIncarnation)
{
  const EntryNode& node = this->entries[aEntry];
  if (node.reducer == nullptr || node.incarnation != aIncarnation) {
    return;
  }
  // A paused process does not catch up on the ticks that it missed.
  if (!node.paused) {
    this->Deliver(aEntry, aIncarnation, core::Tick{});
  }
  this->Schedule(kTickInterval, [this, aEntry, aIncarnation] {
    this->TickEntry(aEntry, aIncarnation);
  });
}

void
Fleet::On(std::size_t aEntry, core::SendPeer& aEffect)
{
  const std::size_t to = this->IndexOf(aEffect.to);
  if (to >= kEntries || this->cutLinks.contains({ aEntry, to })) {
    return;
  }
  const std::uint64_t incarnation = this->entries[to].incarnation;
  const int copies =
    this->duplicateMessages && this->random.Below(4) == 0 ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    this->Schedule(kNetworkDelay * (copy + 1),
                   [this,
                    to,
                    incarnation,
                    event = core::PeerReceived{ this->entries[aEntry].name,
                                                aEffect.message }] {
                     this->Deliver(to, incarnation, event);
                   });
  }
}

void
Fleet::On(std::size_t aEntry, core::WriteStorage& aEffect)
{
  const std::uint64_t incarnation = this->entries[aEntry].incarnation;
  this->Schedule(
    kSyncTime, [this, aEntry, incarnation, persist = aEffect.persist] {
      EntryNode& node = this->entries[aEntry];
      if (node.incarnation != incarnation || node.reducer == nullptr) {
        return;
      }
      node.disk.Write(persist);
      this->Deliver(
        aEntry, incarnation, core::StorageWritten{ persist.sequence });
    });
}

void
Fleet::On(std::size_t aEntry, core::SaveSnapshot& aEffect)
{
  const std::uint64_t incarnation = this->entries[aEntry].incarnation;
  this->Schedule(kSyncTime, [this, aEntry, incarnation, save = aEffect] {
    EntryNode& node = this->entries[aEntry];
    if (node.incarnation != incarnation || node.reducer == nullptr) {
      return;
    }
    node.disk.SaveSnapshot(save.meta, save.bytes);
    this->Deliver(
      aEntry, incarnation, core::SnapshotSaved{ save.meta, save.bytes });
  });
}

void
Fleet::On(std::size_t /*aEntry*/, core::CommandDecided& aEffect)
{
  const auto waiting = this->commands.find(aEffect.token);
  if (waiting == this->commands.end()) {
    return;
  }
  const auto done = std::move(waiting->second);
  this->commands.erase(waiting);
  if (!this->loseAnswers) {
    done(aEffect);
  }
}

void
Fleet::On(std::size_t /*aEntry*/, core::ReadDecided& /*aEffect*/)
{
}

void
Fleet::On(std::size_t /*aEntry*/, core::LeaderChanged& /*aEffect*/)
{
}

void
Fleet::On(std::size_t /*aEntry*/, planner::LogDecision& /*aEffect*/)
{
  ++this->decisionLineCount;
}

void
Fleet::Command(state::Command aCommand,
               std::function<void(const state::Outcome&)> aDone)
{
  if (aCommand.requestId.empty()) {
    aCommand.requestId = "op/" + std::to_string(this->nextCommand++);
  }
  this->SendCommand(aCommand, std::make_shared<bool>(false), aDone);
}

void
Fleet::SendCommand(const state::Command& aCommand,
                   const std::shared_ptr<bool>& aDecided,
                   const std::function<void(const state::Outcome&)>& aDone)
{
  if (*aDecided) {
    return;
  }
  const std::size_t entry = this->AnyEntry();
  const std::uint64_t token = this->nextToken++;
  this->commands[token] = [aDecided,
                           aDone](const core::CommandDecided& aAnswer) {
    if (aAnswer.decided && !*aDecided) {
      *aDecided = true;
      if (aDone) {
        aDone(aAnswer.outcome);
      }
    }
  };
  this->Deliver(entry,
                this->entries[entry].incarnation,
                core::CommandReceived{ token, aCommand });
  this->Schedule(kResendInterval, [this, aCommand, aDecided, aDone] {
    this->SendCommand(aCommand, aDecided, aDone);
  });
}

} // namespace hyssoppaddle::test
