// The timer is armed for the earliest deadline. If it fires for a deadline that
// has been cleared, it is armed again.
#include "shell/Deadlines.h"

#include <memory>

namespace hyssoppaddle::shell {

DeadlineQueue::DeadlineQueue(asio::io_context& aIo)
  : timer(aIo)
{
}

void
DeadlineQueue::Insert(const Entry& aEntry)
{
  this->entries.insert(aEntry);
  if (aEntry.first < this->armedFor) {
    this->Arm();
  }
}

void
DeadlineQueue::Erase(const Entry& aEntry)
{
  this->entries.erase(aEntry);
}

void
DeadlineQueue::Arm()
{
  if (this->entries.empty()) {
    this->armedFor = SteadyClock::time_point::max();
    return;
  }
  this->armedFor = this->entries.begin()->first;
  this->timer.expires_at(this->armedFor);
  this->timer.async_wait([this](ErrorValue aError) {
    if (!aError) {
      this->Fire();
    }
  });
}

void
DeadlineQueue::Fire()
{
  const auto now = SteadyClock::now();
  while (!this->entries.empty() && this->entries.begin()->first <= now) {
    Deadline& deadline = *this->entries.begin()->second;
    deadline.Clear();
    deadline.action();
  }
  this->Arm();
}

Deadline::Deadline(DeadlineQueue& aQueue, std::function<void()> aAction)
  : queue(aQueue)
  , action(std::move(aAction))
{
}

Deadline::~Deadline()
{
  this->Clear();
}

void
Deadline::Set(Duration aFromNow)
{
  this->Clear();
  this->when = SteadyClock::now() + aFromNow;
  this->pending = true;
  this->queue.Insert({ this->when, this });
}

void
Deadline::Clear()
{
  if (this->pending) {
    this->pending = false;
    this->queue.Erase({ this->when, this });
  }
}

} // namespace hyssoppaddle::shell
