// Implements the histograms with Boost.Histogram and fixed buckets, and renders
// the Prometheus text format 0.0.4.
#include "shell/Metrics.h"

#include <boost/histogram.hpp>

#include <array>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

#include <sys/resource.h>
#include <unistd.h>

namespace hyssoppaddle::shell {

namespace {

namespace bh = boost::histogram;

constexpr std::string_view kMetricPrefix = "hyssoppaddle_";
// Each service has its own time series. The limit prevents a faulty bundle from
// exhausting the memory.
constexpr std::size_t kMaxServices = 1024;
// Upper bounds in seconds. 1.3 s is the target for the start of urgent work.
constexpr std::array kBucketBounds{ 0.0001, 0.00025, 0.0005, 0.001, 0.0025,
                                    0.005,  0.01,    0.025,  0.05,  0.1,
                                    0.25,   0.5,     1.0,    1.3,   2.5,
                                    5.0,    10.0,    30.0,   60.0 };

struct CounterRow
{
  Counter counter;
  std::string_view name;
  std::string_view help;
};

constexpr std::array kCounters{
  CounterRow{ Counter::Requests, "requests_total", "Requests with a header." },
  CounterRow{ Counter::Attempts, "attempts_total", "Attempts started." },
  CounterRow{ Counter::Retries,
              "retries_total",
              "Attempts after the first of a request." },
  CounterRow{ Counter::ConnectionsAccepted,
              "connections_accepted_total",
              "Connections accepted." },
  CounterRow{ Counter::ConnectionsRefused,
              "connections_refused_total",
              "Connections over the limit." },
  CounterRow{ Counter::PeerBytesSent, "peer_sent_bytes_total", "To peers." },
  CounterRow{ Counter::PeerBytesReceived,
              "peer_received_bytes_total",
              "From peers." },
  CounterRow{ Counter::PeerMessagesDropped,
              "peer_messages_dropped_total",
              "Messages that a slow or lost peer did not get." },
  CounterRow{ Counter::DecisionsWritten,
              "decision_lines_total",
              "Decision log lines written." },
  CounterRow{ Counter::DecisionsDropped,
              "decision_lines_dropped_total",
              "Decision log lines over the rate." },
  CounterRow{ Counter::StorageBatches,
              "storage_batches_total",
              "Writes with one sync." },
  CounterRow{ Counter::InstructionsSent,
              "instructions_total",
              "Instructions accepted by an upstream." },
  CounterRow{ Counter::InstructionsFailed,
              "instructions_failed_total",
              "Instructions that reached no upstream." },
};

constexpr std::array<std::pair<std::string_view, std::string_view>, 4> kTimings{
  { { "commit_seconds", "Arrival to outcome of a command." },
    { "queue_wait_seconds", "Arrival to first attempt." },
    { "storage_sync_seconds", "One batch written and synced." },
    { "core_step_seconds", "One event through the core." } }
};

// In the order of state::WorkClass.
constexpr std::array<std::string_view, 3> kClassNames{ "preview",
                                                       "print",
                                                       "archive" };

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::string
EscapeLabel(std::string_view aText)
{
  std::string text;
  for (const char character : aText) {
    if (character == '"' || character == '\\') {
      text += '\\';
    }
    text += character == '\n' ? ' ' : character;
  }
  return text;
}

class Latency
{
public:
  void Add(Duration aElapsed)
  {
    // A Boost.Histogram bin includes its lower bound, a Prometheus bucket its
    // upper bound. Using the next smaller double corrects the difference.
    this->buckets(std::nextafter(Seconds(aElapsed), 0.0));
    this->sum += Seconds(aElapsed);
  }

  void Write(std::ostream& aOut,
             std::string_view aName,
             const std::string& aLabels) const
  {
    const std::string comma = aLabels.empty() ? "" : ",";
    const std::string braces = aLabels.empty() ? "" : "{" + aLabels + "}";
    double total = this->Underflow();
    for (std::size_t i = 0; i < kBucketBounds.size(); ++i) {
      if (i > 0) {
        total += this->buckets.at(static_cast<int>(i) - 1);
      }
      aOut << kMetricPrefix << aName << "_bucket{" << aLabels << comma
           << "le=\"" << kBucketBounds.at(i) << "\"} " << total << '\n';
    }
    total += this->buckets.at(static_cast<int>(kBucketBounds.size()) - 1);
    aOut << kMetricPrefix << aName << "_bucket{" << aLabels << comma
         << "le=\"+Inf\"} " << total << '\n'
         << kMetricPrefix << aName << "_sum" << braces << ' ' << this->sum
         << '\n'
         << kMetricPrefix << aName << "_count" << braces << ' ' << total
         << '\n';
  }

private:
  [[nodiscard]] double Underflow() const { return this->buckets.at(-1); }

  decltype(bh::make_histogram(bh::axis::variable<>(kBucketBounds))) buckets =
    bh::make_histogram(bh::axis::variable<>(kBucketBounds));
  double sum = 0;
};

void
WriteHeader(std::ostream& aOut,
            std::string_view aName,
            std::string_view aHelp,
            std::string_view aType)
{
  aOut << "# HELP " << kMetricPrefix << aName << ' ' << aHelp << '\n'
       << "# TYPE " << kMetricPrefix << aName << ' ' << aType << '\n';
}

using LabelledCounts = std::map<std::string, std::uint64_t, std::less<>>;

void
CountLabel(LabelledCounts& aCounts, std::string_view aLabel)
{
  const auto found = aCounts.find(aLabel);
  if (found != aCounts.end()) {
    ++found->second;
  } else {
    aCounts.emplace(aLabel, 1);
  }
}

void
WriteLabelled(std::ostream& aOut,
              std::string_view aName,
              std::string_view aHelp,
              std::string_view aLabel,
              const LabelledCounts& aCounts)
{
  WriteHeader(aOut, aName, aHelp, "counter");
  for (const auto& [value, count] : aCounts) {
    aOut << kMetricPrefix << aName << '{' << aLabel << "=\""
         << EscapeLabel(value) << "\"} " << count << '\n';
  }
}

void
WriteGauge(std::ostream& aOut, const Gauge& aGauge)
{
  WriteHeader(aOut, aGauge.name, aGauge.help, "gauge");
  aOut << kMetricPrefix << aGauge.name << ' ' << aGauge.value << '\n';
}

} // namespace

struct Metrics::Impl
{
  std::array<std::uint64_t, kCounters.size()> counters{};
  std::array<Latency, kTimings.size()> timings;
  LabelledCounts refusals;
  LabelledCounts decisions;
  // Indexed by service, then by class.
  std::map<std::string, std::array<Latency, kClassNames.size()>, std::less<>>
    requests;

  void WriteRequests(std::ostream& aOut) const
  {
    constexpr std::string_view kMetricName = "request_seconds";
    WriteHeader(
      aOut, kMetricName, "Header to last byte of the answer.", "histogram");
    for (const auto& [service, latencies] : this->requests) {
      for (std::size_t i = 0; i < kClassNames.size(); ++i) {
        latencies.at(i).Write(aOut,
                              kMetricName,
                              "service=\"" + EscapeLabel(service) +
                                "\",class=\"" + std::string(kClassNames.at(i)) +
                                "\"");
      }
    }
  }
};

Metrics::Metrics()
  : impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Add(Counter aCounter, std::uint64_t aAmount)
{
  this->impl->counters.at(static_cast<std::size_t>(aCounter)) += aAmount;
}

std::uint64_t
Metrics::Value(Counter aCounter) const
{
  return this->impl->counters.at(static_cast<std::size_t>(aCounter));
}

void
Metrics::CountRefusal(std::string_view aCode)
{
  CountLabel(this->impl->refusals, aCode);
}

void
Metrics::CountDecision(std::string_view aKind)
{
  CountLabel(this->impl->decisions, aKind);
}

void
Metrics::Observe(Timing aTiming, Duration aElapsed)
{
  this->impl->timings.at(static_cast<std::size_t>(aTiming)).Add(aElapsed);
}

void
Metrics::ObserveRequest(const ServiceId& aService,
                        state::WorkClass aClass,
                        Duration aElapsed)
{
  auto& requests = this->impl->requests;
  auto found = requests.find(aService.View());
  if (found == requests.end()) {
    if (requests.size() >= kMaxServices) {
      return;
    }
    found = requests.try_emplace(aService.value).first;
  }
  found->second.at(static_cast<std::size_t>(aClass)).Add(aElapsed);
}

std::string
Metrics::Render(const std::vector<Gauge>& aGauges) const
{
  std::ostringstream out;
  out.precision(15);
  for (const CounterRow& row : kCounters) {
    WriteHeader(out, row.name, row.help, "counter");
    out << kMetricPrefix << row.name << ' ' << this->Value(row.counter) << '\n';
  }
  WriteLabelled(out,
                "refusals_total",
                "Refused requests by reason.",
                "code",
                this->impl->refusals);
  WriteLabelled(out,
                "decisions_total",
                "Decisions by kind.",
                "kind",
                this->impl->decisions);
  for (std::size_t i = 0; i < kTimings.size(); ++i) {
    WriteHeader(out, kTimings.at(i).first, kTimings.at(i).second, "histogram");
    this->impl->timings.at(i).Write(out, kTimings.at(i).first, "");
  }
  this->impl->WriteRequests(out);
  WriteHeader(out, "cpu_seconds_total", "Processor time used.", "counter");
  out << kMetricPrefix << "cpu_seconds_total " << Seconds(ProcessCpuTime())
      << '\n';
  WriteGauge(out,
             { "resident_bytes",
               "Resident memory.",
               static_cast<double>(ResidentBytes()) });
  for (const Gauge& gauge : aGauges) {
    WriteGauge(out, gauge);
  }
  return out.str();
}

std::uint64_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

Duration
ProcessCpuTime()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto total = [](const timeval& aValue) {
    return std::chrono::seconds(aValue.tv_sec) + Duration(aValue.tv_usec);
  };
  return total(usage.ru_utime) + total(usage.ru_stime);
}

} // namespace hyssoppaddle::shell
