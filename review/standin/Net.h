// Blocking HTTP/1.1 over POSIX sockets: a client call with a time limit, and a
// server with one thread a connection.
#ifndef review_standin_Net_h
#define review_standin_Net_h

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

using Headers = std::map<std::string, std::string>; // names in lower case

struct Message
{
  std::string method; // of a request
  std::string target;
  int status = 0; // of a response; 0: there was none
  Headers headers;
  std::string body;
};

inline std::int64_t
SteadyMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
    .count();
}

inline std::int64_t
WallMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

inline sockaddr_in
Endpoint(const std::string& aAddress)
{
  sockaddr_in address{};
  const auto colon = aAddress.rfind(':');
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::atoi(aAddress.c_str() + colon + 1)));
  ::inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

inline bool
WaitFor(int aSocket, short aEvents, std::int64_t aUntil)
{
  const std::int64_t left = aUntil - SteadyMs();
  pollfd entry{ aSocket, aEvents, 0 };
  return left > 0 && ::poll(&entry, 1, static_cast<int>(left)) > 0;
}

inline bool
WriteAll(int aSocket, const std::string& aText, std::int64_t aUntil)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const auto count =
      ::send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else if (errno != EAGAIN || !WaitFor(aSocket, POLLOUT, aUntil)) {
      return false;
    }
  }
  return true;
}

// Reads one message; aBuffer keeps what follows it.
inline bool
ReadMessage(int aSocket,
            std::string& aBuffer,
            Message& aMessage,
            std::int64_t aUntil)
{
  const auto more = [&] {
    char bytes[16384];
    while (true) {
      const auto count = ::recv(aSocket, bytes, sizeof(bytes), MSG_DONTWAIT);
      if (count > 0) {
        aBuffer.append(bytes, static_cast<std::size_t>(count));
        return true;
      }
      if (count == 0 || (errno != EAGAIN && errno != EINTR) ||
          !WaitFor(aSocket, POLLIN, aUntil)) {
        return false;
      }
    }
  };
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  const std::string head = aBuffer.substr(0, end + 2);
  aBuffer.erase(0, end + 4);
  std::size_t at = head.find("\r\n");
  const std::string first = head.substr(0, at);
  if (first.rfind("HTTP/", 0) == 0) {
    aMessage.status = std::atoi(first.c_str() + 9);
  } else {
    const auto space = first.find(' ');
    aMessage.method = first.substr(0, space);
    aMessage.target = first.substr(space + 1, first.rfind(' ') - space - 1);
  }
  for (at += 2; at < head.size();) {
    const auto lineEnd = head.find("\r\n", at);
    const std::string line = head.substr(at, lineEnd - at);
    at = lineEnd + 2;
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const auto value = line.find_first_not_of(' ', colon + 1);
    aMessage.headers[name] =
      value == std::string::npos ? "" : line.substr(value);
  }
  const auto length = static_cast<std::size_t>(
    std::atoll(aMessage.headers["content-length"].c_str()));
  while (aBuffer.size() < length) {
    if (!more()) {
      return false;
    }
  }
  aMessage.body = aBuffer.substr(0, length);
  aBuffer.erase(0, length);
  return true;
}

// One request on a connection of its own. The status is 0 without an answer.
inline Message
CallOnce(const std::string& aAddress,
         const std::string& aMethod,
         const std::string& aTarget,
         const std::string& aBody,
         const Headers& aHeaders,
         std::int64_t aLimitMs)
{
  Message answer;
  const std::int64_t until = SteadyMs() + aLimitMs;
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
  const sockaddr_in address = Endpoint(aAddress);
  const int connected =
    ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  int error = 0;
  socklen_t size = sizeof(error);
  const bool isOpen =
    connected == 0 ||
    (errno == EINPROGRESS && WaitFor(fd, POLLOUT, until) &&
     ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0);
  if (isOpen) {
    std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
    if (!aHeaders.contains("Host")) {
      text += "Host: " + aAddress + "\r\n";
    }
    for (const auto& [name, value] : aHeaders) {
      text += name + ": " + value + "\r\n";
    }
    text += "Content-Type: application/json\r\nConnection: close\r\n"
            "Content-Length: " +
            std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    std::string buffer;
    if (!WriteAll(fd, text, until) || !ReadMessage(fd, buffer, answer, until)) {
      answer = Message{};
    }
  }
  ::close(fd);
  return answer;
}

// Follows a redirect twice, as callers of `control` do.
inline Message
CallFollowing(std::string aAddress,
              const std::string& aMethod,
              std::string aTarget,
              const std::string& aBody,
              const Headers& aHeaders,
              std::int64_t aLimitMs)
{
  for (int hops = 0;; ++hops) {
    Message answer =
      CallOnce(aAddress, aMethod, aTarget, aBody, aHeaders, aLimitMs);
    const std::string location = answer.headers["location"];
    const std::string scheme = "http://";
    if (answer.status != 307 || hops == 2 || location.rfind(scheme, 0) != 0) {
      return answer;
    }
    const auto slash = location.find('/', scheme.size());
    aAddress = location.substr(scheme.size(), slash - scheme.size());
    aTarget = location.substr(slash);
  }
}

// Serves requests until it is closed. A handler that returns false resets the
// connection without an answer.
class Server
{
public:
  using Handler = std::function<bool(const Message&, Message&)>;

  Server(const std::string& aAddress, Handler aHandler)
    : handler(std::move(aHandler))
  {
    this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = Endpoint(aAddress);
    const bool isListening = ::bind(this->listener,
                                    reinterpret_cast<const sockaddr*>(&address),
                                    sizeof(address)) == 0 &&
                             ::listen(this->listener, 128) == 0;
    if (!isListening) {
      std::_Exit(2);
    }
    this->acceptor = std::thread([this] { this->Accept(); });
  }

  ~Server()
  {
    this->closed = true;
    ::shutdown(this->listener, SHUT_RDWR);
    {
      const std::lock_guard lock(this->mutex);
      for (const int fd : this->open) {
        ::shutdown(fd, SHUT_RDWR);
      }
    }
    this->acceptor.join();
    ::close(this->listener);
    while (this->serving > 0) {
      SleepMs(1);
    }
  }

private:
  static constexpr std::int64_t kIdleMs = 120000;

  void Accept()
  {
    while (!this->closed) {
      const int fd = ::accept(this->listener, nullptr, nullptr);
      if (fd < 0) {
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard lock(this->mutex);
      this->open.insert(fd);
      ++this->serving;
      std::thread([this, fd] { this->Serve(fd); }).detach();
    }
  }

  void Serve(int aSocket)
  {
    std::string buffer;
    while (!this->closed) {
      Message request;
      Message answer;
      if (!ReadMessage(aSocket, buffer, request, SteadyMs() + kIdleMs) ||
          !this->handler(request, answer) || this->closed) {
        break;
      }
      const std::string text =
        "HTTP/1.1 " + std::to_string(answer.status) +
        " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
      if (!WriteAll(aSocket, text, SteadyMs() + kIdleMs)) {
        break;
      }
    }
    const std::lock_guard lock(this->mutex);
    this->open.erase(aSocket);
    ::close(aSocket);
    --this->serving;
  }

  Handler handler;
  int listener = -1;
  std::atomic<bool> closed{ false };
  std::atomic<int> serving{ 0 };
  std::mutex mutex;
  std::set<int> open;
  std::thread acceptor;
};

} // namespace review

#endif
