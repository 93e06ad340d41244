// Pool of idle connections to upstreams. They are kept per upstream address and
// reused, the most recently used first.
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
  bool reused = false; // has already carried an earlier request
  SteadyClock::time_point idleSince;
};

class UpstreamPool
{
public:
  explicit UpstreamPool(Duration aIdleTimeout);

  // Returns an idle connection that is still open and has been idle for at most
  // aMaxIdle, or null if there is none.
  std::unique_ptr<UpstreamConnection> Acquire(const std::string& aAddress,
                                              Duration aMaxIdle);
  // Keeps a connection whose last answer was read completely, unless the pool
  // already has aLimit idle connections to the address.
  void Release(const std::string& aAddress,
               std::unique_ptr<UpstreamConnection> aConnection,
               std::size_t aLimit);
  // Closes connections whose idle timeout has expired or that the upstream has
  // closed.
  void Sweep();
  [[nodiscard]] std::size_t IdleCount() const;

private:
  using IdleStack = std::vector<std::unique_ptr<UpstreamConnection>>;

  Duration idleTimeout;
  std::map<std::string, IdleStack> idle;
};

} // namespace hyssoppaddle::shell

#endif
