// Measures throughput, latency and memory of the relay. One run compares
// requests through an entry instance, through a minimal relay without routing,
// and sent directly to the stand-in upstream. Each part runs in its own
// process.
//
// Usage: RelayBench [seconds per phase, default 2] [connections, default 32]
#include "../test/standin/UpstreamStandin.h"
#include "RelayBenchParts.h"

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace {

using namespace hyssoppaddle::shell;
using namespace hyssoppaddle::bench;

struct Load
{
  std::uint16_t port = 0;
  std::string target;
  int connections = 32;
  double seconds = 2;
  double rate = 0; // requests per second over all connections; 0: no pause
};

struct Figures
{
  double perSecond = 0;
  double p50 = 0; // microseconds
  double p99 = 0;
};

Awaitable<void>
RunConnection(asio::io_context& aIo,
              const Load& aLoad,
              int aNumber,
              std::vector<double>& aTimes)
{
  beast::flat_buffer buffer;
  Socket socket(aIo);
  ErrorValue error;
  const Tcp::endpoint endpoint(asio::ip::address_v4::loopback(), aLoad.port);
  co_await socket.async_connect(endpoint, StoreError(error));
  socket.set_option(Tcp::no_delay(true), error);
  const std::string request =
    "GET " + aLoad.target + " HTTP/1.1\r\nHost: bench\r\n\r\n";
  const auto end =
    SteadyClock::now() + std::chrono::duration<double>(aLoad.seconds);
  const std::chrono::duration<double> interval(
    aLoad.rate > 0 ? aLoad.connections / aLoad.rate : 0);
  auto sendAt =
    SteadyClock::now() + std::chrono::duration_cast<SteadyClock::duration>(
                           interval * aNumber / aLoad.connections);
  Timer timer(aIo);
  while (!error && SteadyClock::now() < end) {
    if (aLoad.rate > 0) {
      timer.expires_at(sendAt);
      co_await timer.async_wait(StoreError(error));
      sendAt += std::chrono::duration_cast<SteadyClock::duration>(interval);
    }
    const auto start = SteadyClock::now();
    co_await asio::async_write(
      socket, asio::buffer(request), StoreError(error));
    http::response<http::string_body> answer;
    co_await http::async_read(socket, buffer, answer, StoreError(error));
    if (!error && answer.result_int() == 200) {
      aTimes.push_back(
        std::chrono::duration<double, std::micro>(SteadyClock::now() - start)
          .count());
    }
  }
}

Figures
Run(const Load& aLoad)
{
  asio::io_context io(1);
  std::vector<double> times;
  for (int i = 0; i < aLoad.connections; ++i) {
    asio::co_spawn(io, RunConnection(io, aLoad, i, times), asio::detached);
  }
  io.run();
  Figures figures;
  if (!times.empty()) {
    std::sort(times.begin(), times.end());
    figures.perSecond = static_cast<double>(times.size()) / aLoad.seconds;
    figures.p50 = times[times.size() / 2];
    figures.p99 = times[times.size() * 99 / 100];
  }
  return figures;
}

double
Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

void
Print(const char* aName, const Figures& aFigures)
{
  std::printf("  %-8s %9.0f requests/s  p50 %7.0f us  p99 %7.0f us\n",
              aName,
              aFigures.perSecond,
              aFigures.p50,
              aFigures.p99);
}

struct Ports
{
  std::uint16_t direct = 0;
  std::uint16_t plain = 0;
  std::uint16_t entry = 0;
};

void
CompareThroughput(const Ports& aPorts, Load aLoad, double& aEntryRate)
{
  constexpr int kRounds = 3;
  std::vector<double> ratios;
  std::vector<double> rates;
  for (int round = 0; round < kRounds; ++round) {
    aLoad.target = "/bytes/1024";
    aLoad.port = aPorts.direct;
    Print("direct", Run(aLoad));
    aLoad.port = aPorts.plain;
    const Figures plain = Run(aLoad);
    Print("plain", plain);
    aLoad.target = "/services/quotes/bytes/1024";
    aLoad.port = aPorts.entry;
    const Figures entry = Run(aLoad);
    Print("entry", entry);
    ratios.push_back(entry.perSecond / plain.perSecond);
    rates.push_back(entry.perSecond);
  }
  aEntryRate = Median(rates);
  std::printf("throughput of the entry / plain relay: %.2f (median of %d)\n",
              Median(ratios),
              kRounds);
}

void
CompareLatency(const Ports& aPorts, Load aLoad)
{
  constexpr int kRounds = 3;
  std::vector<double> added50;
  std::vector<double> added99;
  for (int round = 0; round < kRounds; ++round) {
    aLoad.target = "/bytes/1024";
    aLoad.port = aPorts.direct;
    const Figures direct = Run(aLoad);
    Print("direct", direct);
    aLoad.target = "/services/quotes/bytes/1024";
    aLoad.port = aPorts.entry;
    const Figures entry = Run(aLoad);
    Print("entry", entry);
    added50.push_back(entry.p50 - direct.p50);
    added99.push_back(entry.p99 - direct.p99);
  }
  std::printf("added at half load: p50 %.0f us, p99 %.0f us (medians of %d)\n",
              Median(added50),
              Median(added99),
              kRounds);
}

void
MeasureMemory(const Ports& aPorts, const Child& aEntry)
{
  for (const char* bytes : { "0", "1", "65536", "67108864" }) {
    Load load;
    load.port = aPorts.entry;
    load.connections = 4;
    load.seconds = 1;
    load.target = std::string("/services/quotes/bytes/") + bytes;
    Run(load);
    std::printf("  bodies of %8s bytes: resident %5.1f MiB\n",
                bytes,
                static_cast<double>(ResidentKb(aEntry)) / 1024);
  }
}

} // namespace

int
main(int argc, char** argv)
{
  Load load;
  load.seconds = argc > 1 ? std::atof(argv[1]) : 2;
  load.connections = argc > 2 ? std::atoi(argv[2]) : 32;
  const Child upstream = StartUpstream();
  const Child plain = StartPlainRelay(upstream.port);
  const Child entry = StartEntry(upstream.port);
  const Ports ports{ upstream.port, plain.port, entry.port };
  if (!WaitUntilServing(entry.port)) {
    std::fprintf(stderr, "the entry instance did not become ready\n");
    return 1;
  }
  std::printf("full load, %d connections, 1 KiB answers\n", load.connections);
  double rate = 0;
  CompareThroughput(ports, load, rate);
  std::printf("half load, %.0f requests/s\n", rate / 2);
  load.rate = rate / 2;
  CompareLatency(ports, load);
  std::printf("memory of the entry instance\n");
  MeasureMemory(ports, entry);
  return 0;
}
