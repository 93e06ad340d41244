// Implements scripted decisions and raw sockets for the tests of the relay.
#include "shell/RelayFixture.h"

namespace hyssoppaddle::test {

namespace {

template<typename... Cases>
struct Overloaded : Cases...
{
  using Cases::operator()...;
};
template<typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

std::string
PhaseName(request::AttemptPhase aPhase)
{
  constexpr std::array<const char*, 4> kNames{
    "connecting", "sending", "answering", "relaying"
  };
  return kNames.at(static_cast<std::size_t>(aPhase));
}

} // namespace

RawClient::RawClient(std::uint16_t aPort)
  : socket(this->io)
{
  if (aPort != 0) {
    this->socket.connect({ asio::ip::address_v4::loopback(), aPort });
  }
}

void
RawClient::Send(std::string_view aBytes)
{
  boost::system::error_code ignored;
  asio::write(
    this->socket, asio::buffer(aBytes.data(), aBytes.size()), ignored);
}

std::string
RawClient::ReadAll()
{
  return this->ReadUntil("");
}

std::string
RawClient::ReadUntil(std::string_view aDelimiter)
{
  boost::system::error_code error;
  std::size_t end = std::string::npos;
  while (!error) {
    end =
      aDelimiter.empty() ? std::string::npos : this->buffer.find(aDelimiter);
    if (end != std::string::npos) {
      break;
    }
    std::array<char, 16384> piece{};
    const auto bytesRead = this->socket.read_some(asio::buffer(piece), error);
    this->buffer.append(piece.data(), bytesRead);
  }
  const auto size =
    end == std::string::npos ? this->buffer.size() : end + aDelimiter.size();
  std::string text = this->buffer.substr(0, size);
  this->buffer.erase(0, size);
  return text;
}

std::string
RawClient::ReadAnswer()
{
  std::string text = this->ReadUntil("\r\n\r\n");
  const auto field = text.find("Content-Length: ");
  const std::size_t length =
    field == std::string::npos ? 0 : std::stoul(text.substr(field + 16));
  boost::system::error_code error;
  while (this->buffer.size() < length && !error) {
    std::array<char, 16384> piece{};
    const auto bytesRead = this->socket.read_some(asio::buffer(piece), error);
    this->buffer.append(piece.data(), bytesRead);
  }
  text += this->buffer.substr(0, length);
  this->buffer.erase(0, length);
  return text;
}

RawUpstream::RawUpstream(Script aScript)
  : acceptor(this->io, { asio::ip::address_v4::loopback(), 0 })
{
  this->thread = std::thread([this, script = std::move(aScript)] {
    boost::system::error_code error;
    for (int number = 1; !error; ++number) {
      RawClient peer(0);
      this->acceptor.accept(peer.Raw(), error);
      if (!error) {
        script(peer, number);
      }
    }
  });
}

RawUpstream::~RawUpstream()
{
  // Interrupts the blocking accept.
  ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
  this->thread.join();
}

std::string
RawUpstream::Address() const
{
  return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

RelayFixture::RelayFixture(std::vector<std::string> aUpstreams,
                           config::LimitSettings aLimits)
  : upstreams(std::move(aUpstreams))
  , deadlines(std::make_shared<shell::DeadlineQueue>(this->io))
  , metrics(std::make_shared<shell::Metrics>())
{
  shell::RelayHooks hooks;
  hooks.submit = [this](const request::Event& aEvent) { this->Decide(aEvent); };
  hooks.keyDigest = [](std::string_view aSecret) {
    return "digest of " + std::string(aSecret);
  };
  hooks.connectionsOf = [](const InstanceId&) { return 4U; };
  hooks.classOf = [](const ServiceId&) { return state::WorkClass::Preview; };
  this->relay = std::make_shared<shell::Relay>(
    this->io, aLimits, this->deadlines, this->metrics, std::move(hooks));
  this->relay->Start();
  shell::HttpServerOptions options;
  options.address = "127.0.0.1:0";
  options.limits = aLimits;
  this->server = std::make_shared<shell::HttpServer>(
    this->io,
    options,
    this->deadlines,
    this->metrics,
    this->relay,
    [](api::HttpRequest aRequest, const api::ReplyCallback& aReply) {
      aReply({ 200, "text/plain", {}, aRequest.target + " " + aRequest.body });
    });
  if (!this->server->Start()) {
    std::abort();
  }
  this->port = this->server->Port();
  this->thread = std::thread([this] { this->io.run(); });
}

RelayFixture::~RelayFixture()
{
  this->io.stop();
  this->thread.join();
}

std::vector<std::string>
RelayFixture::Events()
{
  const std::lock_guard lock(this->mutex);
  return this->events;
}

void
RelayFixture::Await(const std::string& aEvent, int aTimes)
{
  std::unique_lock lock(this->mutex);
  this->changed.wait(lock, [&] {
    return std::count(this->events.begin(), this->events.end(), aEvent) >=
           aTimes;
  });
}

void
RelayFixture::Record(std::string aText)
{
  const std::lock_guard lock(this->mutex);
  this->events.push_back(std::move(aText));
  this->changed.notify_all();
}

void
RelayFixture::StartNextAttempt(request::RequestNumber aRequest)
{
  const std::uint32_t number = ++this->attempts[aRequest];
  if (number > this->upstreams.size()) {
    this->relay->Execute(request::Refuse{ aRequest,
                                          request::Problem::UpstreamFailed,
                                          false,
                                          std::nullopt,
                                          "no attempt is left" });
    return;
  }
  this->relay->Execute(request::StartAttempt{ aRequest,
                                              number,
                                              InstanceId("upstream"),
                                              this->upstreams.at(number - 1),
                                              this->timeLeft });
}

void
RelayFixture::Decide(const request::Event& aEvent)
{
  std::visit(
    Overloaded{
      [&](const request::RequestArrived& aArrived) {
        this->Record("arrived");
        if (this->onArrived) {
          this->onArrived(aArrived);
        }
        this->StartNextAttempt(aArrived.request);
      },
      [&](const request::AttemptAdvanced& aAdvanced) {
        this->Record(PhaseName(aAdvanced.phase));
      },
      [&](const request::AttemptFinished& aFinished) {
        this->Record("finished:" + std::to_string(aFinished.status));
      },
      [&](const request::AttemptRefused& aRefused) {
        this->Record("refused");
        this->StartNextAttempt(aRefused.request);
      },
      [&](const request::AttemptFailed& aFailed) {
        this->Record("failed:" + PhaseName(aFailed.phase));

        if (aFailed.phase != request::AttemptPhase::Relaying) {
          this->StartNextAttempt(aFailed.request);
        }
      },
      [&](const request::CallerDisconnected&) { this->Record("gone"); },
      [](const auto&) {},
    },
    aEvent);
}

} // namespace hyssoppaddle::test
