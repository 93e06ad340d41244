// Connections to upstreams. Idle ones are kept per upstream address and used
// again, the most recently used first.
#ifndef hyssoppaddle_shell_UpstreamPool_h
#define hyssoppaddle_shell_UpstreamPool_h

#include "base/Time.h"
#include "shell/Asio.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hyssoppaddle::shell {

struct UpstreamConnection
{
  explicit UpstreamConnection(asio::io_context& aIo)
    : socket(aIo)
  {
  }

  Socket socket;
  beast::flat_buffer buffer;
  bool reused = false; // an earlier request was answered on it
  SteadyClock::time_point idleSince;
};

class UpstreamPool
{
public:
  explicit UpstreamPool(Duration aIdleTimeout);

  // An idle connection that was still open just now and has been idle for at
  // most aMaxIdle; null when there is none.
  std::unique_ptr<UpstreamConnection> Take(const std::string& aAddress,
                                           Duration aMaxIdle);
  // Keeps a connection whose last answer was read completely, unless aLimit
  // idle ones are kept already.
  void Give(const std::string& aAddress,
            std::unique_ptr<UpstreamConnection> aConnection,
            std::size_t aLimit);
  // Closes connections that have been idle for the timeout or were closed by
  // the upstream.
  void Sweep();
  [[nodiscard]] std::size_t IdleCount() const;

private:
  using Idle = std::vector<std::unique_ptr<UpstreamConnection>>;

  Duration idleTimeout;
  std::map<std::string, Idle> idle;
};

} // namespace hyssoppaddle::shell

#endif
