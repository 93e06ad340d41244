// Stand-in for the operator and the clients of two tenants. Tenant A hands in three jobs to its queue and
// asks for them; in between others cancel jobs.
//
// Usage: Tenants TROUBLE FRONT CONTROL
//   TROUBLE  1: others cancel, at their own queues or with their own key, under the IDs of A's jobs;
//            0: they cancel jobs of their own in the same way
// Prints all calls. Ends with 1 if a job of A that A hasn't cancelled is shown as cancelled or unknown,
// with 0 if none is, with 2 if the case couldn't run.
#include <arpa/inet.h>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace {

struct Answer
{
  int status = 0; // 0: none
  std::string body;
  std::string location;
};

Answer
CallOnce(const std::string& aAddress,
         const std::string& aMethod,
         const std::string& aPath,
         const std::string& aKey,
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
  std::string request = aMethod + " " + aPath +
                        " HTTP/1.1\r\nHost: pule25.example\r\n"
                        "Content-Type: application/json\r\n";
  if (!aKey.empty()) {
    request += "X-Api-Key: " + aKey + "\r\n";
  }
  request += "Connection: close\r\nContent-Length: " +
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
      const auto at = reply.find("Location: http://");
      if (at != std::string::npos) {
        answer.location =
          reply.substr(at + 17, reply.find('/', at + 17) - at - 17);
      }
    }
  }
  close(fd);
  return answer;
}

Answer
Call(const std::string& aWho,
     std::string aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aKey,
     const std::string& aBody = {})
{
  Answer answer;
  for (int i = 0; i < 40; ++i) {
    answer = CallOnce(aAddress, aMethod, aPath, aKey, aBody);
    std::cout << aWho << ": " << aMethod << " " << aPath << " -> "
              << answer.status << " " << answer.body << std::endl;
    if (answer.status == 307) {
      aAddress = answer.location;
    } else if (answer.status != 0 && answer.status != 502 &&
               answer.status != 503 && answer.status != 504) {
      break;
    } else {
      std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
  }
  return answer;
}

std::string
Route(const std::string& aName, bool aOpen)
{
  return "{\"name\":\"r-" + aName +
         "\",\"host\":\"pule25.example\",\"path_prefix\":\"/" + aName +
         "/\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
         "\"target_completion_ms\":2500,\"priority\":0,\"service\":\"s0\","
         "\"max_attempts\":3,\"stretch\":2.2,\"allow_anonymous\":" +
         (aOpen ? "true}" : "false}");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return 2;
  }
  const bool trouble = std::atoi(aArguments[1]) != 0;
  const std::string front = aArguments[2];
  const std::string control = aArguments[3];
  const std::string keyA = "sjnbanfqasnmgkcuyj8p";
  const std::string keyB = "jbvk9m68k7b2ex5wa5xw";
  const std::string limits =
    "\"priority\":1,\"weight\":37,\"max_count\":{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}";
  const std::string config =
    "{\"version\":7,\"routes\":[" + Route("slips", false) + "," +
    Route("prints", false) + "," + Route("archive", true) +
    "],\"services\":[{\"name\":\"s0\",\"health_path\":\"/healthz\","
    "\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,"
    "\"enforces_capacity\":true,\"standby\":false}],\"limits\":{},\"tenants\":["
    "{\"name\":\"house-a\",\"api_keys\":[\"" +
    keyA + "\"]," + limits + ",{\"name\":\"house-b\",\"api_keys\":[\"" + keyB +
    "\"]," + limits + "]}";
  if (Call("operator", control, "PUT", "/config", "", config).status != 200) {
    return 2;
  }
  const std::string job =
    "{\"spec\":\"slip\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":256,"
    "\"estimated_ms\":900}]}";
  const std::string ids[] = { "5c0e7a21d94b36f1",
                              "5c0e7a21d94b36f2",
                              "5c0e7a21d94b36f3" };
  for (const std::string& id : ids) {
    if (Call("A", front, "POST", "/slips/" + id, keyA, job).status != 200) {
      return 2;
    }
  }
  const std::string others[] = { trouble ? ids[0] : "a1a1a1a1a1a1a1a1",
                                 trouble ? ids[1] : "b2b2b2b2b2b2b2b2",
                                 trouble ? ids[2] : "c3c3c3c3c3c3c3c3" };
  if (!trouble) {
    Call("B", front, "POST", "/prints/" + others[0], keyB, job);
    Call("nobody", front, "POST", "/archive/" + others[1], "", job);
    Call("B", front, "POST", "/slips/" + others[2], keyB, job);
  }
  Call("B, its key, another queue", front, "DELETE", "/prints/" + others[0], keyB);
  Call("nobody, no key, an open queue", front, "DELETE", "/archive/" + others[1], "");
  Call("B, its key, A's queue", front, "DELETE", "/slips/" + others[2], keyB);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  int lost = 0;
  for (const std::string& id : ids) {
    const Answer answer = Call("A", front, "GET", "/slips/" + id, keyA);
    const bool isLost = answer.status == 410 ||
                        answer.body.find("cancelled") != std::string::npos ||
                        answer.body.find("failed") != std::string::npos;
    lost += isLost ? 1 : 0;
  }
  std::cout << "jobs of A that A hasn't cancelled and that are lost: " << lost
            << " of 3" << std::endl;
  return lost > 0 ? 1 : 0;
}
