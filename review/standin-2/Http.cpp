// Sockets and message parsing of the client and the server.
#include "Http.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kPollStepMs = 50;
constexpr std::size_t kReadBytes = 16384;

sockaddr_in
ParseAddress(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

bool
WaitFor(int aSocket, short aEvents, std::int64_t aUntilMs)
{
  pollfd item{ aSocket, aEvents, 0 };
  const auto left = std::max<std::int64_t>(aUntilMs - SteadyMs(), 0);
  return ::poll(&item, 1, static_cast<int>(left)) > 0;
}

bool
WriteAll(int aSocket, const std::string& aText, std::int64_t aUntilMs)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    if (!WaitFor(aSocket, POLLOUT, aUntilMs)) {
      return false;
    }
    const auto count =
      ::send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aByte) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aByte)));
  });
  return aText;
}

struct Message
{
  std::string firstLine;
  Headers headers;
  std::string body;
};

// Takes one complete message from the front of aBuffer.
std::optional<Message>
TakeMessage(std::string& aBuffer)
{
  const auto end = aBuffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return std::nullopt;
  }
  Message message;
  std::size_t at = aBuffer.find("\r\n");
  message.firstLine = aBuffer.substr(0, at);
  while (at < end) {
    const std::size_t begin = at + 2;
    at = aBuffer.find("\r\n", begin);
    const std::string line = aBuffer.substr(begin, at - begin);
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const auto value = line.find_first_not_of(' ', colon + 1);
    message.headers[Lower(line.substr(0, colon))] =
      value == std::string::npos ? std::string() : line.substr(value);
  }
  const std::string& length = message.headers["content-length"];
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  const std::size_t bodyBegin = end + 4;
  if (aBuffer.size() < bodyBegin + size) {
    return std::nullopt;
  }
  message.body = aBuffer.substr(bodyBegin, size);
  aBuffer.erase(0, bodyBegin + size);
  return message;
}

bool
ReadMore(int aSocket, std::string& aBuffer)
{
  std::string piece(kReadBytes, '\0');
  const auto count = ::recv(aSocket, piece.data(), piece.size(), 0);
  if (count <= 0) {
    return false;
  }
  aBuffer.append(piece, 0, static_cast<std::size_t>(count));
  return true;
}

std::string
Format(const std::string& aFirstLine,
       const Headers& aHeaders,
       const std::string& aBody)
{
  std::string text = aFirstLine + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "content-length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

} // namespace

std::int64_t
SteadyMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
    .count();
}

Reply
Send(const std::string& aAddress, const Request& aRequest, int aLimitMs)
{
  const std::int64_t until = SteadyMs() + aLimitMs;
  Reply none;
  none.status = 0;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (socket < 0) {
    return none;
  }
  Reply reply = none;
  const sockaddr_in address = ParseAddress(aAddress);
  Headers headers = aRequest.headers;
  headers.try_emplace("host", aAddress);
  headers["connection"] = "close";
  headers["content-type"] = "application/json";
  const std::string text =
    Format(aRequest.method + " " + aRequest.target + " HTTP/1.1",
           headers,
           aRequest.body);
  const bool connecting = ::connect(socket,
                                    reinterpret_cast<const sockaddr*>(&address),
                                    sizeof(address)) == 0 ||
                          errno == EINPROGRESS;
  if (connecting && WriteAll(socket, text, until)) {
    std::string buffer;
    while (WaitFor(socket, POLLIN, until) && ReadMore(socket, buffer)) {
      if (auto message = TakeMessage(buffer)) {
        reply.status = std::stoi(message->firstLine.substr(9, 3));
        reply.location = message->headers["location"];
        reply.body = std::move(message->body);
        break;
      }
    }
  }
  ::close(socket);
  return reply;
}

Server::Server(const std::string& aAddress, Handler aHandler)
  : handler(std::move(aHandler))
{
  this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ParseAddress(aAddress);
  if (::bind(this->listener,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(this->listener, SOMAXCONN) != 0) {
    throw std::runtime_error("cannot listen on " + aAddress);
  }
  ++this->threads;
  std::thread([this] { this->Accept(); }).detach();
}

Server::~Server()
{
  this->stopping = true;
  ::shutdown(this->listener, SHUT_RDWR);
  {
    const std::lock_guard lock(this->mutex);
    for (const int socket : this->sockets) {
      ::shutdown(socket, SHUT_RDWR);
    }
  }
  while (this->threads > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  ::close(this->listener);
}

void
Server::Accept()
{
  while (!this->stopping) {
    const int socket = ::accept(this->listener, nullptr, nullptr);
    if (socket < 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      continue;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      const std::lock_guard lock(this->mutex);
      this->sockets.insert(socket);
    }
    ++this->threads;
    std::thread([this, socket] { this->Serve(socket); }).detach();
  }
  --this->threads;
}

void
Server::Serve(int aSocket)
{
  std::string buffer;
  bool open = true;
  while (open && !this->stopping) {
    if (!WaitFor(aSocket, POLLIN, SteadyMs() + kPollStepMs)) {
      continue;
    }
    open = ReadMore(aSocket, buffer);
    while (auto message = TakeMessage(buffer)) {
      Request request;
      const auto first = message->firstLine.find(' ');
      const auto second = message->firstLine.find(' ', first + 1);
      request.method = message->firstLine.substr(0, first);
      request.target = message->firstLine.substr(first + 1, second - first - 1);
      request.headers = std::move(message->headers);
      request.body = std::move(message->body);
      const Reply reply = this->handler(request);
      const std::string text =
        Format("HTTP/1.1 " + std::to_string(reply.status) + " -",
               { { "content-type", "application/json" } },
               reply.body);
      open = open && WriteAll(aSocket, text, SteadyMs() + 1000);
    }
  }
  {
    const std::lock_guard lock(this->mutex);
    this->sockets.erase(aSocket);
  }
  ::close(aSocket);
  --this->threads;
}

bool
AreFree(const std::string& aHost, const std::vector<int>& aPorts)
{
  return std::all_of(aPorts.begin(), aPorts.end(), [&](int aPort) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address =
      ParseAddress(aHost + ":" + std::to_string(aPort));
    const bool isFree = ::bind(socket,
                               reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address)) == 0;
    ::close(socket);
    return isFree;
  });
}

} // namespace review
