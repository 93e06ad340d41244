// Keeps one stack of idle connections per upstream address.
#include "shell/UpstreamPool.h"

#include <algorithm>

#include <sys/socket.h>

namespace hyssoppaddle::shell {

namespace {

// An idle connection must have nothing to read. Received bytes would belong to
// no request, and an end of stream means that the upstream closed the
// connection.
bool
IsOpenAndSilent(UpstreamConnection& aConnection)
{
  char byte = 0;
  const auto bytesRead = ::recv(aConnection.socket.native_handle(),
                                &byte,
                                sizeof(byte),
                                MSG_PEEK | MSG_DONTWAIT);
  return bytesRead < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

UpstreamPool::UpstreamPool(Duration aIdleTimeout)
  : idleTimeout(aIdleTimeout)
{
}

std::unique_ptr<UpstreamConnection>
UpstreamPool::Acquire(const std::string& aAddress, Duration aMaxIdle)
{
  const auto found = this->idle.find(aAddress);
  if (found == this->idle.end()) {
    return nullptr;
  }
  const auto oldest = SteadyClock::now() - aMaxIdle;
  IdleStack& stack = found->second;
  while (!stack.empty() && stack.back()->idleSince >= oldest) {
    auto connection = std::move(stack.back());
    stack.pop_back();
    if (IsOpenAndSilent(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

void
UpstreamPool::Release(const std::string& aAddress,
                      std::unique_ptr<UpstreamConnection> aConnection,
                      std::size_t aLimit)
{
  IdleStack& stack = this->idle[aAddress];
  if (stack.size() >= aLimit) {
    return;
  }
  aConnection->reused = true;
  aConnection->idleSince = SteadyClock::now();
  stack.push_back(std::move(aConnection));
}

void
UpstreamPool::Sweep()
{
  const auto oldest = SteadyClock::now() - this->idleTimeout;
  for (auto stack = this->idle.begin(); stack != this->idle.end();) {
    std::erase_if(stack->second, [&](const auto& aConnection) {
      return aConnection->idleSince < oldest || !IsOpenAndSilent(*aConnection);
    });
    stack = stack->second.empty() ? this->idle.erase(stack) : std::next(stack);
  }
}

std::size_t
UpstreamPool::IdleCount() const
{
  std::size_t count = 0;
  for (const auto& [address, stack] : this->idle) {
    count += stack.size();
  }
  return count;
}

} // namespace hyssoppaddle::shell
