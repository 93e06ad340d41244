// Settings, processes and addresses of the nodes.
#include "Fleet.h"

#include "Http.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kFrontPort = 8340;
constexpr int kReadyPort = 8343;
constexpr int kControlPort = 8345;
constexpr int kPeerPort = 7000;
constexpr int kMetricsPort = 7001;
constexpr int kOtherPort = 8080;
constexpr std::size_t kFirstOther = 20;

std::string
At(const std::string& aHost, int aPort)
{
  return aHost + ":" + std::to_string(aPort);
}

void
Sleep(int aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

} // namespace

Fleet::Fleet(Record& aRecord, FleetOptions aOptions)
  : record(aRecord)
  , options(aOptions)
  , processes(aOptions.nodes, -1)
{
  std::string name =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  this->folder = name;
  for (int i = 0; i < 200 && this->net.empty(); ++i) {
    const int number = (::getpid() + i * 7) % 60000;
    const std::string candidate = "127." + std::to_string(10 + number / 250) +
                                  "." + std::to_string(1 + number % 250);
    const bool isFree =
      AreFree(
        candidate + ".1",
        { kFrontPort, kReadyPort, kControlPort, kPeerPort, kMetricsPort }) &&
      AreFree(candidate + ".20", { kOtherPort });
    this->net = isFree ? candidate : "";
  }
  if (this->net.empty()) {
    throw std::runtime_error("no free addresses");
  }
}

Fleet::~Fleet()
{
  for (std::size_t i = 0; i < this->processes.size(); ++i) {
    this->Kill(i);
  }
  if (std::getenv("KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
}

std::string
Fleet::Host(std::size_t aNode) const
{
  return this->net + "." + std::to_string(aNode + 1);
}

std::string
Fleet::Front(std::size_t aNode) const
{
  return At(this->Host(aNode), kFrontPort);
}

std::string
Fleet::Ready(std::size_t aNode) const
{
  return At(this->Host(aNode), kReadyPort);
}

std::string
Fleet::Control(std::size_t aNode) const
{
  return At(this->Host(aNode), kControlPort);
}

std::string
Fleet::Other(std::size_t aNumber) const
{
  return At(this->net + "." + std::to_string(kFirstOther + aNumber),
            kOtherPort);
}

// As the platform fills in platform/node-settings.json.in, without an owner of
// the machines and without advice.
std::string
Fleet::Settings(std::size_t aNode, bool aIsFirstStart) const
{
  std::string seeds;
  for (std::size_t i = 0; i < this->options.nodes && i < 3; ++i) {
    seeds += (i == 0 ? "\"" : ", \"") + this->Control(i) + "\"";
  }
  const std::string name = std::to_string(aNode + 1);
  return "{ \"name\": \"frontend-" + name + "\", \"data_centre\": \"zone-" +
         name +
         "\", \"data_centres\": [\"zone-1\", \"zone-2\", \"zone-3\"],\n"
         "  \"callers_address\": \"" +
         this->Front(aNode) + "\", \"control_address\": \"" +
         this->Control(aNode) + "\",\n  \"ready_address\": \"" +
         this->Ready(aNode) + "\", \"peers_address\": \"" +
         At(this->Host(aNode), kPeerPort) + "\",\n  \"metrics_address\": \"" +
         At(this->Host(aNode), kMetricsPort) + "\", \"data_folder\": \"" +
         this->folder + "/data-" + name +
         "\",\n  \"descriptors\": 4100, \"first_start\": " +
         (aIsFirstStart ? "true" : "false") + ", \"seeds\": [" + seeds +
         "],\n  \"tolerated_losses\": { \"instances\": 1, \"data_centres\": 0 "
         "},\n  \"times\": { \"grace_s\": 6, \"announce_ms\": 1500, "
         "\"max_lease_ms\": " +
         std::to_string(this->options.maxHoldMs) +
         ", \"stop_ms\": 400,\n    \"order_lease_ms\": 3000, "
         "\"maintenance_s\": 2, \"move_s\": 1.5 } }\n";
}

void
Fleet::Start(std::size_t aNode, bool aIsFirstStart)
{
  const std::string name = std::to_string(aNode + 1);
  const std::string settings = this->folder + "/settings-" + name + ".json";
  std::ofstream(settings) << this->Settings(aNode, aIsFirstStart);
  const std::string log = this->folder + "/node-" + name + ".txt";
  const std::string variable = "HYSSOPPADDLE_CONFIG=" + settings;
  this->record.Add("node " + name + " starts, bootstrap " +
                   (aIsFirstStart ? "true" : "false"));
  const pid_t child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    std::string program = "target/hyssoppaddle";
    std::string command = "platform";
    std::string verb = "run";
    std::string config = variable;
    std::string path = "PATH=/usr/bin:/bin";
    char* arguments[] = {
      program.data(), command.data(), verb.data(), nullptr
    };
    char* environment[] = { config.data(), path.data(), nullptr };
    ::execve(program.c_str(), arguments, environment);
    ::_exit(127);
  }
  this->processes[aNode] = child;
}

void
Fleet::Signal(std::size_t aNode, int aSignal)
{
  if (this->processes[aNode] > 0) {
    ::kill(this->processes[aNode], aSignal);
  }
}

void
Fleet::Kill(std::size_t aNode)
{
  pid_t& process = this->processes[aNode];
  if (process > 0) {
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    process = -1;
    this->record.Add("node " + std::to_string(aNode + 1) + " is down");
  }
}

void
Fleet::LoseDisk(std::size_t aNode)
{
  const std::string name = std::to_string(aNode + 1);
  std::filesystem::remove_all(this->folder + "/data-" + name);
  this->record.Add("node " + name + " has lost its disk");
}

bool
Fleet::IsRunning(std::size_t aNode)
{
  const pid_t process = this->processes[aNode];
  return process > 0 && ::waitpid(process, nullptr, WNOHANG) == 0;
}

bool
Fleet::IsReady(std::size_t aNode) const
{
  return Send(this->Ready(aNode), { "GET", "/readyz", {}, {} }, 500).status ==
         200;
}

bool
Fleet::WaitUntilReady(int aLimitMs) const
{
  const std::int64_t until = SteadyMs() + aLimitMs;
  std::size_t ready = 0;
  while (ready < this->options.nodes && SteadyMs() < until) {
    ready = 0;
    for (std::size_t i = 0; i < this->options.nodes; ++i) {
      ready += this->IsReady(i) ? 1 : 0;
    }
    Sleep(20);
  }
  return ready == this->options.nodes;
}

} // namespace review
