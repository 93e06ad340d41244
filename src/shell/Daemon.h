// One daemon: the listeners, the peer connections and the core run on one Asio
// thread, storage runs on a second thread.
#ifndef hyssoppaddle_shell_Daemon_h
#define hyssoppaddle_shell_Daemon_h

#include "api/ControlHandler.h"
#include "base/Result.h"
#include "config/Settings.h"
#include "shell/DurableLog.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace hyssoppaddle::shell {

// Exit code after a failed write or sync. It is unknown which data reached the
// disk, so the process must not continue.
inline constexpr int kStorageFailedExitCode = 4;

struct DaemonParts
{
  // Creates the JSON API on top of the port. The port outlives the API.
  std::function<std::unique_ptr<api::ControlHandler>(api::CorePort&)>
    makeHandler;
  // Required if the settings name a data folder.
  LogOpener openLog;
};

class Daemon
{
public:
  Daemon(config::Settings aSettings, DaemonParts aParts);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Opens the data folder and all listeners.
  Result<void> Start();
  // Serves until the graceful stop is complete. SIGTERM and SIGINT start the
  // stop.
  void Run();
  // Starts the graceful stop. May be called from any thread.
  void RequestStop();

  // Ports of the listeners. Valid after Start.
  [[nodiscard]] std::uint16_t CallersPort() const;
  [[nodiscard]] std::uint16_t ControlPort() const;
  [[nodiscard]] std::uint16_t PeersPort() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace hyssoppaddle::shell

#endif
