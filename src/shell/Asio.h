// Includes Asio and Beast for the shell and defines the aliases it uses.
#ifndef hyssoppaddle_shell_Asio_h
#define hyssoppaddle_shell_Asio_h

// Asio 1.74 uses std::exchange in its coroutine header without including
// <utility>.
#include <utility>

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

#include <chrono>

namespace hyssoppaddle::shell {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using ErrorValue = boost::beast::error_code;

// The concrete executor type avoids the cost of a type-erased executor on every
// operation.
using Executor = asio::io_context::executor_type;
template<typename T>
using Awaitable = asio::awaitable<T, Executor>;
inline constexpr asio::use_awaitable_t<Executor> kUseAwaitable;

using Socket = asio::basic_stream_socket<Tcp, Executor>;
using Acceptor = asio::basic_socket_acceptor<Tcp, Executor>;
using SteadyClock = std::chrono::steady_clock;
using Timer = asio::
  basic_waitable_timer<SteadyClock, asio::wait_traits<SteadyClock>, Executor>;

// Completion token for a co_awaited operation that stores its error in aError
// instead of throwing.
inline auto
StoreError(ErrorValue& aError)
{
  return asio::redirect_error(kUseAwaitable, aError);
}

} // namespace hyssoppaddle::shell

#endif
