// The caller's side of one request: its header, its body in pieces, and what is
// written back.
#ifndef hyssoppaddle_shell_CallerLink_h
#define hyssoppaddle_shell_CallerLink_h

#include "api/ControlHandler.h"
#include "config/Settings.h"
#include "shell/Asio.h"
#include "shell/Deadlines.h"
#include "shell/Stream.h"

#include <optional>
#include <string>

namespace hyssoppaddle::shell {

using RequestParser = http::request_parser<http::buffer_body>;
using AnswerParser = http::response_parser<http::buffer_body>;

// Reads at least one byte of the body into aData unless the body or the stream
// ends; aGot receives the number.
template<typename Source, typename Parser>
Awaitable<ErrorValue>
ReadPiece(Source& aSource,
          beast::flat_buffer& aBuffer,
          Parser& aParser,
          asio::mutable_buffer aTarget,
          std::size_t& aGot)
{
  ErrorValue error;
  // An eager parser would wait for the next chunk before it hands out this one.
  aParser.eager(false);
  aParser.get().body().data = aTarget.data();
  aParser.get().body().size = aTarget.size();
  aGot = 0;
  while (!error && aGot == 0 && !aParser.is_done()) {
    co_await http::async_read_some(
      aSource, aBuffer, aParser, StoreError(error));
    aGot = aTarget.size() - aParser.get().body().size;
    if (error == http::error::need_buffer) {
      error = {};
    }
  }
  // Takes what has arrived already, so that a last chunk needs no second write.
  while (!error && !aParser.is_done() && aBuffer.size() > 0 &&
         aParser.get().body().size > 0) {
    aBuffer.consume(aParser.put(aBuffer.data(), error));
    if (error == http::error::need_more || error == http::error::need_buffer) {
      error = {};
      break;
    }
  }
  aGot = aTarget.size() - aParser.get().body().size;
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
  // False once the peer has closed or reset its connection. A caller that shuts
  // down its sending side counts as gone.
  [[nodiscard]] bool IsConnected() const;

  // Answers `Expect: 100-continue` once; does nothing without it.
  Awaitable<ErrorValue> Continue();
  Awaitable<ErrorValue> ReadPieceOfBody(asio::mutable_buffer aTarget,
                                        std::size_t& aGot);
  // Appends the rest of the body to aBody; body_limit when that gets longer
  // than aLimit.
  Awaitable<ErrorValue> ReadWholeBody(std::string& aBody, std::uint64_t aLimit);
  // Discards the rest of a short body. False when the connection cannot be
  // used for another request.
  Awaitable<bool> DiscardBody();
  // Writes a whole reply. False when the connection must be closed; otherwise
  // the rest of the body is still to be discarded.
  Awaitable<bool> Reply(const api::HttpReply& aReply, bool aKeep);

  template<typename Buffers>
  Awaitable<ErrorValue> Write(const Buffers& aBuffers)
  {
    ErrorValue error;
    co_await asio::async_write(this->stream, aBuffers, StoreError(error));
    co_return error;
  }

  // Ends reads and writes under way.
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

// Status line, fields and body of a reply that the shell makes itself.
std::string
ReplyText(const api::HttpReply& aReply, bool aKeep, bool aHeadOnly);

} // namespace hyssoppaddle::shell

#endif
