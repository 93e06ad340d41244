// Tests complete daemons over real sockets: the core, the relay, the peer
// connections and the control listener together.
#include "shell/Daemon.h"
#include "shell/ClusterSecret.h"
#include "shell/JsonLog.h"
#include "shell/RelayFixture.h"
#include "support/TestTrace.h"

#include "core/Reducer.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <future>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;

namespace {

bool
Contains(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

state::Bundle
MakeBundle()
{
  state::Bundle bundle;
  bundle.version = 1;
  bundle.dataCentres = { { DataCentreId("dc"), "region" } };
  bundle.workspaces = { { WorkspaceId("space"), MemberId("member") } };
  state::PoolSpec pool;
  pool.name = PoolId("pool");
  for (const char* name : { "u1", "u2" }) {
    pool.instances.push_back({ InstanceId(name),
                               DataCentreId("dc"),
                               RackId("rack"),
                               { 32000, 65536, 0 } });
  }
  bundle.pools = { pool };
  bundle.teams = { { TeamId("team"), WorkspaceId("space"), 1, 50 } };
  state::ServiceSpec service;
  service.name = ServiceId("quotes");
  service.pool = PoolId("pool");
  service.workspace = WorkspaceId("space");
  service.workClass = state::WorkClass::Preview;
  service.open = true;
  service.openTeam = TeamId("team");
  bundle.services = { service };
  return bundle;
}

state::Announcement
MakeAnnouncement(const std::string& aName, const std::string& aAddress)
{
  state::Announcement announcement;
  announcement.instance = InstanceId(aName);
  announcement.bootedAtMs = 1;
  announcement.boot = "boot";
  announcement.service = ServiceId("quotes");
  announcement.pool = PoolId("pool");
  announcement.dataCentre = DataCentreId("dc");
  announcement.rack = RackId("rack");
  announcement.address = aAddress;
  announcement.slots = 8;
  announcement.connections = 64;
  announcement.capacity = { 32000, 65536, 0 };
  return announcement;
}

// Replaces the JSON API and passes requests to the core on the daemon's thread.
// The API itself needs the parsers and is tested elsewhere.
class CorePortHandler final : public api::ControlHandler
{
public:
  explicit CorePortHandler(api::CorePort& aPort)
    : port(aPort)
  {
  }

  void Handle(api::HttpRequest aRequest, api::ReplyCallback aReply) override
  {
    const auto json = nlohmann::json::parse(aRequest.body);
    if (aRequest.target == "/announce") {
      auto announcement =
        MakeAnnouncement(json.at("instance"), json.at("address"));
      announcement.sequence = json.at("sequence");
      this->port.Announce(
        std::move(announcement), {}, [aReply](const auto& aAnswer) {
          aReply({ aAnswer.accepted ? 200U : 409U, "text/plain", {}, "" });
        });
      return;
    }
    const auto body = Command(json.at("step"));
    state::Command command;
    command.body = body;
    this->port.SubmitCommand(command, [aReply](const auto& aDecided) {
      const bool done = aDecided.decided && aDecided.outcome.Ok();
      aReply({ done ? 200U : 503U, "text/plain", {}, aDecided.outcome.detail });
    });
  }

private:
  static state::CommandBody Command(int aStep)
  {
    if (aStep == 0) {
      return state::ProposeMember{ MemberId("member") };
    }
    if (aStep == 1) {
      return state::ProposeBundle{ "{}", "digest", "operator", MakeBundle() };
    }
    return state::ApproveBundle{ 1, "digest", MemberId("member") };
  }

  api::CorePort& port;
};

class RunningDaemon
{
public:
  explicit RunningDaemon(config::Settings aSettings)
  {
    this->secretFile = std::filesystem::temp_directory_path() /
                       ("hyssoppaddle-secret-" + std::to_string(getpid()) +
                        "-" + aSettings.instance.value);
    std::ofstream(this->secretFile) << std::string(64, 'a') << '\n';
    aSettings.clusterSecretFile = this->secretFile;
    shell::DaemonParts parts;
    parts.makeHandler = [](api::CorePort& aPort) {
      return std::make_unique<CorePortHandler>(aPort);
    };
    this->daemon =
      std::make_unique<shell::Daemon>(std::move(aSettings), std::move(parts));
    const auto started = this->daemon->Start();
    cr_assert(started.has_value(), "%s", started.error().message.c_str());
    this->thread = std::thread([this] { this->daemon->Run(); });
  }

  ~RunningDaemon()
  {
    this->Stop();
    std::filesystem::remove(this->secretFile);
  }

  void Stop()
  {
    if (this->thread.joinable()) {
      this->daemon->RequestStop();
      this->thread.join();
    }
  }

  shell::Daemon& operator*() { return *this->daemon; }

private:
  std::filesystem::path secretFile;
  std::unique_ptr<shell::Daemon> daemon;
  std::thread thread;
};

config::Settings
MakeSettings(const std::string& aName)
{
  config::Settings settings;
  settings.cluster = "test";
  settings.instance = InstanceId(aName);
  settings.dataCentre = DataCentreId("dc");
  settings.callersAddress = "127.0.0.1:0";
  settings.controlAddress = "127.0.0.1:0";
  settings.peersAddress = "127.0.0.1:0";
  settings.peers = { { settings.instance, settings.dataCentre, "", true } };
  return settings;
}

std::string
SendPost(std::uint16_t aPort,
         const std::string& aTarget,
         const std::string& aBody)
{
  RawClient client(aPort);
  client.Send("POST " + aTarget +
              " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
              std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  return client.ReadAll();
}

// Repeats the request until the answer has the status, or until the number of
// tries is used up.
bool
SendPostUntil(std::uint16_t aPort,
              const std::string& aTarget,
              const std::string& aBody,
              const std::string& aStatus)
{
  for (int i = 0; i < 400; ++i) {
    if (Contains(SendPost(aPort, aTarget, aBody),
                 "HTTP/1.1 " + aStatus + " ")) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
  }
  return false;
}

RawUpstream::Script
AlwaysAnswers(std::string_view aBody)
{
  return [aBody](RawClient& aPeer, int) {
    while (!aPeer.ReadUntil("\r\n\r\n").empty()) {
      aPeer.Send(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
        "\r\n\r\n" + std::string(aBody));
    }
  };
}

void
SetUpBundle(const TestTrace& aTrace, std::uint16_t aControl)
{
  for (int step = 0; step < 3; ++step) {
    const std::string body = "{\"step\":" + std::to_string(step) + "}";
    EXPECT_THAT(aTrace, SendPostUntil(aControl, "/command", body, "200"));
  }
}

} // namespace

// Guards against components that work separately but not together, so that no
// request reaches an upstream or the daemon does not stop.
Test(Daemon, ServesRequestsUntilItIsStopped)
{
  TestTrace trace;
  RawUpstream first(AlwaysAnswers("answer"));
  RawUpstream second(AlwaysAnswers("answer"));
  RunningDaemon running(MakeSettings("a1"));
  const std::uint16_t control = (*running).ControlPort();
  const std::uint16_t callers = (*running).CallersPort();
  trace.Section("a bundle is accepted", [&] { SetUpBundle(trace, control); });
  trace.Section("two upstreams announce themselves", [&] {
    for (const auto& [name, address] : { std::pair("u1", first.Address()),
                                         std::pair("u2", second.Address()) }) {
      const nlohmann::json body{ { "instance", name },
                                 { "address", address },
                                 { "sequence", 1 } };
      EXPECT_THAT(trace,
                  SendPostUntil(control, "/announce", body.dump(), "200"));
    }
  });
  trace.Section("it is ready and relays", [&] {
    EXPECT_THAT(trace, SendPostUntil(control, "/readyz", "", "200"));
    EXPECT_THAT(trace, SendPostUntil(callers, "/services/quotes/x", "", "200"));
    EXPECT_THAT(
      trace,
      Contains(SendPost(callers, "/services/quotes/x", "body"), "answer"));
  });
  trace.Section("the metrics count the request", [&] {
    const std::string metrics = SendPost(control, "/metrics", "");
    EXPECT_THAT(trace,
                Contains(metrics, "request_seconds_count{service=\"quotes\""));
    EXPECT_THAT(trace, Contains(metrics, "hyssoppaddle_is_leader 1\n"));
  });
  trace.Section("it stops", [&] { running.Stop(); });
}

// Guards against peers that cannot form a cluster. A command must be decided by
// a majority of three daemons and be visible on all of them.
Test(Daemon, FormsAClusterOfThree)
{
  TestTrace trace;
  // Finds free ports by binding and closing them.
  std::vector<std::string> addresses;
  {
    std::vector<std::unique_ptr<RawUpstream>> portHolders;
    for (int i = 0; i < 3; ++i) {
      portHolders.push_back(
        std::make_unique<RawUpstream>([](RawClient&, int) {}));
      addresses.push_back(portHolders.back()->Address());
    }
  }
  std::vector<config::PeerSettings> peers;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    peers.push_back({ InstanceId("a" + std::to_string(i)),
                      DataCentreId("dc"),
                      addresses[i],
                      true });
  }
  std::vector<std::unique_ptr<RunningDaemon>> daemons;
  for (const auto& peer : peers) {
    config::Settings settings = MakeSettings(peer.instance.value);
    settings.peers = peers;
    settings.peersAddress = peer.address;
    daemons.push_back(std::make_unique<RunningDaemon>(std::move(settings)));
  }
  trace.Section("commands through any instance are decided",
                [&] { SetUpBundle(trace, (**daemons[1]).ControlPort()); });
  trace.Section("every instance becomes ready", [&] {
    for (const auto& daemon : daemons) {
      const auto control = (**daemon).ControlPort();
      EXPECT_THAT(trace, SendPostUntil(control, "/readyz", "", "200"));
    }
  });
  trace.Section("the other two decide after one daemon has stopped", [&] {
    daemons[0].reset();
    EXPECT_THAT(trace,
                SendPostUntil((**daemons[2]).ControlPort(),
                              "/announce",
                              R"({"instance":"u1","address":"127.0.0.1:1",)"
                              R"("sequence":1})",
                              "200"));
  });
}
