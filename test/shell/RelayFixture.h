// A relay with scripted decisions, raw callers and raw upstreams on the
// loopback interface. The relay runs on its own thread; the test's thread
// blocks on sockets, so no test depends on a time.
#ifndef hyssoppaddle_test_shell_RelayFixture_h
#define hyssoppaddle_test_shell_RelayFixture_h

#include "shell/HttpServer.h"
#include "shell/Relay.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace hyssoppaddle::test {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// Blocking client socket that sends and reads bytes as they are.
class RawClient
{
public:
  explicit RawClient(std::uint16_t aPort);
  void Send(std::string_view aBytes);
  // Bytes until the other side closes; a reset ends them as well.
  std::string ReadAll();
  // Bytes up to and including aMark, or until the other side closes.
  std::string ReadUntil(std::string_view aMark);
  // One whole answer with Content-Length, header included.
  std::string ReadAnswer();
  // What has been received and not yet taken.
  std::string TakeBuffered() { return std::exchange(this->buffer, {}); }
  void Close() { this->socket.close(); }
  Tcp::socket& Raw() { return this->socket; }

private:
  asio::io_context io;
  Tcp::socket socket;
  std::string buffer;
};

// Accepts connections on its own thread and runs the script for each, one
// after the other. The script reads and writes with blocking calls.
class RawUpstream
{
public:
  // aNumber counts the accepted connections from 1.
  using Script = std::function<void(RawClient& aPeer, int aNumber)>;
  explicit RawUpstream(Script aScript);
  ~RawUpstream();
  [[nodiscard]] std::string Address() const;

private:
  asio::io_context io;
  Tcp::acceptor acceptor;
  std::thread thread;
};

// Decides like a minimal reducer: every request starts at the next address of
// the list, a failed or refused attempt starts again while addresses are left.
class RelayFixture
{
public:
  explicit RelayFixture(std::vector<std::string> aUpstreams,
                        config::LimitSettings aLimits = {});
  ~RelayFixture();

  [[nodiscard]] std::uint16_t Port() const { return this->port; }
  // Kinds of the events so far, for example "arrived", "failed:sending".
  std::vector<std::string> Events();
  // Blocks until an event with this text has come aTimes times.
  void Await(const std::string& aEvent, int aTimes = 1);
  shell::Metrics& Figures() { return *this->metrics; }

  // Set before the first request.
  Duration timeLeft{ 60000000 };
  std::function<void(const request::RequestArrived&)> onArrived;

private:
  void Decide(const request::Event& aEvent);
  void Next(request::RequestNumber aRequest);
  void Record(std::string aText);

  std::vector<std::string> upstreams;
  std::unordered_map<request::RequestNumber, std::uint32_t> attempts;
  asio::io_context io;
  std::shared_ptr<shell::DeadlineQueue> deadlines;
  std::shared_ptr<shell::Metrics> metrics;
  std::shared_ptr<shell::Relay> relay;
  std::shared_ptr<shell::HttpServer> server;
  std::uint16_t port = 0;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::string> events;
  std::thread thread;
};

} // namespace hyssoppaddle::test

#endif
