// Handles one relayed request from its header to its last byte.
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
           bool aKeepAlive);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Returns false if the caller's connection must be closed.
  Awaitable<bool> Run();

  // Decisions of the reducer.
  void Start(request::StartAttempt aStart);
  void Abandon(request::AttemptNumber aAttempt);
  void Refuse(request::Refuse aRefuse);
  void Abort();

  // Reports that the caller is gone if its connection has ended.
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
  // These return true if the exchange has ended.
  Awaitable<bool> RunAttempt(const request::StartAttempt& aStart);
  Awaitable<bool> HandleEnd(const AttemptEnd& aEnd);
  Awaitable<void> WriteRefusal(const request::Refuse& aRefuse);
  Awaitable<void> RefuseBody(const AttemptEnd& aEnd);
  void ReportCallerGone();
  void ReportFinished(const AttemptEnd& aEnd);

  std::shared_ptr<Relay> relay;
  CallerLink& caller;
  RelayHead head;
  std::string body; // buffered for retries of a replayable request
  bool keepAlive;
  bool registered = false;
  SteadyClock::time_point arrivedAt;
  std::deque<Directive> directives;
  Signal signal;
  Attempt* attempt = nullptr; // the current one; null between attempts
};

} // namespace hyssoppaddle::shell

#endif
