// Handles one connection of a listener.
#ifndef hyssoppaddle_shell_HttpSession_h
#define hyssoppaddle_shell_HttpSession_h

#include "shell/CallerLink.h"
#include "shell/Deadlines.h"
#include "shell/HttpServer.h"
#include "shell/Stream.h"

#include <memory>
#include <optional>
#include <string>

namespace hyssoppaddle::shell {

class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  // With aOverLimit, the session answers 503 immediately and closes. Otherwise
  // it owns a descriptor of the server's budget.
  HttpSession(std::shared_ptr<HttpServer> aServer,
              Socket aSocket,
              std::string aRemoteAddress,
              bool aOverLimit);
  ~HttpSession();

  static void Spawn(std::shared_ptr<HttpSession> aSession);
  void CloseWhenIdle();
  // Meaningful only while the session is one of the idle ones of its server.
  [[nodiscard]] SteadyClock::time_point IdleSince() const
  {
    return this->idleSince;
  }

private:
  Awaitable<void> Run();
  Awaitable<bool> ServeOne();
  Awaitable<bool> AwaitFirstByte();
  Awaitable<bool> Dispatch();
  Awaitable<bool> ServeLocal(CallerLink& aCaller, bool aKeepAlive);
  Awaitable<void> AnswerBadHeader(ErrorValue aError);
  Awaitable<void> Linger();
  void OnDeadline();
  void SetIdle(bool aIdle);
  void ReleaseDescriptor();

  std::shared_ptr<HttpServer> server;
  Stream stream;
  std::string remoteAddress;
  beast::flat_buffer buffer;
  std::optional<RequestParser> parser;
  Deadline deadline;
  bool overLimit = false;
  bool ownsDescriptor = false;
  bool idle = false; // no byte of the next request has been read
  SteadyClock::time_point idleSince{};
  // Valid while `idle` is true and `overLimit` is false.
  std::list<HttpSession*>::iterator idlePosition;
  bool timedOut = false; // set when `deadline` expires
};

} // namespace hyssoppaddle::shell

#endif
