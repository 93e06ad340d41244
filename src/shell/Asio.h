// The one header through which the shell includes Asio and Beast.
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

namespace hyssoppaddle::shell {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

} // namespace hyssoppaddle::shell

#endif
