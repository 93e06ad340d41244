// Clients outside the limits of a node, for test/processes/hostile-clients.sh.
// Each opens connections to one address of the node, sends what its kind says
// and keeps the connection open. Prints a line once no client makes progress
// any more, and ends on SIGTERM.
//
// HostileClients --kind K --callers ADDRESS --control ADDRESS --ready ADDRESS
//   --metrics ADDRESS
// HostileClients --free-ports COUNT
#include "shell/Asio.h"
#include "shell/Endpoint.h"

#include <array>
#include <csignal>
#include <iostream>
#include <map>

namespace {

using namespace hyssoppaddle::shell;
using std::chrono::milliseconds;

constexpr std::size_t kMaxBodyBytes = 4UL * 1024 * 1024;
constexpr std::size_t kHeaderBytes = 15UL * 1024; // below the limit of 16 KiB
constexpr std::size_t kForwardedBytes = 250UL * 1024;
constexpr int kAttempts = 3; // connections that one client opens in turn
constexpr milliseconds kTick{ 100 };
constexpr int kQuietTicks = 10;
constexpr int kMaxTicks = 60;

// What one client sends: `head`, then `piece` several times, then `tail`.
struct Script
{
  std::string head;
  std::string piece;
  std::size_t pieces = 0;
  std::string tail = {};
  milliseconds delay{ 0 }; // before each piece
  // A client that does not read asks for a small receive buffer.
  bool reads = true;
};

struct Target
{
  std::string address;
  std::string method;
  std::string path;
};

struct Kind
{
  std::size_t clients = 0;                        // for each target
  Script (*make)(const Target&, int i) = nullptr; // i: number of the client
  std::size_t targets = 0; // the first ones of Targets(); 0: all
};

std::string
Repeat(std::string_view aText, std::size_t aTimes)
{
  std::string text;
  text.reserve(aText.size() * aTimes);
  for (std::size_t i = 0; i < aTimes; ++i) {
    text += aText;
  }
  return text;
}

std::string
RequestLine(const Target& aTarget)
{
  return aTarget.method + " " + aTarget.path + " HTTP/1.1\r\nHost: h\r\n";
}

std::string
WithLength(const Target& aTarget, std::size_t aBytes)
{
  return RequestLine(aTarget) + "Content-Length: " + std::to_string(aBytes) +
         "\r\n\r\n";
}

std::string
Chunked(const Target& aTarget)
{
  return RequestLine(aTarget) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string
Chunk(std::size_t aBytes)
{
  std::ostringstream text;
  text << std::hex << aBytes << "\r\n" << std::string(aBytes, 'x') << "\r\n";
  return text.str();
}

Target
AsGet(Target aTarget, const std::string& aPath)
{
  aTarget.method = "GET";
  aTarget.path = aPath;
  return aTarget;
}

Script
Whole(const Target& aTarget, int /*aClient*/)
{
  Script script{ WithLength(aTarget, kMaxBodyBytes), "", 0, "" };
  script.tail.assign(kMaxBodyBytes - 1, 'x');
  return script;
}

Script
Pieces(const Target& aTarget, int /*aClient*/)
{
  return { WithLength(aTarget, kMaxBodyBytes), std::string(1024, 'x'), 4095 };
}

Script
Chunks(const Target& aTarget, int /*aClient*/)
{
  return { Chunked(aTarget), Chunk(1024), 4095 };
}

Script
Oversized(const Target& aTarget, int aClient)
{
  const std::string piece = Chunk(64UL * 1024);
  return { aClient % 2 == 0 ? WithLength(aTarget, 1'000'000'000'000)
                            : Chunked(aTarget),
           piece,
           1000 };
}

Script
Fields(const Target& aTarget, int /*aClient*/)
{
  return { RequestLine(aTarget) + Repeat("a:b\r\n", kHeaderBytes / 5) +
             "Content-Length: 100\r\n\r\n",
           "",
           0,
           std::string(99, 'x') };
}

Script
Query(const Target& aTarget, int /*aClient*/)
{
  Target target = aTarget;
  target.path += "?" + Repeat("a&", kHeaderBytes / 2);
  return { WithLength(target, 100), "", 0, std::string(99, 'x') };
}

// Complete requests whose bodies are legal JSON, or its beginning.
Script
Json(const Target& aTarget, int aClient)
{
  std::string body;
  switch (aClient % 4) {
    case 0:
      body = Repeat("[", kMaxBodyBytes / 2) + Repeat("]", kMaxBodyBytes / 2);
      break;
    case 1:
      body = "[" + Repeat("0,", kMaxBodyBytes / 2 - 1) + "0]";
      break;
    case 2:
      body = Repeat("{\"a\":", kMaxBodyBytes / 6) + "0" +
             Repeat("}", kMaxBodyBytes / 6);
      break;
    default:
      body = "{";
      for (int i = 0; body.size() < kMaxBodyBytes - 32; ++i) {
        body += "\"" + std::to_string(i) + "\":0,";
      }
      body += "\"z\":0}";
  }
  const std::string request = WithLength(aTarget, body.size()) + body;
  return { "", request, 4 };
}

Script
Pipeline(const Target& aTarget, int /*aClient*/)
{
  Script script{ "",
                 RequestLine(AsGet(aTarget, aTarget.path)) + "\r\n",
                 20000 };
  script.reads = false;
  return script;
}

Script
Senders(const Target& aTarget, int aClient)
{
  const bool stopsInHeader = aClient % 2 == 0;
  Script script{ stopsInHeader ? RequestLine(aTarget) + "X-Long: "
                               : WithLength(aTarget, kMaxBodyBytes),
                 "x",
                 10000 };
  script.delay = milliseconds(50);
  return script;
}

Script
Readers(const Target& aTarget, int /*aClient*/)
{
  Script script{ "", RequestLine(AsGet(aTarget, "/config")) + "\r\n", 64 };
  script.reads = false;
  return script;
}

// Stops in the request line, the header, the body or the answer.
Script
Halfway(const Target& aTarget, int aClient)
{
  const std::string line = RequestLine(aTarget);
  Script script;
  switch (aClient % 4) {
    case 0:
      script.head = aTarget.method + " " + aTarget.path;
      break;
    case 1:
      script.head = line + "X-Long: " + std::string(kHeaderBytes - 200, 'x');
      break;
    case 2:
      script.head = WithLength(aTarget, 64UL * 1024) + std::string(4000, 'x');
      break;
    default:
      script.head = RequestLine(AsGet(aTarget, aTarget.path)) + "\r\n";
      script.reads = false;
  }
  return script;
}

// Complete requests inside the limits, many at once.
Script
Forwarded(const Target& aTarget, int aClient)
{
  Target target = aTarget;
  target.path += "0123456789ab" + std::to_string(1000 + aClient);
  const std::string body = "{\"spec\":\"" +
                           std::string(kForwardedBytes - 50, 'x') +
                           "\",\"steps\":[]}";
  return { "", WithLength(target, body.size()) + body, 8 };
}

// Each connection counts for the descriptors of the node, and 32 are open at
// most to the addresses of the probes.
const std::map<std::string, Kind> kKinds{
  { "whole", { 24, Whole, 0 } },      { "pieces", { 24, Pieces, 0 } },
  { "chunks", { 24, Chunks, 0 } },    { "oversized", { 24, Oversized, 0 } },
  { "fields", { 200, Fields, 0 } },   { "query", { 200, Query, 0 } },
  { "json", { 8, Json, 3 } },         { "pipeline", { 24, Pipeline, 0 } },
  { "senders", { 200, Senders, 0 } }, { "readers", { 200, Readers, 1 } },
  { "halfway", { 200, Halfway, 0 } }, { "forwarded", { 200, Forwarded, 2 } },
};

class Crowd
{
public:
  explicit Crowd(asio::io_context& aIo)
    : io(aIo)
    , signals(aIo, SIGTERM)
  {
    this->signals.async_wait([this](ErrorValue, int) { this->io.stop(); });
  }

  void Add(const Target& aTarget, const Kind& aKind)
  {
    for (std::size_t i = 0; i < aKind.clients; ++i) {
      asio::co_spawn(this->io,
                     this->RunClient(aTarget, aKind, static_cast<int>(i)),
                     asio::detached);
    }
  }

  Awaitable<void> ReportWhenQuiet()
  {
    std::uint64_t seen = 0;
    for (int tick = 0, quiet = 0; tick < kMaxTicks && quiet < kQuietTicks;
         ++tick) {
      co_await this->Pause(kTick);
      quiet = this->sent == seen ? quiet + 1 : 0;
      seen = this->sent;
    }
    std::cout << "settled: connections " << this->connections << ", closed "
              << this->closed << ", bytes " << this->sent << std::endl;
  }

private:
  Awaitable<void> Pause(milliseconds aTime)
  {
    Timer timer(this->io, aTime);
    ErrorValue ignored;
    co_await timer.async_wait(StoreError(ignored));
  }

  Awaitable<void> RunClient(Target aTarget, Kind aKind, int aClient)
  {
    const Script script = aKind.make(aTarget, aClient);
    const auto endpoint = ParseEndpoint(aTarget.address);
    for (int attempt = 0; endpoint && attempt < kAttempts; ++attempt) {
      const auto socket = std::make_shared<Socket>(this->io);
      ErrorValue error;
      socket->open(Tcp::v4(), error);
      if (!script.reads) {
        socket->set_option(asio::socket_base::receive_buffer_size(4096), error);
      }
      co_await socket->async_connect(*endpoint, StoreError(error));
      if (error) {
        continue;
      }
      ++this->connections;
      if (script.reads) {
        asio::co_spawn(this->io, ReadAll(socket), asio::detached);
      }
      co_await this->Send(*socket, script);
      if (!script.reads) {
        this->held.push_back(socket);
        co_return;
      }
      co_await socket->async_wait(asio::socket_base::wait_error,
                                  StoreError(error));
      ++this->closed;
    }
  }

  static Awaitable<void> ReadAll(std::shared_ptr<Socket> aSocket)
  {
    std::array<char, 4096> piece{};
    ErrorValue error;
    while (!error) {
      co_await aSocket->async_read_some(asio::buffer(piece), StoreError(error));
    }
    aSocket->cancel(error);
    aSocket->close(error);
  }

  Awaitable<void> Send(Socket& aSocket, const Script& aScript)
  {
    bool open = co_await this->Write(aSocket, aScript.head);
    for (std::size_t i = 0; open && i < aScript.pieces; ++i) {
      if (aScript.delay.count() > 0) {
        co_await this->Pause(aScript.delay);
      }
      open = co_await this->Write(aSocket, aScript.piece);
    }
    if (open) {
      co_await this->Write(aSocket, aScript.tail);
    }
  }

  Awaitable<bool> Write(Socket& aSocket, const std::string& aText)
  {
    ErrorValue error;
    std::size_t offset = 0;
    while (!error && offset < aText.size()) {
      const std::size_t bytes = co_await aSocket.async_write_some(
        asio::buffer(aText) + offset, StoreError(error));
      offset += bytes;
      this->sent += bytes;
    }
    co_return !error;
  }

  asio::io_context& io;
  asio::signal_set signals;
  std::vector<std::shared_ptr<Socket>> held;
  std::uint64_t sent = 0;
  std::uint64_t connections = 0;
  std::uint64_t closed = 0; // by the node
};

// Prints ports that are free on 127.0.0.1, different from each other.
void
PrintFreePorts(int aCount)
{
  asio::io_context io;
  std::vector<Acceptor> acceptors;
  for (int i = 0; i < aCount; ++i) {
    acceptors.emplace_back(io,
                           Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::cout << acceptors.back().local_endpoint().port() << '\n';
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::map<std::string, std::string> values;
  for (int i = 1; i + 1 < aCount; i += 2) {
    values[aArguments[i]] = aArguments[i + 1];
  }
  if (values.contains("--free-ports")) {
    PrintFreePorts(std::stoi(values["--free-ports"]));
    return 0;
  }
  const auto kind = kKinds.find(values["--kind"]);
  if (kind == kKinds.end()) {
    for (const auto& [name, ignored] : kKinds) {
      std::cout << name << '\n';
    }
    return 2;
  }
  const std::array<Target, 6> targets{
    Target{ values["--control"], "PUT", "/config" },
    Target{ values["--callers"], "POST", "/q/" },
    Target{ values["--control"], "POST", "/wave-start" },
    Target{ values["--callers"], "POST", "/none/" },
    Target{ values["--ready"], "POST", "/" },
    Target{ values["--metrics"], "POST", "/metrics" }
  };
  const std::size_t count =
    kind->second.targets == 0 ? targets.size() : kind->second.targets;
  asio::io_context io;
  Crowd crowd(io);
  for (std::size_t i = 0; i < count; ++i) {
    crowd.Add(targets[i], kind->second);
  }
  asio::co_spawn(io, crowd.ReportWhenQuiet(), asio::detached);
  io.run();
  return 0;
}
