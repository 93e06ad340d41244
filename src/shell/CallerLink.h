// The caller's side of one request: reads the header and the body, and writes
// the answer.
#ifndef hyssoppaddle_shell_CallerLink_h
#define hyssoppaddle_shell_CallerLink_h

#include "api/ControlHandler.h"
#include "config/Settings.h"
#include "shell/Asio.h"
#include "shell/Deadlines.h"
#include "shell/Stream.h"

#include <functional>
#include <optional>
#include <string>

namespace hyssoppaddle::shell {

using RequestParser = http::request_parser<http::buffer_body>;
using AnswerParser = http::response_parser<http::buffer_body>;

// Reads at least one byte of the body into aTarget unless the body or the
// stream ends. aBytesRead receives the number of bytes.
template<typename Source, typename Parser>
Awaitable<ErrorValue>
ReadPiece(Source& aSource,
          beast::flat_buffer& aBuffer,
          Parser& aParser,
          asio::mutable_buffer aTarget,
          std::size_t& aBytesRead)
{
  ErrorValue error;
  // An eager parser would wait for the next chunk before it returns this one.
  aParser.eager(false);
  aParser.get().body().data = aTarget.data();
  aParser.get().body().size = aTarget.size();
  aBytesRead = 0;
  while (!error && aBytesRead == 0 && !aParser.is_done()) {
    co_await http::async_read_some(
      aSource, aBuffer, aParser, StoreError(error));
    aBytesRead = aTarget.size() - aParser.get().body().size;
    if (error == http::error::need_buffer) {
      error = {};
    }
  }
  // Also parses bytes that have already been received, so that the last chunk
  // does not need a separate write.
  while (!error && !aParser.is_done() && aBuffer.size() > 0 &&
         aParser.get().body().size > 0) {
    aBuffer.consume(aParser.put(aBuffer.data(), error));
    if (error == http::error::need_more || error == http::error::need_buffer) {
      error = {};
      break;
    }
  }
  aBytesRead = aTarget.size() - aParser.get().body().size;
  co_return error;
}

class CallerLink
{
public:
  CallerLink(Stream& aStream,
             beast::flat_buffer& aBuffer,
             RequestParser& aParser,
             std::string aRemoteAddress);

  [[nodiscard]] const RequestParser& Request() const { return this->parser; }
  [[nodiscard]] bool BodyDone() const { return this->parser.is_done(); }
  [[nodiscard]] bool IsHead() const;
  [[nodiscard]] const std::string& RemoteAddress() const;
  // False once the caller has closed or reset its connection. A caller that
  // shuts down its sending side counts as disconnected.
  [[nodiscard]] bool IsConnected() const;

  // Sends the interim answer to `Expect: 100-continue` once. Does nothing if
  // the request has no such field.
  Awaitable<ErrorValue> SendContinue();
  Awaitable<ErrorValue> ReadBodyPiece(asio::mutable_buffer aTarget,
                                      std::size_t& aBytesRead);
  // Appends the rest of the body to aBody. Returns body_limit if aBody becomes
  // longer than aLimit bytes.
  Awaitable<ErrorValue> ReadWholeBody(std::string& aBody, std::uint64_t aLimit);
  // Appends between 1 and aMaxBytes bytes of the body to aBody, unless the body
  // or the stream ends.
  Awaitable<ErrorValue> AppendBodyPiece(std::string& aBody,
                                        std::size_t aMaxBytes);
  // Reads and discards the rest of a short body. Returns false if the
  // connection cannot be used for another request.
  Awaitable<bool> DiscardBody();
  // Writes a complete reply. Returns false if the connection must be closed;
  // otherwise the rest of the body must still be discarded.
  Awaitable<bool> Reply(const api::HttpReply& aReply, bool aKeepAlive);
  // The same without a copy of a long body. aProgress is called before each
  // piece of it.
  Awaitable<bool> ReplyInPieces(const api::HttpReply& aReply,
                                bool aKeepAlive,
                                const std::function<void()>& aProgress);

  template<typename Buffers>
  Awaitable<ErrorValue> Write(const Buffers& aBuffers)
  {
    ErrorValue error;
    co_await asio::async_write(this->stream, aBuffers, StoreError(error));
    co_return error;
  }

  // Cancels pending reads and writes.
  void Cancel() { this->stream.Cancel(); }
  void Close() { this->stream.Close(); }

private:
  [[nodiscard]] bool MayDiscardBody() const;

  Stream& stream;
  beast::flat_buffer& buffer;
  RequestParser& parser;
  std::string remoteAddress;
  bool expectsContinue = false;
};

// Status line, fields and body of a reply that the shell itself creates.
std::string
ReplyText(const api::HttpReply& aReply, bool aKeepAlive, bool aOmitBody);

} // namespace hyssoppaddle::shell

#endif
