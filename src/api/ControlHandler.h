// Interface between the HTTP listeners of the shell and the JSON API. Requests
// and replies are complete messages, and handlers access the core through
// CorePort. All calls run on the single Asio thread.
#ifndef hyssoppaddle_api_ControlHandler_h
#define hyssoppaddle_api_ControlHandler_h

#include "base/Id.h"
#include "base/Time.h"
#include "core/Events.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppaddle::core {
class Reducer;
}

namespace hyssoppaddle::api {

enum class Listener : std::uint8_t
{
  Callers,
  Control,
};

struct HttpHeader
{
  std::string name;
  std::string value;
};

// One complete request. The body is at most 4 MiB.
struct HttpRequest
{
  std::string method; // as sent, for example "POST"
  std::string target; // path with query
  std::vector<HttpHeader> headers;
  std::string body;
  std::string remoteAddress; // "127.0.0.1:51234"
  Listener listener = Listener::Control;

  // Value of the first header with this name, compared without case; empty when
  // there is none.
  [[nodiscard]] std::string_view Header(std::string_view aName) const;
};

struct HttpReply
{
  std::uint32_t status = 200;
  std::string contentType = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
};

using ReplyCallback = std::function<void(HttpReply)>;

// Answers every request that the shell does not answer itself: everything on
// the control listener except /metrics, /healthz and /readyz, and /v1/ on the
// callers' listener.
class ControlHandler
{
public:
  virtual ~ControlHandler() = default;
  // Calls aReply exactly once, now or later, on the thread of the call.
  virtual void Handle(HttpRequest aRequest, ReplyCallback aReply) = 0;
};

// Interface of the core for handlers. Each callback runs exactly once, on the
// thread of the call, possibly before the call returns.
class CorePort
{
public:
  using CommandCallback = std::function<void(const core::CommandDecided&)>;
  using ReadCallback = std::function<void(bool aReady)>;
  using AnnouncementCallback =
    std::function<void(const core::AnswerAnnouncement&)>;

  virtual ~CorePort() = default;

  virtual void SubmitCommand(state::Command aCommand,
                             CommandCallback aDone) = 0;
  virtual void SubmitConfiguration(agreement::ChangeKind aKind,
                                   InstanceId aInstance,
                                   CommandCallback aDone) = 0;
  // A linearizable read: once aDone reports ready, Core() shows everything
  // that was committed when this was called.
  virtual void Read(ReadCallback aDone) = 0;
  virtual void Announce(state::Announcement aAnnouncement,
                        std::vector<state::TaskReport> aReports,
                        AnnouncementCallback aDone) = 0;

  [[nodiscard]] virtual const core::Reducer& Core() const = 0;
  [[nodiscard]] virtual Time Now() const = 0;
  [[nodiscard]] virtual WallTime WallNow() const = 0;
  // Keyed digest of a key's secret, as state::KeyRecord stores it.
  [[nodiscard]] virtual std::string KeyDigest(
    std::string_view aSecret) const = 0;
  // Keyed digest of any text in lower-case hexadecimal, as a stable identifier.
  [[nodiscard]] virtual std::string KeyDigestHex(
    std::string_view aText) const = 0;
  // Random bytes in lower-case hexadecimal, for key secrets and identifiers.
  [[nodiscard]] virtual std::string RandomHex(std::size_t aBytes) const = 0;
};

} // namespace hyssoppaddle::api

#endif
