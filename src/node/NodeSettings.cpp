// Keys and value ranges of the node settings.
#include "node/NodeSettings.h"

#include "config/ObjectReader.h"

namespace hyssoppaddle::node {

namespace {

using config::FindingLog;
using config::LocatedNode;
using config::Need;
using config::ObjectReader;

constexpr Duration kMillisecond = dispatch::milliseconds(1);
// Limits that keep sums of durations far from overflow; realistic values are a
// few seconds.
constexpr config::Range kTimeRangeMs{ 1, 3600000 };
constexpr double kMaxSeconds = 3600.0;
constexpr config::Range kCountRange{ 0, 100 };
// With fewer descriptors a node cannot hold its files and the links to its
// peers.
constexpr config::Range kDescriptorRange{ 64, 100000000 };
// A node uses some MiB for itself, and its requests get at least 27.
constexpr config::Range kMemoryRangeMb{ 64, 100000000 };

void
ReadSeeds(ObjectReader& aReader, NodeSettings& aSettings, FindingLog& aLog)
{
  std::vector<LocatedNode> seeds;
  if (!aReader.Array("seeds", seeds, Need::Required)) {
    return;
  }
  for (const LocatedNode& seed : seeds) {
    if (seed.node->kind != config::JsonKind::String) {
      aLog.Add(seed.path, seed.node->offset, "must be an address as a string");
      continue;
    }
    aSettings.seeds.push_back(seed.node->text);
  }
}

void
ReadTimes(ObjectReader& aParent, NodeSettings& aSettings, FindingLog& aLog)
{
  LocatedNode located;
  if (!aParent.Object("times", located, Need::Optional)) {
    return;
  }
  ObjectReader reader(located, aLog);
  dispatch::Options& options = aSettings.dispatch;
  const auto readMilliseconds = [&](const char* aKey, Duration& aTarget) {
    reader.Time(aKey, aTarget, kMillisecond, kTimeRangeMs);
  };
  const auto readSeconds = [&](const char* aKey, Duration& aTarget) {
    double value = std::chrono::duration<double>(aTarget).count();
    reader.Real(aKey, value, 0.0, kMaxSeconds);
    aTarget = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
  };
  readSeconds("grace_s", aSettings.gracePeriod);
  readSeconds("maintenance_s", options.maintenanceTime);
  readSeconds("move_s", options.moveTime);
  readMilliseconds("announce_ms", options.announceInterval);
  readMilliseconds("max_lease_ms", options.maxLease);
  readMilliseconds("stop_ms", options.maxStopTime);
  readMilliseconds("order_lease_ms", options.orderLease);
  reader.Finish();
}

void
ReadDataCentres(ObjectReader& aReader, NodeSettings& aSettings)
{
  std::vector<LocatedNode> names;
  if (aReader.Array("data_centres", names, Need::Optional)) {
    aSettings.tolerance.dataCentreCount = names.size();
  }
  for (const LocatedNode& name : names) {
    if (name.node->kind == config::JsonKind::String) {
      aSettings.dataCentres.emplace_back(name.node->text);
    }
  }
}

void
ReadTolerance(ObjectReader& aParent, NodeSettings& aSettings, FindingLog& aLog)
{
  LocatedNode located;
  if (!aParent.Object("tolerated_losses", located, Need::Optional)) {
    return;
  }
  ObjectReader reader(located, aLog);
  agreement::FaultTolerance& tolerance = aSettings.tolerance;
  reader.Integer("instances", tolerance.instances, kCountRange, Need::Optional);
  reader.Integer(
    "data_centres", tolerance.dataCentres, kCountRange, Need::Optional);
  reader.Finish();
}

} // namespace

tl::expected<NodeSettings, Findings>
ParseNodeSettings(std::string_view aText)
{
  FindingLog log(aText);
  NodeSettings settings;
  const auto tree = config::ParseJson(aText);
  if (!tree) {
    return tl::unexpected<Findings>(tree.error());
  }
  ObjectReader reader(LocatedNode{ &*tree, "" }, log);
  reader.Name("name", settings.name, Need::Required);
  reader.Name("data_centre", settings.dataCentre, Need::Required);
  reader.Address("callers_address", settings.callersAddress, 0, Need::Required);
  reader.Address("control_address", settings.controlAddress, 0, Need::Required);
  reader.Address("ready_address", settings.readyAddress, 0, Need::Required);
  reader.Address("peers_address", settings.peersAddress, 1, Need::Required);
  reader.Address("metrics_address", settings.metricsAddress, 0, Need::Optional);
  reader.String("data_folder", settings.dataFolder, Need::Optional);
  reader.Boolean("first_start", settings.firstStart, Need::Optional);
  reader.Address("advisor_address", settings.advisorAddress, 1, Need::Optional);
  reader.Address(
    "instance_owner_address", settings.instanceOwnerAddress, 1, Need::Optional);
  reader.Integer("decision_lines_per_second",
                 settings.decisionLinesPerSecond,
                 { 0, 100000 },
                 Need::Optional);
  reader.Integer(
    "descriptors", settings.descriptors, kDescriptorRange, Need::Optional);
  reader.Integer(
    "memory_mb", settings.memoryMb, kMemoryRangeMb, Need::Optional);
  reader.Boolean(
    "learn_interference", settings.dispatch.learnsInterference, Need::Optional);
  ReadSeeds(reader, settings, log);
  ReadDataCentres(reader, settings);
  ReadTolerance(reader, settings, log);
  ReadTimes(reader, settings, log);
  reader.Finish();
  if (!log.IsEmpty()) {
    return tl::unexpected<Findings>(log.Take());
  }
  settings.dispatch.self = settings.name;
  settings.dispatch.hasAdvisor = !settings.advisorAddress.empty();
  settings.dispatch.hasInstanceOwner = !settings.instanceOwnerAddress.empty();
  return settings;
}

} // namespace hyssoppaddle::node
