// A small blocking HTTP/1.1 client and server for the scripts of the review.
#ifndef hyssoppaddle_review_standin2_Http_h
#define hyssoppaddle_review_standin2_Http_h

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review {

using Headers = std::map<std::string, std::string>; // names in lower case

struct Request
{
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
};

struct Reply
{
  int status = 200; // 0: none was received
  std::string body;
  std::string location;
};

// Milliseconds of the steady clock.
std::int64_t
SteadyMs();

// Sends a request on a new connection. A limit of 0 is not allowed.
Reply
Send(const std::string& aAddress, const Request& aRequest, int aLimitMs);

// Answers requests on one address, each connection in a thread of its own.
class Server
{
public:
  using Handler = std::function<Reply(const Request&)>;

  Server(const std::string& aAddress, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

private:
  void Accept();
  void Serve(int aSocket);

  Handler handler;
  int listener = -1;
  std::atomic<bool> stopping{ false };
  std::atomic<int> threads{ 0 };
  std::mutex mutex;
  std::set<int> sockets;
};

// True if all ports can be bound on the address.
bool
AreFree(const std::string& aHost, const std::vector<int>& aPorts);

} // namespace review

#endif
