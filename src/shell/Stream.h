// A byte stream over TCP, with or without TLS, as one type: sessions are then
// compiled once.
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

  // aTls may be null and must otherwise outlive this object.
  Stream(Socket aSocket, asio::ssl::context* aTls)
    : socket(std::move(aSocket))
  {
    if (aTls != nullptr) {
      this->tls.emplace(this->socket, *aTls);
    }
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Names that Asio and Beast ask for.
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

  [[nodiscard]] Socket& Lowest() { return this->socket; }
  [[nodiscard]] const Socket& Lowest() const { return this->socket; }

  // Ends all operations under way; the stream can be used again.
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
