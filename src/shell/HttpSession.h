// Handles one connection of a listener.
#ifndef hyssoppaddle_shell_HttpSession_h
#define hyssoppaddle_shell_HttpSession_h

#include "shell/CallerLink.h"
#include "shell/Deadlines.h"
#include "shell/HttpServer.h"
#include "shell/MemoryLease.h"
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
  // Closes the connection in the middle of a request or an answer. Nothing of
  // a request that is still being read has been passed on.
  void Evict(std::string_view aCause);
  // Meaningful only while the session is one of the idle ones of its server.
  [[nodiscard]] SteadyClock::time_point IdleSince() const
  {
    return this->idleSince;
  }
  // The same for a session in one of the queues of its server.
  [[nodiscard]] SteadyClock::time_point AdvancedAt() const
  {
    return this->place.AdvancedAt();
  }

private:
  Awaitable<void> Run();
  Awaitable<bool> ServeOne();
  Awaitable<bool> AwaitFirstByte();
  Awaitable<ErrorValue> ReadHeader();
  Awaitable<bool> Dispatch();
  Awaitable<bool> ServeLocal(CallerLink& aCaller, bool aKeepAlive);
  // Reads the body into aBody if the memory for it can be had.
  Awaitable<ErrorValue> ReadBody(CallerLink& aCaller, std::string& aBody);
  Awaitable<bool> Answer(CallerLink& aCaller,
                         const api::HttpReply& aReply,
                         bool aKeepAlive);
  // Grows the lease to aBytes, if need be by closing stalled connections.
  bool AcquireMemory(std::size_t aBytes);
  void MarkProgress();
  void EndProgress();
  Awaitable<void> AnswerBadHeader(ErrorValue aError);
  Awaitable<void> Linger();
  // The address of the client without its port.
  [[nodiscard]] std::string_view Client() const
  {
    return std::string_view(this->remoteAddress)
      .substr(0, this->remoteAddress.rfind(':'));
  }
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
  bool evicted = false;
  MemoryLease lease; // of the current request and its answer
  // In the queues of the server while a request is read or an answer written.
  ProgressQueue::Place place;
  ProgressQueue::Place holderPlace; // only while the lease is not empty
};

} // namespace hyssoppaddle::shell

#endif
