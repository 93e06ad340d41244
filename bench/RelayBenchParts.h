// The processes that RelayBench compares. Each is forked before any thread
// starts and is killed by its process ID.
#ifndef hyssoppaddle_bench_RelayBenchParts_h
#define hyssoppaddle_bench_RelayBenchParts_h

#include "../test/standin/UpstreamStandin.h"
#include "api/ControlHandler.h"
#include "core/Reducer.h"
#include "shell/Daemon.h"
#include "shell/JsonLog.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>

#include <sys/wait.h>
#include <unistd.h>

namespace hyssoppaddle::bench {

using namespace shell;

struct Child
{
  pid_t process = 0;
  std::uint16_t port = 0;

  Child() = default;
  Child(Child&& aOther) noexcept
    : process(std::exchange(aOther.process, 0))
    , port(aOther.port)
  {
  }
  ~Child()
  {
    if (this->process > 0) {
      kill(this->process, SIGKILL);
      waitpid(this->process, nullptr, 0);
    }
  }
};

// Runs aBody in a child process, which reports its port once and then serves
// until it is killed.
inline Child
Fork(const std::function<void(std::function<void(std::uint16_t)>)>& aBody)
{
  int pipeEnds[2];
  if (pipe(pipeEnds) != 0) {
    std::abort();
  }
  Child child;
  child.process = fork();
  if (child.process == 0) {
    aBody([&](std::uint16_t aPort) {
      if (write(pipeEnds[1], &aPort, sizeof(aPort)) != sizeof(aPort)) {
        std::abort();
      }
    });
    std::_Exit(0);
  }
  if (read(pipeEnds[0], &child.port, sizeof(child.port)) !=
      sizeof(child.port)) {
    std::abort();
  }
  close(pipeEnds[0]);
  close(pipeEnds[1]);
  return child;
}

inline long
ResidentKb(const Child& aChild)
{
  std::ifstream file("/proc/" + std::to_string(aChild.process) + "/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

inline Child
StartUpstream()
{
  return Fork([](const auto& aReport) {
    asio::io_context io(1);
    standin::Options options;
    options.address = "127.0.0.1:0";
    standin::Upstream upstream(io, options);
    aReport(ParseEndpoint(upstream.Address())->port());
    io.run();
  });
}

// Relays complete messages over one upstream connection per caller, without
// routing decisions.
inline Awaitable<void>
PlainSession(Socket aCaller, std::uint16_t aUpstream)
{
  Socket upstream(aCaller.get_executor());
  ErrorValue error;
  const Tcp::endpoint endpoint(asio::ip::address_v4::loopback(), aUpstream);
  co_await upstream.async_connect(endpoint, StoreError(error));
  upstream.set_option(Tcp::no_delay(true), error);
  beast::flat_buffer fromCaller;
  beast::flat_buffer fromUpstream;
  while (!error) {
    http::request<http::string_body> request;
    co_await http::async_read(aCaller, fromCaller, request, StoreError(error));
    if (!error) {
      co_await http::async_write(upstream, request, StoreError(error));
    }
    http::response<http::string_body> response;
    if (!error) {
      co_await http::async_read(
        upstream, fromUpstream, response, StoreError(error));
    }
    if (!error) {
      co_await http::async_write(aCaller, response, StoreError(error));
    }
  }
}

inline Awaitable<void>
PlainAccept(Acceptor& aAcceptor, std::uint16_t aUpstream)
{
  for (;;) {
    Socket caller = co_await aAcceptor.async_accept(kUseAwaitable);
    caller.set_option(Tcp::no_delay(true));
    asio::co_spawn(aAcceptor.get_executor(),
                   PlainSession(std::move(caller), aUpstream),
                   asio::detached);
  }
}

inline Child
StartPlainRelay(std::uint16_t aUpstream)
{
  return Fork([aUpstream](const auto& aReport) {
    asio::io_context io(1);
    Acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
    asio::co_spawn(io, PlainAccept(acceptor, aUpstream), asio::detached);
    aReport(acceptor.local_endpoint().port());
    io.run();
  });
}

inline state::Bundle
BenchBundle()
{
  state::Bundle bundle;
  bundle.version = 1;
  bundle.dataCentres = { { DataCentreId("dc"), "region" } };
  bundle.workspaces = { { WorkspaceId("space"), MemberId("member") } };
  state::PoolSpec pool;
  pool.name = PoolId("pool");
  pool.instances = { { InstanceId("u1"),
                       DataCentreId("dc"),
                       RackId("rack"),
                       { 64000, 65536, 0 } } };
  bundle.pools = { pool };
  bundle.teams = { { TeamId("team"), WorkspaceId("space"), 1, 1000 } };
  state::ServiceSpec service;
  service.name = ServiceId("quotes");
  service.pool = PoolId("pool");
  service.workspace = WorkspaceId("space");
  service.workClass = state::WorkClass::Preview;
  service.open = true;
  service.openTeam = TeamId("team");
  bundle.services = { service };
  return bundle;
}

inline state::Announcement
BenchAnnouncement(std::uint16_t aUpstream, std::uint64_t aSequence)
{
  state::Announcement announcement;
  announcement.instance = InstanceId("u1");
  announcement.bootedAtMs = 1;
  announcement.boot = "boot";
  announcement.sequence = aSequence;
  announcement.service = ServiceId("quotes");
  announcement.pool = PoolId("pool");
  announcement.dataCentre = DataCentreId("dc");
  announcement.rack = RackId("rack");
  announcement.address = "127.0.0.1:" + std::to_string(aUpstream);
  announcement.slots = 256;
  announcement.connections = 1024;
  announcement.capacity = { 64000, 65536, 0 };
  return announcement;
}

// Submits the commands that lead to an accepted bundle, then announces the
// upstream. Each request performs one step.
class BenchHandler final : public api::ControlHandler
{
public:
  BenchHandler(api::CorePort& aPort, std::uint16_t aUpstream)
    : port(aPort)
    , upstream(aUpstream)
  {
  }

  void Handle(api::HttpRequest, api::ReplyCallback aReply) override
  {
    const std::vector<state::CommandBody> steps{
      state::ProposeMember{ MemberId("member") },
      state::ProposeBundle{ "{}", "digest", "operator", BenchBundle() },
      state::ApproveBundle{ 1, "digest", MemberId("member") },
    };
    if (this->step < steps.size()) {
      state::Command command;
      command.body = steps[this->step];
      this->port.SubmitCommand(command, [this, aReply](const auto& aDecided) {
        this->step += aDecided.decided && aDecided.outcome.Ok() ? 1 : 0;
        aReply({ 202, "text/plain", {}, aDecided.outcome.detail });
      });
      return;
    }
    this->port.Announce(BenchAnnouncement(this->upstream, ++this->sequence),
                        {},
                        [aReply](const auto&) {
                          aReply({ 200, "text/plain", {}, "" });
                        });
  }

private:
  api::CorePort& port;
  std::uint16_t upstream;
  std::size_t step = 0;
  std::uint64_t sequence = 0;
};

// Sends a request to the control listener every 200 ms, which repeats the
// announcement.
inline void
KeepAnnouncing(std::uint16_t aControl)
{
  for (;;) {
    asio::io_context io;
    Tcp::socket socket(io);
    ErrorValue error;
    socket.connect({ asio::ip::address_v4::loopback(), aControl }, error);
    http::request<http::string_body> request(http::verb::get, "/step", 11);
    request.set(http::field::host, "bench");
    request.keep_alive(false);
    http::write(socket, request, error);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(socket, buffer, response, error);
    usleep(200000);
  }
}

inline Child
StartEntry(std::uint16_t aUpstream)
{
  return Fork([aUpstream](const auto& aReport) {
    StartLogging("RelayBench", LogLevel::Error);
    char secretFile[] = "relay-bench-secret-XXXXXX";
    const int file = mkstemp(secretFile);
    const std::string secret(64, 'a');
    if (write(file, secret.data(), secret.size()) < 0) {
      std::abort();
    }
    config::Settings settings;
    settings.cluster = "bench";
    settings.instance = InstanceId("a1");
    settings.dataCentre = DataCentreId("dc");
    settings.callersAddress = "127.0.0.1:0";
    settings.controlAddress = "127.0.0.1:0";
    settings.peersAddress = "127.0.0.1:0";
    settings.clusterSecretFile = secretFile;
    settings.peers = { { settings.instance, settings.dataCentre, "", true } };
    DaemonParts parts;
    parts.makeHandler = [aUpstream](api::CorePort& aPort) {
      return std::make_unique<BenchHandler>(aPort, aUpstream);
    };
    Daemon daemon(settings, parts);
    const auto started = daemon.Start();
    unlink(secretFile);
    if (!started) {
      std::abort();
    }
    std::thread announcing(
      [port = daemon.ControlPort()] { KeepAnnouncing(port); });
    aReport(daemon.CallersPort());
    daemon.Run();
  });
}

inline bool
WaitUntilServing(std::uint16_t aPort)
{
  for (int i = 0; i < 200; ++i) {
    asio::io_context io;
    Tcp::socket socket(io);
    ErrorValue error;
    socket.connect({ asio::ip::address_v4::loopback(), aPort }, error);
    http::request<http::string_body> request(
      http::verb::get, "/services/quotes/bytes/1", 11);
    request.set(http::field::host, "bench");
    http::write(socket, request, error);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(socket, buffer, response, error);
    if (!error && response.result_int() == 200) {
      return true;
    }
    usleep(50000);
  }
  return false;
}

} // namespace hyssoppaddle::bench

#endif
