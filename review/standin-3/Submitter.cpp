// Stand-in for a client that hands in scheduled jobs, or asks for them.
//
// Usage: Submitter submit COUNT OCCURRENCES SUBTASKS PAUSE_MS SECONDS FRONT...
//        Submitter ask COUNT SECONDS FRONT...
//   submit  hands in the jobs 1 to COUNT, one after the other, each with one
//   step of SUBTASKS subtasks
//           that runs OCCURRENCES times, once a minute, for the first time in
//           an hour
//   ask     asks for the state of the jobs that were accepted (their numbers
//   come on standard input) FRONT   addresses IP:PORT of the daemons
// A call without an answer, a 502 or a 504 is sent again, to the next daemon; a
// 429 or 503 ends a job as rejected. `submit` prints the number of each
// accepted job on standard output; both print all calls on standard error.
// After SECONDS the program ends.
#include <arpa/inet.h>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
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
  std::string body;
};

Answer
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody)
{
  Answer answer;
  const auto colon = aAddress.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(
    static_cast<std::uint16_t>(std::atoi(aAddress.substr(colon + 1).c_str())));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &to.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{ 3, 0 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const std::string request =
    aMethod + " " + aPath +
    " HTTP/1.1\r\nHost: pule25.example\r\nX-Deadline-Ms: 3000\r\n"
    "Content-Type: application/json\r\nConnection: close\r\nContent-Length: " +
    std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0 &&
      send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
        static_cast<ssize_t>(request.size())) {
    std::string reply;
    char piece[4096];
    for (;;) {
      const ssize_t count = recv(fd, piece, sizeof(piece), 0);
      if (count <= 0) {
        break;
      }
      reply.append(piece, static_cast<std::size_t>(count));
    }
    const auto end = reply.find("\r\n\r\n");
    if (end != std::string::npos) {
      answer.status = std::atoi(reply.c_str() + 9);
      answer.body = reply.substr(end + 4);
    }
  }
  close(fd);
  return answer;
}

std::string
IdOf(int aNumber)
{
  char text[17];
  std::snprintf(text, sizeof(text), "5c0e7a21%08x", aNumber);
  return text;
}

long
MsSince(Clock::time_point aBegin)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               aBegin)
    .count();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const bool submits = aCount > 7 && std::string(aArguments[1]) == "submit";
  if (!submits && aCount < 5) {
    return 2;
  }
  const int count = std::atoi(aArguments[2]);
  const int seconds = std::atoi(aArguments[submits ? 6 : 3]);
  const std::vector<std::string> daemons(aArguments + (submits ? 7 : 4),
                                         aArguments + aCount);
  std::string body;
  int pauseMs = 0;
  if (submits) {
    pauseMs = std::atoi(aArguments[5]);
    const auto due = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch() +
                       std::chrono::hours(1))
                       .count();
    body = "{\"spec\":\"print\",\"steps\":[{\"count\":" +
           std::string(aArguments[4]) +
           ",\"cpu\":500,\"mem_mb\":256,\"estimated_ms\":900}],"
           "\"repeat_count\":" +
           std::string(aArguments[3]) +
           ",\"start_at_ms\":" + std::to_string(due) +
           ",\"interval_ms\":60000}";
  }
  const auto begun = Clock::now();
  std::size_t next = 0;
  int number = 0;
  for (int job = 1; job <= count; ++job) {
    number = job;
    if (!submits && !(std::cin >> number)) {
      break;
    }
    for (;;) {
      if (MsSince(begun) > seconds * 1000L) {
        return 0;
      }
      const std::string& to = daemons[next++ % daemons.size()];
      const Answer answer =
        Call(to, submits ? "POST" : "GET", "/puxa0/" + IdOf(number), body);
      std::cerr << MsSince(begun) << " ms: " << (submits ? "POST" : "GET")
                << " job " << number << " at " << to << ": " << answer.status
                << " " << answer.body << std::endl;
      if (submits && answer.status == 200) {
        std::cout << number << std::endl;
      }
      const bool again = answer.status == 0 || answer.status == 502 ||
                         answer.status == 504 ||
                         (!submits && answer.status == 503);
      if (!again) {
        break;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(pauseMs));
  }
  return 0;
}
