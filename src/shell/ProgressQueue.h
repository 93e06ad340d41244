// Orders sessions by the time of their last progress, so that the slowest can
// be closed when descriptors or memory run out. All operations take constant
// time and allocate nothing.
#ifndef hyssoppaddle_shell_ProgressQueue_h
#define hyssoppaddle_shell_ProgressQueue_h

#include "base/Time.h"
#include "shell/Asio.h"

#include <list>

namespace hyssoppaddle::shell {

class HttpSession;

class ProgressQueue
{
public:
  // The place of one session. It leaves the queue with its destruction.
  class Place
  {
  public:
    explicit Place(HttpSession* aSession)
      : node{ aSession }
      , position(this->node.begin())
    {
    }
    ~Place() { this->Leave(); }
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

    // Enters the queue, or moves to its end.
    void Advance(ProgressQueue& aQueue, SteadyClock::time_point aNow)
    {
      auto& source =
        this->queue == nullptr ? this->node : this->queue->sessions;
      aQueue.sessions.splice(aQueue.sessions.end(), source, this->position);
      this->queue = &aQueue;
      this->advancedAt = aNow;
    }
    void Leave()
    {
      if (this->queue != nullptr) {
        this->node.splice(
          this->node.end(), this->queue->sessions, this->position);
        this->queue = nullptr;
      }
    }
    [[nodiscard]] SteadyClock::time_point AdvancedAt() const
    {
      return this->advancedAt;
    }

  private:
    std::list<HttpSession*> node; // the one element, unless in a queue
    std::list<HttpSession*>::iterator position;
    ProgressQueue* queue = nullptr;
    SteadyClock::time_point advancedAt{};
  };

  // The session without progress for longest; null when there is none.
  [[nodiscard]] HttpSession* Slowest() const
  {
    return this->sessions.empty() ? nullptr : this->sessions.front();
  }

private:
  std::list<HttpSession*> sessions; // the longest without progress first
};

} // namespace hyssoppaddle::shell

#endif
