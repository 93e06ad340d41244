// One relayed request from its header to its end.
#ifndef hyssoppaddle_shell_Exchange_h
#define hyssoppaddle_shell_Exchange_h

#include "request/Events.h"
#include "shell/CallerLink.h"
#include "shell/RelayHeaders.h"
#include "shell/Signal.h"

#include <deque>
#include <memory>
#include <string>
#include <variant>

namespace hyssoppaddle::shell {

class Attempt;
class Relay;
struct AttemptEnd;

class Exchange
{
public:
  Exchange(std::shared_ptr<Relay> aRelay,
           CallerLink& aCaller,
           RelayHead aHead,
           bool aKeep);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // False when the caller's connection must be closed.
  Awaitable<bool> Run();

  // Decisions of the reducer.
  void Start(request::StartAttempt aStart);
  void Abandon(request::AttemptNumber aAttempt);
  void Refuse(request::Refuse aRefuse);
  void Abort();

  // Reports the caller as gone when its connection has ended.
  void CheckCaller(SteadyClock::time_point aNow);

private:
  friend class Attempt;
  friend class Relay;

  struct CallerLost
  {};
  using Directive = std::variant<request::StartAttempt,
                                 request::Refuse,
                                 request::AbortCaller,
                                 CallerLost>;

  void Push(Directive aDirective);
  Awaitable<Directive> NextDirective();
  // True when the exchange has ended.
  Awaitable<bool> RunAttempt(const request::StartAttempt& aStart);
  Awaitable<bool> HandleEnd(const AttemptEnd& aEnd);
  Awaitable<void> WriteRefusal(const request::Refuse& aRefuse);
  Awaitable<void> RefuseBody(const AttemptEnd& aEnd);
  void ReportGone();
  void ReportFinished(const AttemptEnd& aEnd);

  std::shared_ptr<Relay> relay;
  CallerLink& caller;
  RelayHead head;
  std::string body; // kept for another attempt when the request is replayable
  bool keep;
  bool registered = false;
  SteadyClock::time_point arrivedAt;
  std::deque<Directive> directives;
  Signal signal;
  Attempt* attempt = nullptr; // the one under way
};

} // namespace hyssoppaddle::shell

#endif
