// One daemon: listeners, peers, storage and the core on one Asio thread and one
// storage thread.
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

// Exit code after a failed write or sync: what reached the disk is unknown, so
// the process must not go on.
inline constexpr int kStorageFailedExitCode = 4;

struct DaemonParts
{
  // Makes the JSON API on top of the port, which outlives it.
  std::function<std::unique_ptr<api::ControlHandler>(api::CorePort&)>
    makeHandler;
  // Needed when the settings name a data folder.
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
  // Serves until the graceful stop is complete. SIGTERM and SIGINT begin it.
  void Run();
  // Begins the graceful stop; may be called from any thread.
  void RequestStop();

  // Ports of the listeners, after Start.
  [[nodiscard]] std::uint16_t CallersPort() const;
  [[nodiscard]] std::uint16_t ControlPort() const;
  [[nodiscard]] std::uint16_t PeersPort() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace hyssoppaddle::shell

#endif
