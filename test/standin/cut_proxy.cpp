// TCP proxy for tests that silently drops data, delays it or resets
// connections. Not part of a release.
//
// cut_proxy LISTEN TARGET    for example: cut_proxy 127.0.0.1:0 127.0.0.1:7000
// Commands on standard input, one per line:
//   pass        forward everything (default)
//   drop        read and discard everything, like a network partition
//   delay MS    forward each piece after MS milliseconds
//   cut         close all connections with a reset; new ones are accepted
#include "shell/Asio.h"
#include "shell/Endpoint.h"

#include <array>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>

namespace {

using namespace hyssoppaddle::shell;

struct State
{
  bool drop = false;
  std::chrono::milliseconds delay{ 0 };
};

struct ConnectionPair
{
  explicit ConnectionPair(asio::io_context& aIo)
    : callerSide(aIo)
    , targetSide(aIo)
  {
  }
  void Reset()
  {
    for (Socket* socket : { &this->callerSide, &this->targetSide }) {
      ErrorValue ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
  Socket callerSide;
  Socket targetSide;
};

class Proxy
{
public:
  Proxy(asio::io_context& aIo, const Tcp::endpoint& aListen, Tcp::endpoint aTo)
    : io(aIo)
    , acceptor(aIo, aListen)
    , target(std::move(aTo))
    , input(aIo, ::dup(STDIN_FILENO))
  {
    std::cout << FormatEndpoint(this->acceptor.local_endpoint()) << std::endl;
    this->Accept();
    asio::co_spawn(aIo, this->ReadCommands(), asio::detached);
  }

private:
  void Accept()
  {
    auto pair = std::make_shared<ConnectionPair>(this->io);
    this->acceptor.async_accept(
      pair->callerSide, [this, pair](ErrorValue aError) {
        if (!aError) {
          this->pairs.insert(pair);
          asio::co_spawn(this->io, this->Connect(pair), asio::detached);
        }
        this->Accept();
      });
  }

  Awaitable<void> Connect(std::shared_ptr<ConnectionPair> aPair)
  {
    ErrorValue error;
    co_await aPair->targetSide.async_connect(this->target, StoreError(error));
    if (error) {
      aPair->Reset();
      this->pairs.erase(aPair);
      co_return;
    }
    asio::co_spawn(this->io,
                   this->Pump(aPair, aPair->callerSide, aPair->targetSide),
                   asio::detached);
    co_await this->Pump(aPair, aPair->targetSide, aPair->callerSide);
  }

  Awaitable<void> Pump(std::shared_ptr<ConnectionPair> aPair,
                       Socket& aFrom,
                       Socket& aTo)
  {
    std::array<char, 16384> piece{};
    ErrorValue error;
    while (!error) {
      const std::size_t got =
        co_await aFrom.async_read_some(asio::buffer(piece), StoreError(error));
      if (this->state.delay.count() > 0) {
        Timer pause(this->io, this->state.delay);
        ErrorValue ignored;
        co_await pause.async_wait(StoreError(ignored));
      }
      if (!error && !this->state.drop) {
        co_await asio::async_write(
          aTo, asio::buffer(piece.data(), got), StoreError(error));
      }
    }
    // In drop mode the other side must not see the end of the connection.
    if (!this->state.drop) {
      ErrorValue ignored;
      aTo.shutdown(Tcp::socket::shutdown_send, ignored);
    }
    if (!aPair->callerSide.is_open() || !aPair->targetSide.is_open()) {
      this->pairs.erase(aPair);
    }
  }

  Awaitable<void> ReadCommands()
  {
    std::string text;
    ErrorValue error;
    for (;;) {
      const std::size_t size = co_await asio::async_read_until(
        this->input, asio::dynamic_buffer(text), '\n', StoreError(error));
      if (error) {
        co_return;
      }
      this->ExecuteCommand(text.substr(0, size));
      text.erase(0, size);
    }
  }

  void ExecuteCommand(const std::string& aLine)
  {
    std::istringstream words(aLine);
    std::string command;
    long delayMs = 0;
    words >> command >> delayMs;
    if (command == "cut") {
      for (const auto& pair : this->pairs) {
        pair->Reset();
      }
      this->pairs.clear();
    } else {
      this->state.drop = command == "drop";
      this->state.delay =
        std::chrono::milliseconds(command == "delay" ? delayMs : 0);
    }
    std::cout << "ok " << command << std::endl;
  }

  asio::io_context& io;
  Acceptor acceptor;
  Tcp::endpoint target;
  asio::posix::basic_stream_descriptor<Executor> input;
  State state;
  std::set<std::shared_ptr<ConnectionPair>> pairs;
};

} // namespace

int
main(int argc, char** argv)
{
  if (argc != 3) {
    std::cerr << "usage: cut_proxy LISTEN TARGET\n";
    return 2;
  }
  asio::io_context io(1);
  Proxy proxy(
    io, ParseEndpoint(argv[1]).value(), ParseEndpoint(argv[2]).value());
  io.run();
  return 0;
}
