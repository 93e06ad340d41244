// Counters and latency histograms of one daemon, rendered in the Prometheus
// text format.
#ifndef hyssoppaddle_shell_Metrics_h
#define hyssoppaddle_shell_Metrics_h

#include "base/Time.h"
#include "state/Bundle.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppaddle::shell {

enum class Counter : std::uint8_t
{
  Requests,
  Attempts,
  Retries,
  ConnectionsAccepted,
  ConnectionsRefused,
  PeerBytesSent,
  PeerBytesReceived,
  PeerMessagesDropped,
  DecisionsWritten,
  DecisionsDropped,
  StorageBatches,
  InstructionsSent,
  InstructionsFailed,
};

enum class Timing : std::uint8_t
{
  Commit,      // a command from its arrival to its outcome
  QueueWait,   // a request from its arrival to its first attempt
  StorageSync, // one batch of writes with its sync
  CoreStep,    // one event through the core and its effects
};

// A value that is read when the metrics are scraped.
struct Gauge
{
  std::string_view name; // without the prefix
  std::string_view help;
  double value = 0;
};

class Metrics
{
public:
  Metrics();
  ~Metrics();

  void Add(Counter aCounter, std::uint64_t aAmount = 1);
  [[nodiscard]] std::uint64_t Value(Counter aCounter) const;
  void CountRefusal(std::string_view aCode);
  void CountDecision(std::string_view aKind);
  void Observe(Timing aTiming, Duration aElapsed);
  // From the arrival of the header to the last byte of the answer.
  void ObserveRequest(const ServiceId& aService,
                      state::WorkClass aClass,
                      Duration aElapsed);

  // Renders all metrics, including aGauges and the process metrics.
  [[nodiscard]] std::string Render(const std::vector<Gauge>& aGauges) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// Resident memory of this process in bytes.
std::uint64_t
ResidentBytes();
// Processor time used by all threads of this process.
Duration
ProcessCpuTime();

} // namespace hyssoppaddle::shell

#endif
