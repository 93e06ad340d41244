// Reads bodies and writes complete replies on a caller's connection.
#include "shell/CallerLink.h"

#include "shell/HttpText.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hyssoppaddle::shell {

namespace {

// Reading more than this of an unused body costs more than a new connection.
constexpr std::size_t kMaxDiscardedBytes = 64UL * 1024;
constexpr std::size_t kPieceBytes = 16UL * 1024;
// A longer reply is written in pieces.
constexpr std::size_t kMaxWriteBytes = 64UL * 1024;

} // namespace

CallerLink::CallerLink(Stream& aStream,
                       beast::flat_buffer& aBuffer,
                       RequestParser& aParser,
                       std::string aRemoteAddress)
  : stream(aStream)
  , buffer(aBuffer)
  , parser(aParser)
  , remoteAddress(std::move(aRemoteAddress))
{
  const auto expect = this->parser.get()[http::field::expect];
  this->expectsContinue =
    EqualIgnoringCase({ expect.data(), expect.size() }, "100-continue");
}

bool
CallerLink::IsHead() const
{
  return this->parser.get().method() == http::verb::head;
}

const std::string&
CallerLink::RemoteAddress() const
{
  return this->remoteAddress;
}

bool
CallerLink::IsConnected() const
{
  // Unread bytes would hide the end of the stream from a read with MSG_PEEK, so
  // the TCP state of the connection is queried instead.
  tcp_info info{};
  socklen_t length = sizeof(info);
  auto& socket = this->stream.LowestLayer();
  if (!socket.is_open() ||
      ::getsockopt(
        socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
    return false;
  }
  return info.tcpi_state == TCP_ESTABLISHED;
}

Awaitable<ErrorValue>
CallerLink::SendContinue()
{
  static constexpr std::string_view kContinueResponse =
    "HTTP/1.1 100 Continue\r\n\r\n";
  ErrorValue error;
  if (this->expectsContinue && !this->BodyDone()) {
    this->expectsContinue = false;
    error = co_await this->Write(asio::buffer(kContinueResponse));
  }
  co_return error;
}

Awaitable<ErrorValue>
CallerLink::ReadBodyPiece(asio::mutable_buffer aTarget, std::size_t& aBytesRead)
{
  co_return co_await ReadPiece(
    this->stream, this->buffer, this->parser, aTarget, aBytesRead);
}

Awaitable<ErrorValue>
CallerLink::ReadWholeBody(std::string& aBody, std::uint64_t aLimit)
{
  ErrorValue error;
  std::string piece;
  while (!error && !this->BodyDone()) {
    piece.resize(kPieceBytes);
    std::size_t bytesRead = 0;
    error = co_await this->ReadBodyPiece(asio::buffer(piece), bytesRead);
    aBody.append(piece, 0, bytesRead);
    if (!error && aBody.size() > aLimit) {
      error = http::error::body_limit;
    }
  }
  co_return error;
}

Awaitable<ErrorValue>
CallerLink::AppendBodyPiece(std::string& aBody, std::size_t aMaxBytes)
{
  const std::size_t size = aBody.size();
  aBody.resize(size + aMaxBytes);
  std::size_t bytesRead = 0;
  const ErrorValue error = co_await this->ReadBodyPiece(
    asio::buffer(aBody.data() + size, aMaxBytes), bytesRead);
  aBody.resize(size + bytesRead);
  co_return error;
}

bool
CallerLink::MayDiscardBody() const
{
  if (this->BodyDone()) {
    return true;
  }
  const auto length = this->parser.content_length_remaining();
  return !this->expectsContinue && length && *length <= kMaxDiscardedBytes;
}

Awaitable<bool>
CallerLink::DiscardBody()
{
  if (!this->MayDiscardBody()) {
    co_return false;
  }
  ErrorValue error;
  std::string piece(this->BodyDone() ? 0 : kPieceBytes, '\0');
  while (!error && !this->BodyDone()) {
    std::size_t bytesRead = 0;
    error = co_await this->ReadBodyPiece(asio::buffer(piece), bytesRead);
  }
  co_return !error;
}

Awaitable<bool>
CallerLink::Reply(const api::HttpReply& aReply, bool aKeepAlive)
{
  const bool keepAlive = aKeepAlive && this->MayDiscardBody();
  const std::string text = ReplyText(aReply, keepAlive, this->IsHead());
  const ErrorValue error = co_await this->Write(asio::buffer(text));
  co_return !error && keepAlive;
}

Awaitable<bool>
CallerLink::ReplyInPieces(const api::HttpReply& aReply,
                          bool aKeepAlive,
                          const std::function<void()>& aProgress)
{
  if (this->IsHead() || aReply.body.size() <= kMaxWriteBytes) {
    co_return co_await this->Reply(aReply, aKeepAlive);
  }
  const bool keepAlive = aKeepAlive && this->MayDiscardBody();
  const std::string header = ReplyText(aReply, keepAlive, true);
  ErrorValue error = co_await this->Write(asio::buffer(header));
  std::string_view rest = aReply.body;
  while (!error && !rest.empty()) {
    const std::string_view piece = rest.substr(0, kMaxWriteBytes);
    rest.remove_prefix(piece.size());
    aProgress();
    error = co_await this->Write(asio::buffer(piece));
  }
  co_return !error && keepAlive;
}

std::string
ReplyText(const api::HttpReply& aReply, bool aKeepAlive, bool aOmitBody)
{
  const auto reason = http::obsolete_reason(http::int_to_status(aReply.status));
  std::string text = "HTTP/1.1 " + std::to_string(aReply.status) + " " +
                     std::string(reason.data(), reason.size()) + "\r\n";
  text += "Content-Type: " + aReply.contentType + "\r\n";
  for (const api::HttpHeader& header : aReply.headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aReply.body.size()) + "\r\n";
  text += aKeepAlive ? "\r\n" : "Connection: close\r\n\r\n";
  return aOmitBody ? text : text + aReply.body;
}

} // namespace hyssoppaddle::shell
