// The stand-in upstream as a class, so that a test can run many of them in one
// process. Header-only, because every program in this folder consists of one
// source file.
#ifndef hyssoppaddle_test_standin_UpstreamStandin_h
#define hyssoppaddle_test_standin_UpstreamStandin_h

#include "StandinTasks.h"
#include "shell/Asio.h"
#include "shell/Endpoint.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hyssoppaddle::standin {

// Number of unanswered departure announcements after which the process ends.
inline constexpr int kMaxUnansweredDepartures = 10;

using namespace shell;
using Json = nlohmann::json;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

struct Options
{
  std::string instance, service, pool, dataCentre, rack, token, address;
  std::vector<std::string> controls; // used round-robin
  int slots = 8;
  int connections = 64;
  int runMs = 1000; // run time of a task
  int usageLagMs = 2000;
  bool failTasks = false;
};

class Upstream
{
public:
  Upstream(asio::io_context& aIo, Options aOptions)
    : io(aIo)
    , options(std::move(aOptions))
    , acceptor(aIo, ParseEndpoint(this->options.address).value())
    , timer(aIo)
    , tasks({ this->options.runMs,
              this->options.usageLagMs,
              this->options.failTasks })
  {
    this->Boot();
    this->Accept();
    if (!this->options.controls.empty()) {
      this->Spawn(this->AnnounceLoop());
    }
  }

  std::string Address() const
  {
    return FormatEndpoint(this->acceptor.local_endpoint());
  }

  // Checkpoints the running tasks, announces the departure and then ends.
  void Depart()
  {
    this->departing = true;
    this->tasks.DrainAll();
    this->timer.cancel();
  }

private:
  void Spawn(Awaitable<void> aWork)
  {
    asio::co_spawn(this->io, std::move(aWork), asio::detached);
  }

  // A reboot keeps the instance name and resets all other state.
  void Boot()
  {
    using namespace std::chrono;
    const auto now =
      duration_cast<milliseconds>(system_clock::now().time_since_epoch());
    this->bootedAtMs =
      std::max<std::int64_t>(now.count(), this->bootedAtMs + 1);
    this->boot =
      this->options.instance + "-" + std::to_string(this->bootedAtMs);
    this->sequence = 0;
    this->tasks.Clear();
    this->draining = false;
  }

  Json Announcement()
  {
    return { { "instance", this->options.instance },
             { "booted_at_ms", this->bootedAtMs },
             { "boot", this->boot },
             { "sequence", ++this->sequence },
             { "service", this->options.service },
             { "pool", this->options.pool },
             { "data_centre", this->options.dataCentre },
             { "rack", this->options.rack },
             { "address", this->Address() },
             { "slots", this->options.slots },
             { "connections", this->options.connections },
             { "capacity",
               { { "milli_cpus", 16000 },
                 { "memory_mb", 65536 },
                 { "accelerators", 0 } } },
             { "state",
               this->departing || this->draining ? "departing" : "serving" },
             { "tasks", this->tasks.Reports() } };
  }

  Awaitable<void> AnnounceLoop()
  {
    bool departureAnswered = false;
    int unansweredDepartures = 0; // departure announcements without an answer
    while (!departureAnswered || !this->departing ||
           this->tasks.HasActiveTasks()) {
      const std::string body = this->Announcement().dump();
      const bool answered = co_await this->Announce(body);
      departureAnswered = this->departing && answered;
      unansweredDepartures += this->departing && !answered ? 1 : 0;
      if (unansweredDepartures > kMaxUnansweredDepartures) {
        break; // no control listener is reachable
      }
      const auto wait = answered ? this->intervalMs : 200;
      this->timer.expires_after(std::chrono::milliseconds(wait));
      ErrorValue ignored;
      co_await this->timer.async_wait(StoreError(ignored));
      this->tasks.Advance();
    }
    // The entry instances need some time until they send no more requests.
    this->timer.expires_after(std::chrono::seconds(3));
    ErrorValue ignored;
    co_await this->timer.async_wait(StoreError(ignored));
    this->io.stop();
  }

  Awaitable<bool> Announce(const std::string& aBody)
  {
    const std::string control =
      this->options
        .controls[this->nextControl++ % this->options.controls.size()];
    Request request(http::verb::post, "/v1/announcements", 11);
    request.set(http::field::host, control);
    request.set(http::field::authorization, "Bearer " + this->options.token);
    request.set(http::field::content_type, "application/json");
    request.keep_alive(false);
    request.body() = aBody;
    request.prepare_payload();
    Response response;
    const auto endpoint = ParseEndpoint(control).value();
    beast::tcp_stream stream(this->io);
    stream.expires_after(std::chrono::seconds(1));
    ErrorValue error;
    co_await stream.async_connect(endpoint, StoreError(error));
    if (!error) {
      co_await http::async_write(stream, request, StoreError(error));
    }
    beast::flat_buffer buffer;
    if (!error) {
      co_await http::async_read(stream, buffer, response, StoreError(error));
    }
    if (error) {
      co_return false;
    }
    this->ApplyAnswer(response);
    co_return response.result_int() == 200;
  }

  void ApplyAnswer(const Response& aResponse)
  {
    const Json answer = Json::parse(aResponse.body(), nullptr, false);
    if (!answer.is_object()) {
      return;
    }
    if (answer.contains("stored_booted_at_ms")) {
      // The clock was set back. The start must be later than the stored one.
      this->bootedAtMs = std::max(
        this->bootedAtMs, answer.at("stored_booted_at_ms").get<long>() + 1);
    }
    this->intervalMs = answer.value("interval_ms", this->intervalMs);
    for (const Json& instruction :
         answer.value("instructions", Json::array())) {
      this->ExecuteInstruction(instruction);
    }
  }

  void ExecuteInstruction(const Json& aInstruction)
  {
    const std::string kind = aInstruction.value("kind", "");
    if (kind == "start_task") {
      this->tasks.Start(aInstruction);
    } else if (kind == "stop_task") {
      this->tasks.Stop(aInstruction);
    } else if (kind == "drain") {
      this->draining = true;
      this->tasks.DrainAll();
      this->timer.cancel();
    } else if (kind == "reboot") {
      this->Boot();
      this->timer.cancel();
    }
  }

  void Accept()
  {
    this->acceptor.async_accept([this](ErrorValue aError, Socket aSocket) {
      if (!aError) {
        aSocket.set_option(Tcp::no_delay(true), aError);
        this->Spawn(this->Serve(std::move(aSocket)));
      }
      this->Accept();
    });
  }

  Awaitable<void> Serve(Socket aSocket)
  {
    beast::flat_buffer buffer;
    ErrorValue error;
    bool more = true;
    while (!error && more) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(std::uint64_t{ 1 } << 31U);
      co_await http::async_read(aSocket, buffer, parser, StoreError(error));
      if (!error) {
        more = co_await this->Answer(aSocket, parser.get());
      }
    }
  }

  // Splits a target of the form "/name/number".
  static std::pair<std::string, long> Split(const Request& aRequest)
  {
    const std::string target(aRequest.target());
    const auto slash = target.find('/', 1);
    const std::string number =
      slash == std::string::npos ? "" : target.substr(slash + 1);
    return { target.substr(0, slash), std::atol(number.c_str()) };
  }

  Awaitable<bool> Answer(Socket& aSocket, const Request& aRequest)
  {
    const auto [name, number] = Split(aRequest);
    Response response(http::status::ok, 11);
    if (name == "/hyssoppaddle") {
      this->ExecuteInstruction(Json::parse(aRequest.body(), nullptr, false));
    } else if (name == "/ran") {
      response.body() = Json(this->executions).dump();
    } else {
      const auto key = aRequest["Idempotency-Key"];
      ++this->executions[std::string(key.data(), key.size())];
      if (name == "/cut") {
        co_return co_await this->SendTruncatedAnswer(aSocket, number);
      }
      co_await this->FillResponse(name, number, aRequest, response);
    }
    response.keep_alive(aRequest.keep_alive());
    response.prepare_payload();
    ErrorValue error;
    co_await http::async_write(aSocket, response, StoreError(error));
    co_return !error && aRequest.keep_alive();
  }

  Awaitable<void> FillResponse(const std::string& aName,
                               long aNumber,
                               const Request& aRequest,
                               Response& aResponse)
  {
    if (aName == "/echo") {
      aResponse.body() = aRequest.body();
    } else if (aName == "/bytes") {
      aResponse.body().assign(static_cast<std::size_t>(aNumber), 'x');
    } else if (aName == "/fail") {
      aResponse.result(static_cast<unsigned>(aNumber));
    } else if (aName == "/refuse") {
      aResponse.result(503);
      aResponse.set("Hyssoppaddle-Not-Run", "true");
    } else if (aName == "/slow") {
      Timer pause(this->io, std::chrono::milliseconds(aNumber));
      ErrorValue ignored;
      co_await pause.async_wait(StoreError(ignored));
    }
  }

  // Declares more than twice as many bytes as it sends.
  Awaitable<bool> SendTruncatedAnswer(Socket& aSocket, long aNumber)
  {
    const std::string text =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(2 * aNumber + 1) +
      "\r\n\r\n" + std::string(static_cast<std::size_t>(aNumber), 'x');
    ErrorValue error;
    co_await asio::async_write(aSocket, asio::buffer(text), StoreError(error));
    co_return false;
  }

  asio::io_context& io;
  Options options;
  Acceptor acceptor;
  Timer timer;
  Tasks tasks;
  std::map<std::string, int> executions; // by Idempotency-Key
  std::string boot;
  long bootedAtMs = 0;
  std::uint64_t sequence = 0;
  std::size_t nextControl = 0;
  long intervalMs = 1000;
  bool departing = false;
  bool draining = false;
};

} // namespace hyssoppaddle::standin

#endif
