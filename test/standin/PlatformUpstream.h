// An upstream of the platform: executes orders under leases and fences, keeps
// its ends until they are acknowledged, and announces itself. Answers and
// orders can be lost or delayed.
#ifndef hyssoppaddle_test_standin_PlatformUpstream_h
#define hyssoppaddle_test_standin_PlatformUpstream_h

#include "ControlClient.h"
#include "RunChecker.h"
#include "SoakState.h"
#include "UpstreamRun.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace hyssoppaddle::standin {

using Json = nlohmann::json;

class PlatformUpstream
{
public:
  PlatformUpstream(asio::io_context& aIo,
                   ControlClient& aClient,
                   SoakState& aState,
                   RunChecker& aChecker,
                   std::string aService,
                   std::string aAddress)
    : io(aIo)
    , client(aClient)
    , state(aState)
    , checker(aChecker)
    , service(std::move(aService))
    , address(std::move(aAddress))
    , machine("m-" + this->address)
  {
  }

  // Starts a boot under the given ID, whose first reports are lost.
  void Boot(const std::string& aId, int aLostReports)
  {
    this->born = std::max(WallMs(), this->born + 1);
    this->bootedAt = SteadyMs();
    this->clockOffset = this->state.Below(100000);
    this->clockRate = 980 + this->state.Below(21);
    this->id = aId;
    this->up = true;
    this->draining = false;
    this->confirmedDrainAt = 0;
    this->fence = this->sequence = this->lastEnd = 0;
    this->lease = this->silentUntil = this->unhealthyUntil = 0;
    ++this->generation;
    this->Note("boots");
    this->acceptor = std::make_unique<Acceptor>(
      this->io, ParseEndpoint(this->address).value());
    this->Accept(this->acceptor.get());
    this->Spawn(this->ReportLoop(this->generation, aLostReports));
  }

  // Ends the boot with all that it runs and knows.
  void Crash()
  {
    this->Advance();
    for (const auto& [key, running] : this->runs) {
      this->checker.OnEnd(running.observed, "killed");
    }
    this->Note("ends");
    ++this->generation;
    this->up = false;
    this->runs.clear();
    this->ends.clear();
    this->highestEnded.clear();
    this->acceptor.reset();
    for (const auto& socket : this->sockets) {
      ErrorValue ignored;
      socket->close(ignored);
    }
  }

  void Drain()
  {
    this->draining = true;
    this->Note("drains");
  }
  void Silence(std::int64_t aMs) { this->silentUntil = SteadyMs() + aMs; }
  void MakeUnhealthy(std::int64_t aMs)
  {
    this->unhealthyUntil = SteadyMs() + aMs;
  }

  // Applies ends by time: completions, stops and the expiry of the lease.
  void Advance()
  {
    const std::int64_t now = SteadyMs();
    const std::int64_t expiresAt =
      this->bootedAt +
      (this->lease - this->clockOffset) * 1000 / this->clockRate;
    for (End& end : this->ends) {
      end.expired = end.expired || expiresAt <= now;
    }
    for (auto item = this->runs.begin(); item != this->runs.end();) {
      const Run& running = item->second;
      const std::int64_t endsAt = std::min(running.doneAt, running.stoppedAt);
      if (std::min(endsAt, expiresAt) > now) {
        ++item;
        continue;
      }
      const char* how = expiresAt < endsAt                   ? "lapsed"
                        : running.doneAt > running.stoppedAt ? "stopped"
                                                             : "done";
      this->ends.push_back(
        { ++this->lastEnd, running.observed, how, false, expiresAt <= now });
      this->Block(running.observed.task, running.observed.run);
      this->checker.OnEnd(running.observed, how);
      item = this->runs.erase(item);
    }
  }

  // The status report in its present form.
  Json Report()
  {
    Json report{ { "service", this->service },
                 { "address", this->address },
                 { "zone", this->dataCentre },
                 { "version", "v1" },
                 { "slots", 8 },
                 { "state", this->draining ? "draining" : "ready" },
                 { "cold_remaining_ms", 0 },
                 { "capacity",
                   { { "cpu", 8000 }, { "mem_mb", 16384 }, { "gpu", 0 } } },
                 { "labels", { "a", "r1-1" } },
                 { "machine", this->machine },
                 { "clock_ms", this->ClockMs() },
                 { "sequence", ++this->sequence },
                 { "born", this->born } };
    if (this->draining) {
      const std::int64_t drained =
        this->confirmedDrainAt == 0 ? 0 : SteadyMs() - this->confirmedDrainAt;
      report["remaining_ms"] =
        std::max<std::int64_t>(this->state.drainMs - drained, 0);
    }
    return report;
  }

  [[nodiscard]] const std::string& Id() const { return this->id; }
  [[nodiscard]] const std::string& Machine() const { return this->machine; }
  [[nodiscard]] bool IsUp() const { return this->up; }
  [[nodiscard]] std::int64_t Born() const { return this->born; }
  [[nodiscard]] bool IsDrainConfirmed() const
  {
    return this->confirmedDrainAt != 0;
  }

  // All upstreams whose runs are advanced before a start is judged.
  std::vector<std::unique_ptr<PlatformUpstream>>* all = nullptr;
  std::string dataCentre;

private:
  static constexpr std::int64_t kPollStepMs = 10;
  static constexpr std::size_t kMaxEndsListed = 500;

  using Run = UpstreamRun;
  using End = UpstreamEnd;
  struct Reply
  {
    unsigned status = 200;
    Json body = Json::object();
  };

  static std::int64_t SteadyMs()
  {
    using namespace std::chrono;
    return duration_cast<milliseconds>(SteadyClock::now().time_since_epoch())
      .count();
  }
  std::int64_t ClockMs() const
  {
    return this->clockOffset +
           (SteadyMs() - this->bootedAt) * this->clockRate / 1000;
  }
  std::string Name() const
  {
    return this->id + " boot " + std::to_string(this->born) + " at " +
           this->address;
  }
  void Note(const char* aEvent) const
  {
    std::cout << WallMs() << ' ' << aEvent << ' ' << this->Name() << std::endl;
  }
  void Spawn(Awaitable<void> aWork)
  {
    asio::co_spawn(this->io, std::move(aWork), asio::detached);
  }
  void Block(const std::string& aTask, std::uint64_t aRun)
  {
    std::uint64_t& highest = this->highestEnded[aTask];
    highest = std::max(highest, aRun);
  }

  Awaitable<void> ReportLoop(std::uint64_t aGeneration, int aLostReports)
  {
    std::string control;
    while (this->generation == aGeneration) {
      if (aLostReports-- > 0) {
        co_await this->client.Pause(1000);
        continue;
      }
      if (SteadyMs() < this->silentUntil) {
        co_await this->client.Pause(kPollStepMs);
        continue;
      }
      control = control.empty() ? this->client.NextControl() : control;
      const Json report = this->Report();
      const bool announcesDrain = this->draining;
      const Response response = co_await this->client.Send(
        http::verb::put, control, "/instances/" + this->id, report.dump());
      if (this->generation != aGeneration) {
        co_return;
      }
      if (response.result_int() != 200 || this->state.Chance(2)) {
        control.clear();
        continue;
      }
      if (announcesDrain && this->confirmedDrainAt == 0) {
        this->confirmedDrainAt = SteadyMs();
        this->Note("drain confirmed");
      }
      const Json answer = Json::parse(response.body(), nullptr, false);
      const std::string named =
        answer.is_object() ? answer.value("heartbeat_address", "") : "";
      control = named.empty() ? control : named;
      const std::int64_t next = SteadyMs() + this->state.reportMs;
      while (this->generation == aGeneration && SteadyMs() < next &&
             announcesDrain == this->draining) {
        co_await this->client.Pause(kPollStepMs);
      }
    }
  }

  void Accept(Acceptor* aAcceptor)
  {
    auto socket = std::make_shared<Socket>(this->io);
    aAcceptor->async_accept(*socket, [this, socket](ErrorValue aError) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        ErrorValue ignored;
        socket->set_option(Tcp::no_delay(true), ignored);
        this->sockets.insert(socket);
        this->Spawn(this->Serve(socket));
      }
      if (this->acceptor) {
        this->Accept(this->acceptor.get());
      }
    });
  }

  Awaitable<void> Serve(std::shared_ptr<Socket> aSocket)
  {
    beast::flat_buffer buffer;
    ErrorValue error;
    while (!error) {
      Request request;
      co_await http::async_read(*aSocket, buffer, request, StoreError(error));
      if (!error && !co_await this->Handle(*aSocket, request)) {
        break;
      }
    }
    this->sockets.erase(aSocket);
    ErrorValue ignored;
    aSocket->close(ignored);
  }

  // Returns false when the connection ends, also to lose an answer.
  Awaitable<bool> Handle(Socket& aSocket, const Request& aRequest)
  {
    const std::uint64_t received = this->generation;
    if (SteadyMs() < this->silentUntil) {
      while (this->generation == received && SteadyMs() < this->silentUntil) {
        co_await this->client.Pause(kPollStepMs);
      }
      co_return false;
    }
    if (aRequest.target() != "/hold" && this->state.Chance(4)) {
      this->Spawn(this->ExecuteLate(aRequest));
      co_await this->client.Pause(1000);
      co_return false;
    }
    Reply reply = this->Execute(aRequest, "in time", this->born);
    if (this->state.Chance(3)) {
      if (this->state.Chance(50)) {
        co_await this->client.Pause(1000);
      }
      co_return false;
    }
    if (aRequest.target() == "/hold" && reply.status == 200) {
      const Json body = Json::parse(aRequest.body(), nullptr, false);
      const auto until =
        SteadyMs() +
        std::min<std::int64_t>(body.value("wait_ms", std::int64_t{ 0 }), 2000);
      while (this->generation == received && this->ends.empty() &&
             SteadyMs() < until) {
        co_await this->client.Pause(kPollStepMs);
        this->Advance();
      }
      if (this->generation != received) {
        co_return false;
      }
      reply.body = this->Lists();
    }
    reply.body["clock_ms"] = this->ClockMs();
    reply.body["born"] = this->born;
    Response response(static_cast<http::status>(reply.status), 11);
    response.set(http::field::content_type, "application/json");
    response.body() = reply.body.dump();
    response.prepare_payload();
    ErrorValue error;
    co_await http::async_write(aSocket, response, StoreError(error));
    co_return !error;
  }

  // The network delivers the order later, to the boot that is then there.
  Awaitable<void> ExecuteLate(Request aRequest)
  {
    const std::int64_t delay = 300 + this->state.Below(3700);
    const std::int64_t sentTo = this->born;
    co_await this->client.Pause(delay);
    if (this->up && (this->born == sentTo || this->state.ordersOutliveBoots)) {
      this->Execute(aRequest,
                    "late by " + std::to_string(delay) + " ms, sent to boot " +
                      std::to_string(sentTo),
                    sentTo);
    }
  }

  Reply Execute(const Request& aRequest,
                const std::string& aOrigin,
                std::int64_t aSentTo)
  {
    for (const auto& each : *this->all) {
      each->Advance();
    }
    if (aRequest["X-Expected-Instance"] != this->id) {
      return { 421, Json::object() };
    }
    const Json body = Json::parse(aRequest.body(), nullptr, false);
    const bool isHold = aRequest.target() == "/hold";
    if (!body.is_object() ||
        (!isHold && !(body.contains("task") && body.contains("run")))) {
      return { 400, Json::object() };
    }
    const bool isStart = aRequest.target() == "/run-start";
    if (isStart && SteadyMs() < this->unhealthyUntil) {
      return { this->state.Below(2) == 0 ? 429U : 503U, Json::object() };
    }
    const auto token = body.value("fencing_token", std::uint64_t{ 0 });
    if (token < this->fence) {
      return { 409, { { "reason", "fence" } } };
    }
    this->fence = token;
    if (isStart) {
      return this->Start(body, aOrigin, aSentTo);
    }
    return isHold                             ? this->Hold(body)
           : aRequest.target() == "/run-stop" ? this->Stop(body)
                                              : Reply{};
  }

  void Renew(const Json& aBody)
  {
    this->lease =
      std::max(this->lease,
               std::min(aBody.value("deadline_ms", std::int64_t{ 0 }),
                        this->ClockMs() + this->state.maxHoldMs));
  }

  Reply Start(const Json& aBody,
              const std::string& aOrigin,
              std::int64_t aSentTo)
  {
    const std::string task = aBody.at("task");
    const std::uint64_t run = aBody.at("run");
    if (aBody.value("deadline_ms", std::int64_t{ 0 }) <= this->ClockMs()) {
      return { 409, { { "reason", "late" } } };
    }
    this->Renew(aBody);
    if (this->runs.contains({ task, run })) {
      return {};
    }
    const auto ended = this->highestEnded.find(task);
    if (ended != this->highestEnded.end() && run <= ended->second) {
      return { 409, { { "reason", "old" } } };
    }
    Run started;
    started.observed = { task,     run,        this->Name(), aOrigin,
                         WallMs(), this->born, aSentTo };
    started.beganAt = SteadyMs();
    started.doneAt = started.beganAt + 100 + this->state.Below(1500);
    this->checker.OnStart(started.observed, aBody.value("spec", ""));
    if (this->confirmedDrainAt != 0 && aOrigin == "in time" &&
        started.beganAt > this->confirmedDrainAt + this->state.drainMs) {
      this->checker.Report("a start after the drain", started.observed, {});
    }
    if (aOrigin == "in time" &&
        this->state.IsEvacuated(this->dataCentre, started.beganAt)) {
      this->checker.Report(
        "a start in an evacuated data centre", started.observed, {});
    }
    this->runs[{ task, run }] = started;
    return {};
  }

  Reply Stop(const Json& aBody)
  {
    const std::string task = aBody.at("task");
    const std::uint64_t run = aBody.at("run");
    const auto found = this->runs.find({ task, run });
    if (found == this->runs.end()) {
      this->Block(task, run);
    } else if (found->second.stoppedAt == kNever) {
      found->second.stoppedAt = SteadyMs() + this->state.Below(300);
    }
    return {};
  }

  Reply Hold(const Json& aBody)
  {
    this->Renew(aBody);
    const auto seen = aBody.value("last_seen", std::uint64_t{ 0 });
    while (!this->ends.empty() && this->ends.front().number <= seen) {
      const End& end = this->ends.front();
      // A count of the boot before can exceed the ends that were listed. After
      // the lease has run out the task may have been started again.
      if (end.how == "done" && end.listed && !end.expired) {
        this->checker.OnDoneAcknowledged(end.observed);
      }
      this->ends.pop_front();
    }
    return {};
  }

  Json Lists()
  {
    Json running = Json::array();
    for (const auto& [key, item] : this->runs) {
      const std::int64_t worked = SteadyMs() - item.beganAt;
      running.push_back({ key.first,
                          key.second,
                          "",
                          100 * worked / (item.doneAt - item.beganAt),
                          500 });
    }
    Json ended = Json::array();
    for (End& item : this->ends) {
      if (ended.size() == kMaxEndsListed) {
        break;
      }
      item.listed = true;
      ended.push_back(
        { item.number, item.observed.task, item.observed.run, item.how, "" });
    }
    return { { "running", running }, { "ended", ended } };
  }

  asio::io_context& io;
  ControlClient& client;
  SoakState& state;
  RunChecker& checker;
  std::string service, address, machine, id;
  std::unique_ptr<Acceptor> acceptor;
  std::set<std::shared_ptr<Socket>> sockets;
  std::map<std::pair<std::string, std::uint64_t>, Run> runs;
  std::map<std::string, std::uint64_t> highestEnded; // by task, also stopped
  std::deque<End> ends;                              // not acknowledged
  std::int64_t born = 0;                             // Unix ms
  std::int64_t bootedAt = 0; // like all other times, in steady ms
  std::int64_t clockOffset = 0;
  std::int64_t clockRate = 1000; // per thousand
  std::int64_t lease = 0;        // on the upstream's own clock
  std::int64_t silentUntil = 0;
  std::int64_t unhealthyUntil = 0;
  std::int64_t confirmedDrainAt = 0;
  std::uint64_t generation = 0; // changes with each start and end of a boot
  std::uint64_t fence = 0;
  std::uint64_t sequence = 0;
  std::uint64_t lastEnd = 0;
  bool up = false;
  bool draining = false;
};

} // namespace hyssoppaddle::standin

#endif
