// Only changes in the set of watched upstreams are reported, so the traffic to
// the leader grows with the changes and not with the announcements.
#include "core/UpstreamWatch.h"

#include <algorithm>
#include <iterator>

namespace hyssoppaddle::core {

namespace {

constexpr int kIntervalsUntilSilent = 3;
constexpr Duration kSilenceMargin = std::chrono::seconds(1);
// Keeps the message of one batch far below the frame limit of 1 MiB.
constexpr std::size_t kMaxBatchSize = 2000;

} // namespace

void
UpstreamWatch::RecordAnnouncement(const state::Announcement& aAnnouncement,
                                  Duration aInterval,
                                  Time aNow)
{
  const InstanceId& instance = aAnnouncement.instance;
  const auto [entry, isNew] = this->watched.try_emplace(instance);
  Watched& record = entry->second;
  if (!isNew) {
    this->bySilence.erase({ record.silentAt, instance });
  }
  const bool isNewBoot = !isNew && record.boot != aAnnouncement.boot;
  record.boot = aAnnouncement.boot;
  record.sequence = aAnnouncement.sequence;
  record.silentAt = aNow + kIntervalsUntilSilent * aInterval + kSilenceMargin;
  this->bySilence.emplace(record.silentAt, instance);
  if (isNew || isNewBoot) {
    this->Enqueue(instance, record, false);
  }
}

void
UpstreamWatch::CollectSilent(Time aNow)
{
  while (!this->bySilence.empty() && this->bySilence.begin()->first <= aNow) {
    const InstanceId instance = this->bySilence.begin()->second;
    this->Enqueue(instance, this->watched.at(instance), true);
    this->bySilence.erase(this->bySilence.begin());
    this->watched.erase(instance);
  }
}

void
UpstreamWatch::QueueAll()
{
  for (const auto& [instance, record] : this->watched) {
    this->Enqueue(instance, record, false);
  }
}

void
UpstreamWatch::QueueIfNewer(const InstanceId& aInstance,
                            const std::string& aBoot,
                            std::uint64_t aSequence)
{
  const auto found = this->watched.find(aInstance);
  if (found == this->watched.end()) {
    return;
  }
  if (found->second.boot != aBoot || found->second.sequence > aSequence) {
    this->Enqueue(aInstance, found->second, false);
  }
}

std::vector<wire::UpstreamLiveness>
UpstreamWatch::TakeQueue()
{
  const std::size_t count = std::min(this->queue.size(), kMaxBatchSize);
  const auto end = this->queue.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<wire::UpstreamLiveness> batch(
    std::make_move_iterator(this->queue.begin()), std::make_move_iterator(end));
  this->queue.erase(this->queue.begin(), end);
  return batch;
}

bool
UpstreamWatch::HasQueue() const
{
  return !this->queue.empty();
}

std::size_t
UpstreamWatch::size() const
{
  return this->watched.size();
}

void
UpstreamWatch::Enqueue(const InstanceId& aInstance,
                       const Watched& aWatched,
                       bool aSilent)
{
  this->queue.push_back(
    { aInstance, aWatched.boot, aWatched.sequence, aSilent });
}

} // namespace hyssoppaddle::core
