// Stand-in for the operator: sends complete configurations with rising
// versions, one after the other. Follows a 307 twice, moves on to another
// daemon after any other failure, and sends a change that got no clear answer
// again unchanged.
//
// Usage: Operator ROUTES FIRST LAST PAUSE_MS CONTROL...
//   ROUTES    routes of each configuration
//   FIRST     first version; the versions up to LAST follow
//   PAUSE_MS  pause after each acknowledged change
//   CONTROL   addresses IP:PORT of the daemons that serve control
// Prints one line for each acknowledged version, and one for each answer that
// is no acknowledgement.
#include <arpa/inet.h>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

struct Answer
{
  int status = 0; // 0: none
  std::string location;
};

std::string
RoutesAndServices(int aRoutes)
{
  std::string text = "\"routes\":[";
  for (int i = 0; i < aRoutes; ++i) {
    const std::string n = std::to_string(i);
    text += std::string(i == 0 ? "" : ",") + "{\"name\":\"r-x" + n +
            "\",\"host\":\"pule25.example\",\"path_prefix\":\"/puxa" + n +
            "/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
            "\"target_completion_ms\":2500,\"priority\":0,\"service\":\"s0\","
            "\"max_attempts\":3,\"stretch\":2.2,\"allow_anonymous\":true}";
  }
  return text + "],\"services\":[{\"name\":\"s0\",\"health_path\":\"/healthz\","
                "\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,"
                "\"enforces_capacity\":true,\"standby\":false}],"
                "\"limits\":{},\"tenants\":[]}";
}

int
Connect(const std::string& aAddress, int aTimeoutMs)
{
  const auto colon = aAddress.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(
    static_cast<std::uint16_t>(std::atoi(aAddress.substr(colon + 1).c_str())));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &to.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{ aTimeoutMs / 1000, (aTimeoutMs % 1000) * 1000 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

Answer
Put(const std::string& aAddress, const std::string& aBody)
{
  Answer answer;
  const int fd = Connect(aAddress, 4000);
  if (fd < 0) {
    return answer;
  }
  const std::string request =
    "PUT /config HTTP/1.1\r\nHost: " + aAddress +
    "\r\nContent-Type: application/json\r\nConnection: close\r\n"
    "Content-Length: " +
    std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  std::size_t sent = 0;
  while (sent < request.size()) {
    const ssize_t count =
      send(fd, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      break;
    }
    sent += static_cast<std::size_t>(count);
  }
  std::string reply;
  char piece[4096];
  while (reply.find("\r\n\r\n") == std::string::npos) {
    const ssize_t count = recv(fd, piece, sizeof(piece), 0);
    if (count <= 0) {
      break;
    }
    reply.append(piece, static_cast<std::size_t>(count));
  }
  close(fd);
  if (reply.size() > 12 && reply.find("\r\n\r\n") != std::string::npos) {
    answer.status = std::atoi(reply.c_str() + 9);
    const auto at = reply.find("Location: http://");
    if (at != std::string::npos) {
      const auto begin = at + 17;
      answer.location = reply.substr(begin, reply.find('/', begin) - begin);
    }
  }
  return answer;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount < 6) {
    return 2;
  }
  const int routes = std::atoi(aArguments[1]);
  const int first = std::atoi(aArguments[2]);
  const int last = std::atoi(aArguments[3]);
  const int pauseMs = std::atoi(aArguments[4]);
  const std::vector<std::string> daemons(aArguments + 5, aArguments + aCount);
  const std::string rest = RoutesAndServices(routes);
  const auto begun = Clock::now();
  std::size_t next = 0;
  for (int version = first; version <= last; ++version) {
    const std::string body =
      "{\"version\":" + std::to_string(version) + "," + rest;
    int backoffMs = 50;
    for (;;) {
      std::string to = daemons[next++ % daemons.size()];
      Answer answer = Put(to, body);
      for (int hop = 0; hop < 2 && answer.status == 307; ++hop) {
        to = answer.location;
        answer = Put(to, body);
      }
      const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        Clock::now() - begun)
                        .count();
      if (answer.status == 200) {
        std::cout << ms << " ms: version " << version << " with " << routes
                  << " routes acknowledged by " << to << std::endl;
        break;
      }
      std::cout << ms << " ms: version " << version << " answered "
                << answer.status << " by " << to << std::endl;
      std::this_thread::sleep_for(std::chrono::milliseconds(backoffMs));
      backoffMs = std::min(backoffMs * 2, 400);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(pauseMs));
  }
  return 0;
}
