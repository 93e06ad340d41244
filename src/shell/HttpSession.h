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
  HttpSession(std::shared_ptr<HttpServer> aServer,
              Socket aSocket,
              std::string aRemoteAddress);
  ~HttpSession();

  // With aOverLimit, the session answers 503 immediately and closes.
  static void Spawn(std::shared_ptr<HttpSession> aSession, bool aOverLimit);
  void CloseWhenIdle();

private:
  Awaitable<void> Run(bool aOverLimit);
  Awaitable<bool> ServeOne();
  Awaitable<bool> AwaitFirstByte();
  Awaitable<bool> Dispatch();
  Awaitable<bool> ServeLocal(CallerLink& aCaller, bool aKeepAlive);
  Awaitable<void> AnswerBadHeader(ErrorValue aError);
  Awaitable<void> Linger();
  void OnDeadline();

  std::shared_ptr<HttpServer> server;
  Stream stream;
  std::string remoteAddress;
  beast::flat_buffer buffer;
  std::optional<RequestParser> parser;
  Deadline deadline;
  bool idle = false;     // no byte of the next request has been read
  bool timedOut = false; // set when `deadline` expires
};

} // namespace hyssoppaddle::shell

#endif
