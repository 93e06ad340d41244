// Several upstreams of one service in one process, for soaks. They crash,
// restart, drain, fall silent and lose answers as a seed says, and another
// writer sends reports in their names. Violations go to standard output with
// the events before them. SIGUSR1 ends the faults, SIGTERM the process.
//
// PlatformUpstreamStandin --service S --count N --net 127.0.0 --first HOST
//   --port PORT --controls ADDRESS[,...] --seed N [--owner ADDRESS]
//   [--orders-outlive-boots no]
#include "DataCentreOperator.h"
#include "MachineOwner.h"
#include "PlatformUpstream.h"

#include <array>
#include <csignal>

namespace {

using namespace hyssoppaddle::standin;

class Soak
{
public:
  Soak(asio::io_context& aIo, std::map<std::string, std::string> aValues)
    : io(aIo)
    , client(aIo, Split(aValues["--controls"]))
    , service(aValues["--service"])
    , port(aValues["--port"])
    , signals(aIo, SIGUSR1, SIGTERM)
  {
    this->state.random.seed(std::stoul(aValues["--seed"]));
    this->state.ordersOutliveBoots = aValues["--orders-outlive-boots"] != "no";
    const int first = std::stoi(aValues["--first"]);
    for (int i = 0; i < std::stoi(aValues["--count"]); ++i) {
      this->upstreams.push_back(std::make_unique<PlatformUpstream>(
        aIo,
        this->client,
        this->state,
        this->checker,
        this->service,
        aValues["--net"] + "." + std::to_string(first + i) + ":" + this->port));
      this->upstreams.back()->all = &this->upstreams;
      this->upstreams.back()->dataCentre = this->DataCentreOf(i);
      this->upstreams.back()->Boot(this->NewId(), 0);
    }
    this->busy.resize(this->upstreams.size());
    this->maintaining.resize(this->upstreams.size());
    if (aValues.contains("--owner")) {
      this->owner = std::make_unique<MachineOwner>(
        aIo,
        this->state,
        aValues["--owner"],
        [this] { return this->ListMachines(); },
        [this](const std::string& aMachine) {
          return this->Maintain(aMachine);
        });
    }
    this->Spawn(this->DrawFaults());
    this->Spawn(this->WriteAsAnother());
    this->Spawn(this->AdvanceAll());
    this->Spawn(
      this->evacuations.Run({ this->DataCentreOf(0), this->DataCentreOf(1) }));
    this->WaitForSignal();
  }

  void PrintTotals()
  {
    std::cout << "totals starts " << this->checker.Starts() << " doubled "
              << this->checker.Doubled() << " unpreventable "
              << this->checker.Unpreventable() << " crash " << this->faults[0]
              << " drain " << this->faults[1] << " silent " << this->faults[2]
              << " unhealthy " << this->faults[3] << " foreign "
              << this->foreignReports << " maintained "
              << (this->owner ? this->owner->Maintained() : 0)
              << " evacuations " << this->evacuations.Confirmed() << std::endl;
  }

private:
  static std::vector<std::string> Split(const std::string& aList)
  {
    std::vector<std::string> parts;
    std::istringstream text(aList);
    for (std::string part; std::getline(text, part, ',');) {
      parts.push_back(part);
    }
    return parts;
  }

  void Spawn(Awaitable<void> aWork)
  {
    asio::co_spawn(this->io, std::move(aWork), asio::detached);
  }

  // Two data centres for each service.
  std::string DataCentreOf(int aSlot) const
  {
    return "dc-" + this->service + "-" + std::to_string(aSlot % 2);
  }

  std::string NewId()
  {
    return "i-" + this->service + "-" + std::to_string(++this->lastId);
  }

  void WaitForSignal()
  {
    this->signals.async_wait([this](ErrorValue aError, int aSignal) {
      if (!aError && aSignal == SIGTERM) {
        this->io.stop();
        return;
      }
      this->state.calm = true;
      this->WaitForSignal();
    });
  }

  // Writes the ends of upstreams that nobody asks close to their time.
  Awaitable<void> AdvanceAll()
  {
    for (;;) {
      co_await this->client.Pause(10);
      for (const auto& each : this->upstreams) {
        each->Advance();
      }
    }
  }

  Awaitable<void> DrawFaults()
  {
    using Fault = Awaitable<void> (Soak::*)(std::size_t);
    constexpr std::array<Fault, 4> kFaults{
      &Soak::CrashOne, &Soak::DrainOne, &Soak::SilenceOne, &Soak::SickenOne
    };
    co_await this->client.Pause(3000);
    while (!this->state.calm) {
      const auto slot = static_cast<std::size_t>(
        this->state.Below(static_cast<std::int64_t>(this->upstreams.size())));
      const auto kind = static_cast<std::size_t>(
        std::max<std::int64_t>(this->state.Below(6) - 2, 0));
      if (!this->busy[slot]) {
        this->busy[slot] = true;
        ++this->faults[kind];
        this->Spawn((this->*kFaults[kind])(slot));
      }
      co_await this->client.Pause(100 + this->state.Below(900));
    }
  }

  // Returns the ID of the next boot: the same in two of three cases.
  std::string NextId(const PlatformUpstream& aUpstream)
  {
    return this->state.Below(3) > 0 ? aUpstream.Id() : this->NewId();
  }

  void Restart(std::size_t aSlot)
  {
    PlatformUpstream& upstream = *this->upstreams[aSlot];
    upstream.Boot(this->NextId(upstream),
                  static_cast<int>(this->state.Below(3)));
    this->busy[aSlot] = false;
  }

  // Restarts at once in half of the cases.
  Awaitable<void> CrashOne(std::size_t aSlot)
  {
    this->upstreams[aSlot]->Crash();
    if (this->state.Below(2) == 0) {
      co_await this->client.Pause(this->state.Below(5000));
    }
    this->Restart(aSlot);
  }

  // The departure can come before the end, twice, or after the next boot.
  Awaitable<void> DrainOne(std::size_t aSlot)
  {
    PlatformUpstream& upstream = *this->upstreams[aSlot];
    upstream.Drain();
    for (int i = 0; i < 500 && !upstream.IsDrainConfirmed(); ++i) {
      co_await this->client.Pause(10);
    }
    co_await this->client.Pause(this->state.drainMs + this->state.Below(2000));
    const std::string id = upstream.Id();
    const bool departsEarly = this->state.Below(3) == 0;
    this->Spawn(
      this->Depart(id, departsEarly ? 0 : this->state.Below(4) * 700));
    if (this->state.Below(3) == 0) {
      this->Spawn(this->Depart(id, this->state.Below(4000)));
    }
    if (departsEarly) {
      co_await this->client.Pause(200 + this->state.Below(1000));
    }
    upstream.Crash();
    co_await this->client.Pause(this->state.Below(2000));
    this->Restart(aSlot);
  }

  Awaitable<void> Depart(std::string aId, std::int64_t aDelayMs)
  {
    co_await this->client.Pause(aDelayMs);
    for (int i = 0; i < 3; ++i) {
      const std::string control = this->client.NextControl();
      const Response response = co_await this->client.Send(
        http::verb::delete_, control, "/instances/" + aId, "");
      if (response.result_int() == 200) {
        std::cout << WallMs() << " departure of " << aId << std::endl;
        co_return;
      }
    }
  }

  Awaitable<void> SilenceOne(std::size_t aSlot)
  {
    const std::int64_t length = 300 + this->state.Below(7000);
    this->upstreams[aSlot]->Silence(length);
    co_await this->client.Pause(length);
    this->busy[aSlot] = false;
  }

  Awaitable<void> SickenOne(std::size_t aSlot)
  {
    const std::int64_t length = 300 + this->state.Below(3000);
    this->upstreams[aSlot]->MakeUnhealthy(length);
    co_await this->client.Pause(length);
    this->busy[aSlot] = false;
  }

  Json ListMachines()
  {
    Json machines = Json::array();
    for (std::size_t slot = 0; slot < this->upstreams.size(); ++slot) {
      const PlatformUpstream& upstream = *this->upstreams[slot];
      const char* phase = upstream.IsUp()           ? "up"
                          : this->maintaining[slot] ? "upkeep"
                                                    : "down";
      Json machine{ { "machine", upstream.Machine() },
                    { "pool", this->service },
                    { "state", phase },
                    { "zone", this->DataCentreOf(static_cast<int>(slot)) },
                    { "labels", { "a", "r1-1" } },
                    { "capacity", { { "cpu", 8000 }, { "mem_mb", 16384 } } } };
      if (upstream.IsUp()) {
        machine["id"] = upstream.Id();
      }
      machines.push_back(std::move(machine));
    }
    return machines;
  }

  bool Maintain(const std::string& aMachine)
  {
    for (std::size_t slot = 0; slot < this->upstreams.size(); ++slot) {
      PlatformUpstream& upstream = *this->upstreams[slot];
      if (upstream.Machine() == aMachine && upstream.IsUp() &&
          !this->busy[slot]) {
        this->busy[slot] = true;
        this->maintaining[slot] = true;
        upstream.Crash();
        this->Spawn(this->ReturnFromMaintenance(slot));
        return true;
      }
    }
    return false;
  }

  Awaitable<void> ReturnFromMaintenance(std::size_t aSlot)
  {
    co_await this->client.Pause(kMaintenanceMs);
    this->maintaining[aSlot] = false;
    this->Restart(aSlot);
  }

  // Reports of another writer: copies of true ones with changed fields.
  Awaitable<void> WriteAsAnother()
  {
    co_await this->client.Pause(3000);
    while (!this->state.calm) {
      co_await this->client.Pause(200 + this->state.Below(800));
      PlatformUpstream& copied = *this->upstreams[static_cast<std::size_t>(
        this->state.Below(static_cast<std::int64_t>(this->upstreams.size())))];
      std::string id = copied.Id();
      const std::string body = this->Forge(copied, id);
      ++this->foreignReports;
      const std::int64_t delay =
        this->state.Below(3) == 0 ? this->state.Below(4000) : 0;
      this->Spawn(this->SendForged(id, body, delay));
    }
  }

  std::string Forge(PlatformUpstream& aCopied, std::string& aId)
  {
    Json report = aCopied.Report();
    const std::array<std::string, 7> kAddresses{
      "127.0.0.1:99999",
      "127.0.0.1:0",
      "127.0.0.1:-1",
      "127.0.0.1",
      "",
      "127.0.0.1:80\n",
      "127.0.0.1:111111111111111111111111111111"
    };
    const std::string address =
      kAddresses[static_cast<std::size_t>(this->state.Below(7))];
    switch (this->state.Below(8)) {
      case 0:
        report["born"] = aCopied.Born() + 1 + this->state.Below(2000);
        break;
      case 1:
        report["born"] = 1000000000000000;
        break;
      case 2:
        aId = "i-foreign-" + std::to_string(this->foreignReports);
        report["born"] = aCopied.Born() + 5;
        report["address"] = address;
        break;
      case 3:
        aId = "i-foreign-" + std::to_string(this->foreignReports);
        report["born"] = aCopied.Born() + this->state.Below(2);
        report["machine"] = "m-foreign";
        break;
      case 4:
        report["address"] = address;
        report["sequence"] = 1000000 + this->state.Below(1000);
        break;
      case 5:
        report["clock_ms"] = 1000000000000000;
        report["sequence"] = std::uint64_t{ 1 } << 62U;
        break;
      case 6:
        return report.dump().insert(1,
                                    R"("x":)" + std::string(10000, '[') +
                                      std::string(10000, ']') + ",");
      default:
        break; // a copy, which can arrive after the end of the boot
    }
    return report.dump();
  }

  Awaitable<void> SendForged(std::string aId,
                             std::string aBody,
                             std::int64_t aDelayMs)
  {
    co_await this->client.Pause(aDelayMs);
    const std::string control = this->client.NextControl();
    const Response response = co_await this->client.Send(
      http::verb::put, control, "/instances/" + aId, aBody);
    std::cout << WallMs() << " foreign report " << aId << ' '
              << response.result_int() << ' ' << aBody.substr(0, 400)
              << std::endl;
  }

  static constexpr std::int64_t kMaintenanceMs = 2000;

  asio::io_context& io;
  SoakState state;
  RunChecker checker;
  ControlClient client;
  DataCentreOperator evacuations{ this->client, this->state };
  std::string service, port;
  asio::signal_set signals;
  std::vector<std::unique_ptr<PlatformUpstream>> upstreams;
  std::vector<bool> busy;        // by upstream: a fault is in progress
  std::vector<bool> maintaining; // by upstream
  std::unique_ptr<MachineOwner> owner;
  std::array<int, 4> faults{};
  int foreignReports = 0;
  int lastId = 0;
};

} // namespace

int
main(int argc, char** argv)
{
  std::map<std::string, std::string> values;
  for (int i = 1; i + 1 < argc; i += 2) {
    values[argv[i]] = argv[i + 1];
  }
  for (const char* needed : { "--service",
                              "--count",
                              "--net",
                              "--first",
                              "--port",
                              "--controls",
                              "--seed" }) {
    if (!values.contains(needed)) {
      std::cerr << "missing " << needed << '\n';
      return 2;
    }
  }
  asio::io_context io(1);
  Soak soak(io, values);
  io.run();
  soak.PrintTotals();
  return 0;
}
