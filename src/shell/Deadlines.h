// Manages the deadlines of many connections with one timer. Most deadlines are
// cleared before they expire, so setting one costs an insertion into a set and
// no timer operation.
#ifndef hyssoppaddle_shell_Deadlines_h
#define hyssoppaddle_shell_Deadlines_h

#include "base/Time.h"
#include "shell/Asio.h"

#include <functional>
#include <set>
#include <utility>

namespace hyssoppaddle::shell {

class Deadline;

class DeadlineQueue
{
public:
  explicit DeadlineQueue(asio::io_context& aIo);

private:
  friend class Deadline;
  using Entry = std::pair<SteadyClock::time_point, Deadline*>;

  void Insert(const Entry& aEntry);
  void Erase(const Entry& aEntry);
  void Arm();
  void Fire();

  std::set<Entry> entries;
  Timer timer;
  SteadyClock::time_point armedFor = SteadyClock::time_point::max();
};

// Calls its function once when the deadline expires, unless it is cleared or
// set again before that. The queue must outlive this object.
class Deadline
{
public:
  Deadline(DeadlineQueue& aQueue, std::function<void()> aAction);
  ~Deadline();
  Deadline(const Deadline&) = delete;
  Deadline& operator=(const Deadline&) = delete;

  void Set(Duration aFromNow);
  void Clear();

private:
  friend class DeadlineQueue;

  DeadlineQueue& queue;
  std::function<void()> action;
  SteadyClock::time_point when;
  bool pending = false;
};

} // namespace hyssoppaddle::shell

#endif
