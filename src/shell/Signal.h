// Resumes one waiting coroutine from non-coroutine code on the same thread.
#ifndef hyssoppaddle_shell_Signal_h
#define hyssoppaddle_shell_Signal_h

#include "shell/Asio.h"

namespace hyssoppaddle::shell {

class Signal
{
public:
  explicit Signal(const Executor& aExecutor)
    : timer(aExecutor, SteadyClock::time_point::max())
  {
  }

  void Notify()
  {
    this->raised = true;
    this->timer.cancel();
  }

  // Returns once Notify has been called after the previous Wait returned.
  Awaitable<void> Wait()
  {
    while (!this->raised) {
      ErrorValue ignored;
      co_await this->timer.async_wait(StoreError(ignored));
    }
    this->raised = false;
  }

private:
  Timer timer;
  bool raised = false;
};

} // namespace hyssoppaddle::shell

#endif
