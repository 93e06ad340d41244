// A byte stream over TCP, with or without TLS. One type for both avoids
// compiling the sessions twice.
#ifndef hyssoppaddle_shell_Stream_h
#define hyssoppaddle_shell_Stream_h

#include "shell/Asio.h"

#include <optional>
#include <type_traits>

namespace hyssoppaddle::shell {

class Stream
{
public:
  using executor_type = Executor;

  // aTls may be null. Otherwise it must outlive this object.
  Stream(Socket aSocket, asio::ssl::context* aTls)
    : socket(std::move(aSocket))
  {
    if (aTls != nullptr) {
      this->tls.emplace(this->socket, *aTls);
    }
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Names required by Asio and Beast.
  executor_type get_executor() // NOLINT(readability-identifier-naming)
  {
    return this->socket.get_executor();
  }

  template<typename Handler>
  using ResultOf =
    typename asio::async_result<std::decay_t<Handler>,
                                void(ErrorValue, std::size_t)>::return_type;

  template<typename Buffers, typename Handler>
  ResultOf<Handler> async_read_some( // NOLINT(readability-identifier-naming)
    const Buffers& aBuffers,
    Handler&& aHandler)
  {
    if (this->tls) {
      return this->tls->async_read_some(aBuffers,
                                        std::forward<Handler>(aHandler));
    }
    return this->socket.async_read_some(aBuffers,
                                        std::forward<Handler>(aHandler));
  }

  template<typename Buffers, typename Handler>
  ResultOf<Handler> async_write_some( // NOLINT(readability-identifier-naming)
    const Buffers& aBuffers,
    Handler&& aHandler)
  {
    if (this->tls) {
      return this->tls->async_write_some(aBuffers,
                                         std::forward<Handler>(aHandler));
    }
    return this->socket.async_write_some(aBuffers,
                                         std::forward<Handler>(aHandler));
  }

  Awaitable<ErrorValue> Handshake(asio::ssl::stream_base::handshake_type aRole)
  {
    ErrorValue error;
    if (this->tls) {
      co_await this->tls->async_handshake(aRole, StoreError(error));
    }
    co_return error;
  }

  [[nodiscard]] Socket& LowestLayer() { return this->socket; }
  [[nodiscard]] const Socket& LowestLayer() const { return this->socket; }

  // Cancels all pending operations. The stream stays usable.
  void Cancel()
  {
    ErrorValue ignored;
    this->socket.cancel(ignored);
  }

  void Close()
  {
    ErrorValue ignored;
    this->socket.close(ignored);
  }

private:
  Socket socket;
  std::optional<asio::ssl::stream<Socket&>> tls;
};

} // namespace hyssoppaddle::shell

#endif
