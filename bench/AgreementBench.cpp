// Measures the replicated log: commit throughput and latency with real files
// and syncs, idle traffic, and the catch-up of a follower that missed entries.
//
// Usage: AgreementBench [FOLDER]; FOLDER gets three data folders and is by
// default a new folder under the temporary folder. All replicas run in this
// process; each has a storage thread, as in the daemon. Messages are handed
// over in memory, so the figures include the cost of the log and its files, but
// not of sockets.
#include "agreement/Raft.h"
#include "storage/FileLayer.h"
#include "storage/LogStore.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace hyssoppaddle;
namespace raft = hyssoppaddle::agreement;

namespace {

constexpr std::size_t kReplicas = 3;
constexpr std::size_t kPayloadBytes = 200; // a typical command
constexpr Duration kMeasuredTime{ 3000000 };
constexpr std::uint64_t kSeed = 7;

Time
Now()
{
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return Time(std::chrono::duration_cast<Duration>(since));
}

// Approximate size of a message without the framing of the wire format.
std::size_t
SizeOf(const raft::Message& aMessage)
{
  constexpr std::size_t kFixedBytes = 48;
  std::size_t size = kFixedBytes;
  if (const auto* append = std::get_if<raft::AppendRequest>(&aMessage)) {
    for (const raft::LogEntry& entry : append->entries) {
      size += entry.payload.size() + 20;
    }
  }
  if (const auto* chunk = std::get_if<raft::SnapshotChunk>(&aMessage)) {
    size += chunk->data.size();
  }
  return size;
}

struct Arrival
{
  std::size_t to = 0;
  raft::Event event;
};

// Events from the storage threads and between replicas, in order.
class Inbox
{
public:
  void Push(Arrival aArrival)
  {
    {
      const std::lock_guard guard(this->mutex);
      this->arrivals.push_back(std::move(aArrival));
    }
    this->changed.notify_one();
  }
  std::deque<Arrival> TakeAll(Duration aWait)
  {
    std::unique_lock guard(this->mutex);
    this->changed.wait_for(
      guard, aWait, [&] { return !this->arrivals.empty(); });
    return std::exchange(this->arrivals, {});
  }

private:
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Arrival> arrivals;
};

// Storage thread of one replica. With aBatched, each write takes all Persist
// effects that arrived during the previous write; otherwise it takes one.
class Writer
{
public:
  Writer(std::size_t aIndex,
         const std::string& aFolder,
         bool aBatched,
         Inbox& aInbox)
    : index(aIndex)
    , batched(aBatched)
    , inbox(aInbox)
    , store(storage::LogStore::Open(
        std::move(*storage::OpenPosixFolder(aFolder)),
        { "bench", InstanceId("n" + std::to_string(aIndex)) }))
    , thread([this] { this->Loop(); })
  {
  }
  ~Writer()
  {
    {
      const std::lock_guard guard(this->mutex);
      this->stopping = true;
    }
    this->changed.notify_one();
    this->thread.join();
  }
  void Push(raft::Persist aPersist)
  {
    {
      const std::lock_guard guard(this->mutex);
      this->pendingWrites.push_back(std::move(aPersist));
    }
    this->changed.notify_one();
  }
  std::size_t syncs = 0;

private:
  void Loop()
  {
    for (;;) {
      std::vector<raft::Persist> batch;
      {
        std::unique_lock guard(this->mutex);
        this->changed.wait(guard, [&] {
          return this->stopping || !this->pendingWrites.empty();
        });
        if (this->pendingWrites.empty()) {
          return;
        }
        const std::size_t count =
          this->batched ? this->pendingWrites.size() : 1;
        const auto end =
          this->pendingWrites.begin() + static_cast<std::ptrdiff_t>(count);
        std::move(this->pendingWrites.begin(), end, std::back_inserter(batch));
        this->pendingWrites.erase(this->pendingWrites.begin(), end);
      }
      if (!this->store->Write(batch)) {
        std::fprintf(stderr, "write failed\n");
        std::abort();
      }
      ++this->syncs;
      this->inbox.Push(
        { this->index, raft::Persisted{ batch.back().sequence } });
    }
  }

  std::size_t index;
  bool batched;
  Inbox& inbox;
  Result<storage::LogStore> store;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<raft::Persist> pendingWrites;
  bool stopping = false;
  std::thread thread;
};

struct Counts
{
  std::size_t messages = 0;
  std::size_t bytes = 0;
};

class Cluster
{
public:
  Cluster(const std::string& aFolder, bool aBaseline)
  {
    raft::RaftLimits limits;
    if (aBaseline) {
      limits.maxEntriesPerAppend = 1;
      limits.maxAppendsInFlight = 1;
    }
    raft::Configuration voters;
    for (std::size_t i = 0; i < kReplicas; ++i) {
      voters.voters.emplace_back("n" + std::to_string(i));
    }
    for (std::size_t i = 0; i < kReplicas; ++i) {
      const std::string folder = aFolder + "/n" + std::to_string(i);
      this->writers.push_back(
        std::make_unique<Writer>(i, folder, !aBaseline, this->inbox));
      this->replicas.emplace_back(voters.voters[i],
                                  voters,
                                  raft::RecoveredLog{},
                                  kSeed + i,
                                  Now(),
                                  raft::RaftTimes{},
                                  limits);
      this->applied.push_back(0);
      this->counts.push_back({});
      this->isolated.push_back(false);
    }
  }

  // Runs until aDone() holds. Returns false after aAtMost.
  bool RunUntil(const std::function<bool()>& aDone, Duration aAtMost)
  {
    const Time end = Now() + aAtMost;
    while (!aDone()) {
      if (Now() >= end) {
        return false;
      }
      for (Arrival& arrival : this->inbox.TakeAll(Duration(1000))) {
        this->Step(arrival.to, arrival.event);
      }
      for (std::size_t i = 0; i < kReplicas; ++i) {
        if (Now() >= this->replicas[i].NextTick()) {
          this->Step(i, raft::Tick{});
        }
      }
    }
    return true;
  }

  std::optional<std::size_t> Leader() const
  {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      if (this->replicas[i].CurrentRole() == raft::Role::Leader) {
        return i;
      }
    }
    return std::nullopt;
  }

  void Propose()
  {
    const std::uint64_t token = ++this->lastToken;
    this->proposedAt[token] = Now();
    this->Step(*this->Leader(),
               raft::Propose{ token, std::string(kPayloadBytes, 'x') });
  }

  void Step(std::size_t aTo, const raft::Event& aEvent)
  {
    raft::Effects effects = this->replicas[aTo].Step(aEvent, Now());
    for (raft::Effect& effect : effects) {
      std::visit([&](auto& aTyped) { this->Execute(aTo, aTyped); }, effect);
    }
  }

  std::vector<raft::Raft> replicas;
  std::vector<raft::LogIndex> applied;
  std::vector<Counts> counts; // sent by each replica
  std::vector<bool> isolated; // its messages are dropped
  std::vector<Duration> latencies;
  Inbox inbox;
  std::vector<std::unique_ptr<Writer>> writers;

private:
  void Execute(std::size_t aFrom, raft::SendMessage& aEffect)
  {
    const auto to = static_cast<std::size_t>(aEffect.to.value[1] - '0');
    if (this->isolated[aFrom] || this->isolated[to]) {
      return;
    }
    ++this->counts[aFrom].messages;
    this->counts[aFrom].bytes += SizeOf(aEffect.message);
    this->inbox.Push(
      { to,
        raft::MessageReceived{ InstanceId("n" + std::to_string(aFrom)),
                               std::move(aEffect.message) } });
  }
  void Execute(std::size_t aFrom, raft::Persist& aEffect)
  {
    this->writers[aFrom]->Push(std::move(aEffect));
  }
  void Execute(std::size_t aFrom, const raft::ApplyEntries& aEffect)
  {
    this->applied[aFrom] = aEffect.entries.back().index;
  }
  void Execute(std::size_t aFrom, const raft::RestoreSnapshot& aEffect)
  {
    this->applied[aFrom] = aEffect.meta.index;
  }
  void Execute(std::size_t aFrom, const raft::TakeSnapshot& aEffect)
  {
    // Bounds the log in memory. The snapshot file is not part of the
    // measurement.
    this->inbox.Push({ aFrom, raft::SnapshotTaken{ aEffect.meta, "state" } });
  }
  void Execute(std::size_t /*aFrom*/, const raft::ProposalCommitted& aEffect)
  {
    this->latencies.push_back(Now() - this->proposedAt[aEffect.token]);
    this->proposedAt.erase(aEffect.token);
  }
  template<typename Other>
  void Execute(std::size_t /*aFrom*/, const Other& /*aEffect*/)
  {
  }

  std::map<std::uint64_t, Time> proposedAt;
  std::uint64_t lastToken = 0;
};

struct Throughput
{
  double perSecond = 0;
  Duration p50{};
  Duration p99{};
  double entriesPerSync = 0;
};

Throughput
MeasureThroughput(const std::string& aFolder,
                  bool aBaseline,
                  std::size_t aInFlight)
{
  std::filesystem::remove_all(aFolder);
  std::filesystem::create_directories(aFolder);
  Cluster cluster(aFolder, aBaseline);
  cluster.RunUntil([&] { return cluster.Leader().has_value(); },
                   Duration(10000000));
  const std::size_t leader = *cluster.Leader();
  const std::size_t syncsBefore = cluster.writers[leader]->syncs;
  for (std::size_t i = 0; i < aInFlight; ++i) {
    cluster.Propose();
  }
  const Time begin = Now();
  std::size_t answered = 0;
  while (Now() - begin < kMeasuredTime) {
    cluster.RunUntil([&] { return cluster.latencies.size() > answered; },
                     kMeasuredTime);
    for (; answered < cluster.latencies.size(); ++answered) {
      cluster.Propose();
    }
  }
  const double seconds = std::chrono::duration<double>(Now() - begin).count();
  const auto syncs =
    static_cast<double>(cluster.writers[leader]->syncs - syncsBefore);
  std::vector<Duration> sorted = cluster.latencies;
  std::sort(sorted.begin(), sorted.end());
  const auto count = static_cast<double>(sorted.size());
  return { count / seconds,
           sorted[sorted.size() / 2],
           sorted[sorted.size() * 99 / 100],
           count / std::max(syncs, 1.0) };
}

void
CompareThroughput(const std::string& aFolder)
{
  std::printf("in flight  commits/s  p50 us  p99 us  entries/sync  "
              "plain commits/s  plain p50 us  plain p99 us  ratio\n");
  for (const std::size_t inFlight : std::array<std::size_t, 3>{ 1, 16, 256 }) {
    const Throughput baseline = MeasureThroughput(aFolder, true, inFlight);
    const Throughput product = MeasureThroughput(aFolder, false, inFlight);
    std::printf(
      "%9zu  %9.0f  %6ld  %6ld  %12.1f  %15.0f  %12ld  %12ld  %5.1f\n",
      inFlight,
      product.perSecond,
      static_cast<long>(product.p50.count()),
      static_cast<long>(product.p99.count()),
      product.entriesPerSync,
      baseline.perSecond,
      static_cast<long>(baseline.p50.count()),
      static_cast<long>(baseline.p99.count()),
      product.perSecond / baseline.perSecond);
  }
}

void
MeasureIdleAndCatchUp(const std::string& aFolder)
{
  std::filesystem::remove_all(aFolder);
  std::filesystem::create_directories(aFolder);
  Cluster cluster(aFolder, false);
  const auto never = [] { return false; };
  cluster.RunUntil([&] { return cluster.Leader().has_value(); },
                   Duration(10000000));
  cluster.RunUntil(never, Duration(1000000));
  const std::size_t leader = *cluster.Leader();
  const std::size_t follower = (leader + 1) % kReplicas;
  cluster.counts.assign(kReplicas, {});
  constexpr double kIdleSeconds = 6;
  cluster.RunUntil(never, Duration(static_cast<long>(kIdleSeconds * 1e6)));
  for (const std::size_t replica : { leader, follower }) {
    std::printf(
      "idle %s: %.1f messages/s, %.0f bytes/s sent\n",
      replica == leader ? "leader (2 other voters)" : "follower",
      static_cast<double>(cluster.counts[replica].messages) / kIdleSeconds,
      static_cast<double>(cluster.counts[replica].bytes) / kIdleSeconds);
  }

  constexpr std::size_t kMissedEntries = 500;
  cluster.isolated[follower] = true;
  for (std::size_t i = 0; i < kMissedEntries; ++i) {
    cluster.Propose();
  }
  cluster.RunUntil([&] { return cluster.latencies.size() == kMissedEntries; },
                   Duration(10000000));
  cluster.counts.assign(kReplicas, {});
  cluster.isolated[follower] = false;
  // Starts with the first message of the follower, which excludes the wait for
  // a heartbeat.
  cluster.RunUntil([&] { return cluster.counts[follower].messages > 0; },
                   Duration(10000000));
  const Time begin = Now();
  const raft::LogIndex last = cluster.replicas[leader].LastIndex();
  cluster.RunUntil([&] { return cluster.applied[follower] == last; },
                   Duration(10000000));
  std::printf("catch-up of %zu missed entries of %zu bytes: %.1f ms, %zu bytes "
              "from the leader, %zu messages back\n",
              kMissedEntries,
              kPayloadBytes,
              std::chrono::duration<double, std::milli>(Now() - begin).count(),
              cluster.counts[leader].bytes,
              cluster.counts[follower].messages);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const bool hasFolder = aCount > 1;
  const std::string folder =
    hasFolder
      ? aArguments[1]
      : (std::filesystem::temp_directory_path() / "agreement-bench").string();
  CompareThroughput(folder + "/log");
  MeasureIdleAndCatchUp(folder + "/log");
  std::filesystem::remove_all(folder + "/log");
  return 0;
}
