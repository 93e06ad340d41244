// Serves the requests that this process answers itself.
#include "shell/HttpSession.h"
#include "shell/RequestProblems.h"
#include "shell/Signal.h"

#include <algorithm>

namespace hyssoppaddle::shell {

namespace {

// Progress of a body or an answer is noted in these steps.
constexpr std::size_t kProgressBytes = 64UL * 1024;
constexpr std::size_t kPieceBytes = 16UL * 1024;
constexpr Duration kRefusalTimeout{ std::chrono::seconds(1) };

api::HttpRequest
LocalRequest(const RequestParser& aParser,
             std::string aBody,
             std::string aRemoteAddress,
             api::Listener aListener)
{
  const auto text = [](beast::string_view aView) {
    return std::string(aView.data(), aView.size());
  };
  api::HttpRequest request;
  request.method = text(aParser.get().method_string());
  request.target = text(aParser.get().target());
  for (const auto& field : aParser.get()) {
    request.headers.push_back(
      { text(field.name_string()), text(field.value()) });
  }
  request.body = std::move(aBody);
  request.remoteAddress = std::move(aRemoteAddress);
  request.listener = aListener;
  return request;
}

struct PendingReply
{
  explicit PendingReply(const Executor& aExecutor)
    : signal(aExecutor)
  {
  }
  Signal signal;
  std::optional<api::HttpReply> reply;
};

} // namespace

Awaitable<ErrorValue>
HttpSession::ReadBody(CallerLink& aCaller, std::string& aBody)
{
  const auto length = this->parser->content_length();
  if (length.value_or(0) > kMaxLocalBodyBytes) {
    co_return http::error::body_limit;
  }
  std::uint64_t acquired = length.value_or(kPieceBytes);
  if (!this->AcquireMemory(acquired)) {
    co_return MemoryError();
  }
  const Duration timeout = this->server->options.progressTimeout;
  this->deadline.Set(timeout);
  ErrorValue error = co_await aCaller.SendContinue();
  aBody.reserve(acquired);
  std::size_t noted = 0;
  while (!error && !aCaller.BodyDone()) {
    const std::size_t left = length ? *length - aBody.size() : kPieceBytes;
    error = co_await aCaller.AppendBodyPiece(
      aBody, std::clamp<std::size_t>(left, 1, kPieceBytes));
    if (aBody.size() > kMaxLocalBodyBytes) {
      error = http::error::body_limit;
    } else if (!error && !length && aBody.size() + kPieceBytes > acquired) {
      acquired = std::min(2 * acquired, kMaxLocalBodyBytes + kPieceBytes);
      error = this->AcquireMemory(acquired) ? error : MemoryError();
      aBody.reserve(error ? 0 : acquired);
    }
    if (aBody.size() >= noted + kProgressBytes) {
      noted = aBody.size();
      this->MarkProgress();
      this->deadline.Set(timeout);
    }
  }
  co_return error;
}

Awaitable<bool>
HttpSession::Answer(CallerLink& aCaller,
                    const api::HttpReply& aReply,
                    bool aKeepAlive)
{
  const Duration timeout = this->server->options.progressTimeout;
  // A named variable, because g++ 12 destroys a temporary twice if it is
  // created by a conversion inside an awaited call.
  const std::function<void()> advance = [this, timeout] {
    this->MarkProgress();
    this->deadline.Set(timeout);
  };
  if (aReply.body.size() > kProgressBytes &&
      !this->AcquireMemory(aReply.body.size())) {
    // Only the answers to reads are as long.
    const ProblemDetail problem = RequestProblem(MemoryError());
    this->server->CountRefusal(problem.code, this->Client());
    advance();
    const api::HttpReply refusal = ProblemReply(problem);
    co_return co_await aCaller.Reply(refusal, false);
  }
  advance();
  const bool more = co_await aCaller.ReplyInPieces(aReply, aKeepAlive, advance);
  if (this->timedOut) {
    this->server->CountRefusal("answer_timeout", this->Client());
  }
  co_return more && !this->timedOut;
}

Awaitable<bool>
HttpSession::ServeLocal(CallerLink& aCaller, bool aKeepAlive)
{
  std::string body;
  ErrorValue error;
  if (!this->server->options.ignoresBodies && !aCaller.BodyDone()) {
    error = co_await this->ReadBody(aCaller, body);
  }
  this->EndProgress();
  if (this->evicted) {
    co_return false;
  }
  if (error) {
    std::string().swap(body);
    this->lease.Release();
    const ProblemDetail problem = BodyProblem(error, this->timedOut);
    this->server->CountRefusal(problem.code, this->Client());
    this->deadline.Set(kRefusalTimeout);
    const api::HttpReply reply = ProblemReply(problem);
    co_return co_await aCaller.Reply(reply, false);
  }
  const auto& limits = this->server->options.limits;
  this->deadline.Set(limits.requestTimeout + 2 * limits.headerTimeout);
  const auto pending =
    std::make_shared<PendingReply>(this->server->io.get_executor());
  this->server->handler(LocalRequest(*this->parser,
                                     std::move(body),
                                     this->remoteAddress,
                                     this->server->options.listener),
                        [pending](api::HttpReply aReply) {
                          pending->reply = std::move(aReply);
                          pending->signal.Notify();
                        });
  while (!pending->reply) {
    co_await pending->signal.Wait();
  }
  co_return co_await this->Answer(aCaller, *pending->reply, aKeepAlive);
}

} // namespace hyssoppaddle::shell
