// The reducer's decisions are queued as directives. The coroutine executes them
// in order, one at a time.
#include "shell/Exchange.h"

#include "shell/Attempt.h"
#include "shell/Problems.h"
#include "shell/Relay.h"

namespace hyssoppaddle::shell {

namespace {

// A caller is checked only after this time, because most requests end sooner.
constexpr std::chrono::milliseconds kFirstCallerCheckDelay{ 200 };

Duration
Since(SteadyClock::time_point aStart)
{
  return std::chrono::duration_cast<Duration>(SteadyClock::now() - aStart);
}

ProblemDetail
BodyProblem(const ErrorValue& aError, bool aNotRun)
{
  if (aError == http::error::body_limit) {
    return { 413, "body_too_large", aNotRun, "the body is over the limit", {} };
  }
  return { 400, "bad_request", aNotRun, "malformed body", {} };
}

// True for errors in the bytes that the caller sent, false for connection
// errors.
bool
IsMalformed(const ErrorValue& aError)
{
  return aError.category() ==
           http::make_error_code(http::error::bad_chunk).category() &&
         aError != http::error::partial_message &&
         aError != http::error::end_of_stream;
}

} // namespace

Exchange::Exchange(std::shared_ptr<Relay> aRelay,
                   CallerLink& aCaller,
                   RelayHead aHead,
                   bool aKeepAlive)
  : relay(std::move(aRelay))
  , caller(aCaller)
  , head(std::move(aHead))
  , keepAlive(aKeepAlive)
  , arrivedAt(SteadyClock::now())
  , signal(this->relay->io.get_executor())
{
}

Exchange::~Exchange()
{
  if (this->registered) {
    this->relay->Remove(this->head.arrived.request);
  }
}

void
Exchange::Push(Directive aDirective)
{
  this->directives.push_back(std::move(aDirective));
  this->signal.Notify();
}

void
Exchange::Start(request::StartAttempt aStart)
{
  this->Push(std::move(aStart));
}

void
Exchange::Abandon(request::AttemptNumber aAttempt)
{
  if (this->attempt != nullptr && this->attempt->Number() == aAttempt) {
    this->attempt->Interrupt(Interruption::Abandoned);
    return;
  }
  std::erase_if(this->directives, [&](const Directive& aDirective) {
    const auto* start = std::get_if<request::StartAttempt>(&aDirective);
    return start != nullptr && start->attempt == aAttempt;
  });
}

void
Exchange::Refuse(request::Refuse aRefuse)
{
  if (this->attempt != nullptr) {
    this->attempt->Interrupt(Interruption::Abandoned);
  }
  this->Push(std::move(aRefuse));
}

void
Exchange::Abort()
{
  if (this->attempt != nullptr) {
    this->attempt->Interrupt(Interruption::Abandoned);
  }
  this->Push(request::AbortCaller{ this->head.arrived.request });
}

void
Exchange::CheckCaller(SteadyClock::time_point aNow)
{
  if (aNow - this->arrivedAt < kFirstCallerCheckDelay ||
      this->caller.IsConnected()) {
    return;
  }
  if (this->attempt != nullptr) {
    this->attempt->Interrupt(Interruption::CallerLost);
  }
  this->Push(CallerLost{});
}

Awaitable<Exchange::Directive>
Exchange::NextDirective()
{
  while (this->directives.empty()) {
    co_await this->signal.Wait();
  }
  Directive directive = std::move(this->directives.front());
  this->directives.pop_front();
  co_return directive;
}

Awaitable<bool>
Exchange::Run()
{
  this->relay->Add(*this);
  this->registered = true;
  this->relay->hooks.submit(this->head.arrived);
  bool ended = false;
  while (!ended) {
    Directive directive = co_await this->NextDirective();
    if (auto* start = std::get_if<request::StartAttempt>(&directive)) {
      ended = co_await this->RunAttempt(*start);
      continue;
    }
    if (auto* refuse = std::get_if<request::Refuse>(&directive)) {
      co_await this->WriteRefusal(*refuse);
    } else {
      if (std::holds_alternative<CallerLost>(directive)) {
        this->ReportCallerGone();
      }
      this->keepAlive = false;
    }
    ended = true;
  }
  co_return this->keepAlive;
}

Awaitable<void>
Exchange::WriteRefusal(const request::Refuse& aRefuse)
{
  const api::HttpReply reply = ProblemReply(DescribeRefusal(aRefuse));
  this->keepAlive = co_await this->caller.Reply(reply, this->keepAlive);
}

Awaitable<bool>
Exchange::RunAttempt(const request::StartAttempt& aStart)
{
  if (aStart.attempt == 1) {
    this->relay->metrics->Observe(Timing::QueueWait, Since(this->arrivedAt));
  }
  Attempt current(*this, aStart);
  this->attempt = &current;
  const AttemptEnd end = co_await current.Run();
  this->attempt = nullptr;
  co_return co_await this->HandleEnd(end);
}

Awaitable<bool>
Exchange::HandleEnd(const AttemptEnd& aEnd)
{
  const auto number = this->head.arrived.request;
  const auto& submit = this->relay->hooks.submit;
  const auto attemptNumber = aEnd.attempt;
  switch (aEnd.result) {
    case AttemptResult::Finished:
      this->ReportFinished(aEnd);
      co_return true;
    case AttemptResult::Refused:
      submit(request::AttemptRefused{ number, attemptNumber });
      co_return false;
    case AttemptResult::Failed:
      submit(request::AttemptFailed{
        number, attemptNumber, aEnd.phase, aEnd.reason });
      co_return false;
    case AttemptResult::AnswerTruncated:
      submit(request::AttemptFailed{
        number, attemptNumber, aEnd.phase, aEnd.reason });
      this->keepAlive = false;
      co_return true;
    case AttemptResult::CallerLost:
      this->ReportCallerGone();
      co_await this->RefuseBody(aEnd);
      co_return true;
    case AttemptResult::Abandoned:
      co_return false;
  }
  co_return true;
}

void
Exchange::ReportCallerGone()
{
  this->relay->hooks.submit(
    request::CallerDisconnected{ this->head.arrived.request });
}

Awaitable<void>
Exchange::RefuseBody(const AttemptEnd& aEnd)
{
  this->keepAlive = false;
  if (!IsMalformed(aEnd.callerError) ||
      aEnd.phase == request::AttemptPhase::Relaying) {
    co_return;
  }
  const bool notRun = aEnd.phase == request::AttemptPhase::Connecting;
  const ProblemDetail problem = BodyProblem(aEnd.callerError, notRun);
  this->relay->metrics->CountRefusal(problem.code);
  const api::HttpReply reply = ProblemReply(problem);
  co_await this->caller.Reply(reply, false);
}

void
Exchange::ReportFinished(const AttemptEnd& aEnd)
{
  const ServiceId& service = this->head.arrived.service;
  this->relay->metrics->ObserveRequest(
    service, this->relay->hooks.classOf(service), Since(this->arrivedAt));
  this->relay->hooks.submit(request::AttemptFinished{
    this->head.arrived.request, aEnd.attempt, aEnd.status, aEnd.latency });
  this->keepAlive = this->keepAlive && this->caller.BodyDone();
}

} // namespace hyssoppaddle::shell
