// A relay with scripted decisions, and callers and upstreams that use raw
// sockets on the loopback interface. The relay runs on its own thread. The
// test's thread blocks on sockets, so no test depends on timing.
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

// Blocking client socket that sends and reads raw bytes.
class RawClient
{
public:
  explicit RawClient(std::uint16_t aPort);
  void Send(std::string_view aBytes);
  // Reads until the other side closes or resets the connection.
  std::string ReadAll();
  // Reads up to and including aDelimiter, or until the other side closes.
  std::string ReadUntil(std::string_view aDelimiter);
  // Reads one complete answer with Content-Length and returns it with its
  // header.
  std::string ReadAnswer();
  // Removes and returns bytes that were received but not yet returned.
  std::string TakeBuffered() { return std::exchange(this->buffer, {}); }
  void Close() { this->socket.close(); }
  Tcp::socket& Raw() { return this->socket; }

private:
  asio::io_context io;
  Tcp::socket socket;
  std::string buffer;
};

// Accepts connections on its own thread and runs the script for each of them,
// one after the other. The script uses blocking reads and writes.
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

// Decides like a minimal reducer: the first attempt of every request goes to
// the first address of the list, and a failed or refused attempt is repeated at
// the next address while there is one.
class RelayFixture
{
public:
  explicit RelayFixture(std::vector<std::string> aUpstreams,
                        config::LimitSettings aLimits = {});
  ~RelayFixture();

  [[nodiscard]] std::uint16_t Port() const { return this->port; }
  // Returns the kinds of all events so far, for example "arrived" or
  // "failed:sending".
  std::vector<std::string> Events();
  // Blocks until aEvent has been recorded aTimes times.
  void Await(const std::string& aEvent, int aTimes = 1);
  shell::Metrics& GetMetrics() { return *this->metrics; }

  // Set before the first request.
  Duration timeLeft{ 60000000 };
  std::function<void(const request::RequestArrived&)> onArrived;

private:
  void Decide(const request::Event& aEvent);
  void StartNextAttempt(request::RequestNumber aRequest);
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
