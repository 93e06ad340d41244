// Parses the settings of a daemon: each key with its range, then the
// constraints between keys.
#include "config/ObjectReader.h"
#include "config/Settings.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hyssoppaddle::config {

namespace {

constexpr Duration kMillisecond{ 1000 };
constexpr std::uint64_t kMiB = 1024 * 1024;
constexpr std::uint64_t kGiB = 1024 * kMiB;
constexpr std::size_t kMaxPeers = 12; // entry instances of one cluster

void
ReadTls(ObjectReader& aParent,
        const char* aKey,
        std::optional<TlsSettings>& aTarget,
        Need aAuthority,
        FindingLog& aLog)
{
  LocatedNode located;
  if (!aParent.Object(aKey, located, Need::Optional)) {
    return;
  }
  TlsSettings tls;
  ObjectReader reader(located, aLog);
  reader.String("certificate_file", tls.certificateFile, Need::Required);
  reader.String("key_file", tls.keyFile, Need::Required);
  reader.String("authority_file", tls.authorityFile, aAuthority);
  reader.Finish();
  aTarget = std::move(tls);
}

void
ReadLimits(ObjectReader& aParent, LimitSettings& aLimits, FindingLog& aLog)
{
  LocatedNode located;
  if (!aParent.Object("limits", located, Need::Optional)) {
    return;
  }
  ObjectReader reader(located, aLog);
  const Need optional = Need::Optional;
  reader.Integer("header_bytes", aLimits.headerBytes, { 1024, kMiB }, optional);
  reader.Integer("body_bytes", aLimits.bodyBytes, { 1, 1024 * kGiB }, optional);
  reader.Integer(
    "replay_bytes", aLimits.replayBytes, { 0, 16 * kMiB }, optional);
  reader.Integer(
    "relay_buffer_bytes", aLimits.relayBufferBytes, { 4096, kMiB }, optional);
  reader.Integer(
    "caller_connections", aLimits.callerConnections, { 1, 1000000 }, optional);
  reader.Time(
    "header_timeout_ms", aLimits.headerTimeout, kMillisecond, { 100, 600000 });
  reader.Time(
    "idle_timeout_ms", aLimits.idleTimeout, kMillisecond, { 100, 3600000 });
  // At most 60 s: permits of a silent holder are reclaimed on the assumption
  // that its requests have ended by then.
  reader.Time(
    "request_timeout_ms", aLimits.requestTimeout, kMillisecond, { 1, 60000 });
  reader.Finish();
}

class PeerReader
{
public:
  PeerReader(const Settings& aSettings, FindingLog& aLog)
    : settings(aSettings)
    , log(aLog)
  {
  }

  PeerSettings Read(const LocatedNode& aPeer)
  {
    PeerSettings peer;
    ObjectReader reader(aPeer, this->log);
    const bool hasName = reader.Name("instance", peer.instance, Need::Required);
    reader.Name("data_centre", peer.dataCentre, Need::Required);
    // Port 0 lets the system choose a port. It is allowed only in the entry of
    // this instance.
    const bool isOwn = hasName && peer.instance == this->settings.instance;
    reader.Address("address", peer.address, isOwn ? 0 : 1, Need::Required);
    reader.Boolean("voter", peer.voter, Need::Optional);
    if (hasName && !this->instances.insert(peer.instance).second) {
      reader.Report("instance", "the name is given twice; names are unique");
    }
    if (!peer.address.empty() && !peer.address.ends_with(":0") &&
        !this->addresses.insert(peer.address).second) {
      reader.Report("address", "the address is given twice");
    }
    if (isOwn) {
      this->CheckOwnEntry(peer, reader);
    }
    reader.Finish();
    return peer;
  }

private:
  void CheckOwnEntry(const PeerSettings& aPeer, ObjectReader& aReader)
  {
    if (!aPeer.dataCentre.empty() && !this->settings.dataCentre.empty() &&
        aPeer.dataCentre != this->settings.dataCentre) {
      aReader.Report("data_centre",
                     "must be the data_centre of this instance, " +
                       this->settings.dataCentre.value);
    }
    if (aPeer.voter && this->settings.dataFolder.empty()) {
      aReader.Report("voter",
                     "a voter needs a data folder; set data_folder or make "
                     "this instance no voter");
    }
    if (!aPeer.voter && !this->settings.dataFolder.empty()) {
      aReader.Report("voter",
                     "must be true, since this instance has a data_folder");
    }
  }

  const Settings& settings;
  FindingLog& log;
  std::set<InstanceId> instances;
  std::set<std::string> addresses;
};

void
CheckPeers(const Settings& aSettings, ObjectReader& aReader)
{
  const std::vector<PeerSettings>& peers = aSettings.peers;
  if (peers.size() > kMaxPeers) {
    aReader.Report("peers", "has more than 12 entries; at most 12 are allowed");
  }
  const bool hasOwnEntry =
    std::ranges::find(peers, aSettings.instance, &PeerSettings::instance) !=
    peers.end();
  if (!aSettings.instance.empty() && !hasOwnEntry) {
    aReader.Report("peers",
                   "must have an entry for this instance, " +
                     aSettings.instance.value);
  }
  const auto voters = std::ranges::count(peers, true, &PeerSettings::voter);
  if (voters != 1 && voters != 3 && voters != 5) {
    aReader.Report("peers",
                   "has " + std::to_string(voters) +
                     " voters; 1, 3 or 5 are allowed");
  }
}

void
ReadPeers(ObjectReader& aReader, Settings& aSettings, FindingLog& aLog)
{
  std::vector<LocatedNode> located;
  if (!aReader.Array("peers", located, Need::Required)) {
    return;
  }
  PeerReader peerReader(aSettings, aLog);
  for (const LocatedNode& peer : located) {
    aSettings.peers.push_back(peerReader.Read(peer));
  }
  CheckPeers(aSettings, aReader);
}

void
ReadLogging(ObjectReader& aReader, Settings& aSettings)
{
  static constexpr const char* kLevelNames[] = {
    "debug", "info", "warning", "error"
  };
  std::size_t level = 0;
  if (aReader.Choice(
        "log_level",
        { kLevelNames[0], kLevelNames[1], kLevelNames[2], kLevelNames[3] },
        level,
        Need::Optional)) {
    aSettings.logLevel = kLevelNames[level];
  }
  aReader.Integer("decision_lines_per_second",
                  aSettings.decisionLinesPerSecond,
                  { 0, 100000 },
                  Need::Optional);
}

void
ReadRoot(ObjectReader& aReader, Settings& aSettings, FindingLog& aLog)
{
  const Need required = Need::Required;
  aReader.Name("cluster", aSettings.cluster, required);
  aReader.Name("instance", aSettings.instance, required);
  aReader.Name("data_centre", aSettings.dataCentre, required);
  aReader.String("data_folder", aSettings.dataFolder, Need::Optional);
  aReader.Address("callers_address", aSettings.callersAddress, 0, required);
  aReader.Address("control_address", aSettings.controlAddress, 0, required);
  aReader.Address("peers_address", aSettings.peersAddress, 0, required);
  ReadTls(aReader, "callers_tls", aSettings.callersTls, Need::Optional, aLog);
  ReadTls(aReader, "control_tls", aSettings.controlTls, Need::Optional, aLog);
  ReadTls(aReader, "peers_tls", aSettings.peersTls, Need::Required, aLog);
  aReader.String("cluster_secret_file", aSettings.clusterSecretFile, required);
  aReader.String("bootstrap_operator_token_file",
                 aSettings.bootstrapOperatorTokenFile,
                 Need::Optional);
  ReadPeers(aReader, aSettings, aLog);
  ReadLimits(aReader, aSettings.limits, aLog);
  ReadLogging(aReader, aSettings);
  aReader.Finish();
}

} // namespace

tl::expected<Settings, Findings>
ParseSettings(std::string_view aText)
{
  const tl::expected<JsonNode, Findings> root = ParseJson(aText);
  if (!root.has_value()) {
    return tl::unexpected(root.error());
  }
  FindingLog log(aText);
  Settings settings;
  ObjectReader reader(LocatedNode{ &*root, "" }, log);
  ReadRoot(reader, settings, log);
  if (!log.IsEmpty()) {
    return tl::unexpected(log.Take());
  }
  return settings;
}

} // namespace hyssoppaddle::config
