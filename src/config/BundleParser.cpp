// Reads the sections of a bundle in dependency order, so that a reference is
// checked against names that have been read already.
#include "config/BundleParser.h"

#include "config/ObjectReader.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace hyssoppaddle::config {

namespace {

using namespace state;

constexpr Duration kMillisecond{ 1000 };
constexpr Duration kSecond{ 1000000 };
constexpr std::uint64_t kSecondsPerDay = 86400;
constexpr std::uint64_t kMaxCount = 1000000;
constexpr std::size_t kDigestBytes = 32;

class BundleReader
{
public:
  explicit BundleReader(FindingLog& aLog)
    : log(aLog)
  {
  }

  Bundle Read(const JsonNode& aRoot)
  {
    ObjectReader reader(LocatedNode{ &aRoot, "" }, this->log);
    this->ReadVersions(reader);
    this->ReadEntries(reader, "data_centres", &BundleReader::ReadDataCentre);
    this->ReadEntries(reader, "workspaces", &BundleReader::ReadWorkspace);
    this->ReadEntries(reader, "pools", &BundleReader::ReadPool);
    this->ReadEntries(reader, "teams", &BundleReader::ReadTeam);
    this->ReadEntries(reader, "services", &BundleReader::ReadService);
    this->ReadPolicy(reader);
    reader.Finish();
    return std::move(this->bundle);
  }

private:
  using EntryReader = void (BundleReader::*)(ObjectReader&);

  void ReadVersions(ObjectReader& aReader)
  {
    const Range positive{ 1, 1ULL << 53U };
    const Range any{ 0, 1ULL << 53U };
    const bool version = aReader.Integer(
      "version", this->bundle.version, positive, Need::Required);
    const bool base =
      aReader.Integer("base", this->bundle.base, any, Need::Required);
    if (version && base && this->bundle.version != this->bundle.base + 1) {
      aReader.Report("version",
                     "must be base + 1, " +
                       std::to_string(this->bundle.base + 1));
    }
  }

  void ReadEntries(ObjectReader& aParent,
                   const char* aKey,
                   EntryReader aReadEntry)
  {
    std::vector<LocatedNode> entries;
    aParent.Array(aKey, entries, Need::Required);
    for (const LocatedNode& entry : entries) {
      ObjectReader reader(entry, this->log);
      (this->*aReadEntry)(reader);
      reader.Finish();
    }
  }

  // Reads the name of an entry and reports a duplicate.
  template<typename IdType>
  void ReadUniqueName(ObjectReader& aReader,
                      IdType& aName,
                      std::set<IdType>& aNames,
                      const char* aKind)
  {
    if (aReader.Name("name", aName, Need::Required) &&
        !aNames.insert(aName).second) {
      aReader.Report("name",
                     std::string("another ") + aKind + " is named " +
                       aName.value + "; names are unique");
    }
  }

  // Reads a reference to an entry that was read before.
  template<typename IdType>
  void ReadReference(ObjectReader& aReader,
                     const char* aKey,
                     IdType& aName,
                     const std::set<IdType>& aNames,
                     const char* aKind)
  {
    if (aReader.Name(aKey, aName, Need::Required) && !aNames.contains(aName)) {
      aReader.Report(aKey,
                     std::string("no ") + aKind + " is named " + aName.value +
                       "; it must be listed in this bundle");
    }
  }

  void ReadDataCentre(ObjectReader& aReader)
  {
    DataCentreSpec spec;
    this->ReadUniqueName(aReader, spec.name, this->dataCentres, "data centre");
    aReader.Name("region", spec.region, Need::Required);
    this->bundle.dataCentres.push_back(std::move(spec));
  }

  void ReadWorkspace(ObjectReader& aReader)
  {
    WorkspaceSpec spec;
    this->ReadUniqueName(aReader, spec.name, this->workspaces, "workspace");
    aReader.Name("member", spec.member, Need::Required);
    this->bundle.workspaces.push_back(std::move(spec));
  }

  void ReadPool(ObjectReader& aReader)
  {
    PoolSpec spec;
    this->ReadUniqueName(aReader, spec.name, this->pools, "pool");
    aReader.Boolean("spare", spec.spare, Need::Optional);
    const bool hasBudget = aReader.Integer(
      "min_available", spec.minAvailable, { 0, kMaxCount }, Need::Required);
    Resources common;
    const bool hasCommon = this->ReadCapacity(aReader, common, Need::Optional);
    std::vector<LocatedNode> instances;
    const bool hasInstances =
      aReader.Array("instances", instances, Need::Required);
    for (const LocatedNode& instance : instances) {
      ObjectReader reader(instance, this->log);
      spec.instances.push_back(this->ReadInstance(
        reader, common, hasCommon ? Need::Optional : Need::Required));
      reader.Finish();
    }
    if (hasBudget && hasInstances &&
        spec.minAvailable > spec.instances.size()) {
      aReader.Report("min_available",
                     "must be at most the number of instances in the pool, " +
                       std::to_string(spec.instances.size()));
    }
    this->bundle.pools.push_back(std::move(spec));
  }

  InstanceSpec ReadInstance(ObjectReader& aReader,
                            const Resources& aCommon,
                            Need aCapacityNeed)
  {
    InstanceSpec spec;
    spec.capacity = aCommon;
    if (aReader.Name("name", spec.name, Need::Required)) {
      this->CheckOnePool(aReader, spec.name);
    }
    this->ReadReference(aReader,
                        "data_centre",
                        spec.dataCentre,
                        this->dataCentres,
                        "data centre");
    aReader.Name("rack", spec.rack, Need::Required);
    this->ReadCapacity(aReader, spec.capacity, aCapacityNeed);
    return spec;
  }

  void CheckOnePool(ObjectReader& aReader, const InstanceId& aName)
  {
    // The pool being read is added to the bundle after its instances.
    const std::size_t pool = this->bundle.pools.size();
    const auto [known, added] = this->poolIndexByInstance.emplace(aName, pool);
    if (!added) {
      aReader.Report("name",
                     known->second == pool
                       ? "the instance is listed twice in this pool"
                       : "the instance is listed in pool " +
                           this->bundle.pools[known->second].name.value +
                           " too; an instance is in exactly one pool");
    }
  }

  bool ReadCapacity(ObjectReader& aParent, Resources& aCapacity, Need aNeed)
  {
    LocatedNode located;
    if (!aParent.Object("capacity", located, aNeed)) {
      return false;
    }
    ObjectReader reader(located, this->log);
    reader.Integer("milli_cpus",
                   aCapacity.milliCpus,
                   { 1, 1024 * kMaxCount },
                   Need::Required);
    reader.Integer(
      "memory_mb", aCapacity.memoryMb, { 1, 1024 * kMaxCount }, Need::Required);
    reader.Integer(
      "accelerators", aCapacity.accelerators, { 0, 1024 }, Need::Optional);
    reader.Finish();
    return true;
  }

  void ReadTeam(ObjectReader& aReader)
  {
    TeamSpec spec;
    this->ReadUniqueName(aReader, spec.name, this->teams, "team");
    this->ReadReference(
      aReader, "workspace", spec.workspace, this->workspaces, "workspace");
    aReader.Integer("share", spec.share, { 1, kMaxCount }, Need::Required);
    aReader.Integer("limit", spec.limit, { 1, kMaxCount }, Need::Required);
    this->bundle.teams.push_back(std::move(spec));
  }

  void ReadService(ObjectReader& aReader)
  {
    ServiceSpec spec;
    this->ReadUniqueName(aReader, spec.name, this->services, "service");
    this->ReadReference(aReader, "pool", spec.pool, this->pools, "pool");
    this->ReadReference(
      aReader, "workspace", spec.workspace, this->workspaces, "workspace");
    std::size_t workClass = static_cast<std::size_t>(spec.workClass);
    aReader.Choice(
      "class", { "preview", "print", "archive" }, workClass, Need::Required);
    spec.workClass = static_cast<WorkClass>(workClass);
    this->ReadOpenAccess(aReader, spec);
    aReader.Integer(
      "queue_limit", spec.queueLimit, { 1, kMaxCount }, Need::Optional);
    aReader.Time(
      "max_deadline_ms", spec.maxDeadline, kMillisecond, { 1, 60000 });
    this->bundle.services.push_back(std::move(spec));
  }

  void ReadOpenAccess(ObjectReader& aReader, ServiceSpec& aSpec)
  {
    aReader.Boolean("open", aSpec.open, Need::Optional);
    if (!aReader.Name("open_team", aSpec.openTeam, Need::Optional)) {
      if (aSpec.open && !aReader.Has("open_team")) {
        aReader.Report("open_team",
                       "the key is missing; an open service names the team "
                       "that is charged");
      }
      return;
    }
    if (!aSpec.open) {
      aReader.Report("open_team", "is allowed only when open is true");
    }
    if (!this->teams.contains(aSpec.openTeam)) {
      aReader.Report("open_team",
                     "no team is named " + aSpec.openTeam.value +
                       "; it must be listed in this bundle");
    }
  }

  void ReadPolicy(ObjectReader& aParent)
  {
    LocatedNode located;
    if (!aParent.Object("policy", located, Need::Optional)) {
      return;
    }
    PolicySpec& policy = this->bundle.policy;
    ObjectReader reader(located, this->log);
    reader.Real("nearness_weight", policy.nearnessWeight, 0, 1);
    reader.Time("maintenance_interval_seconds",
                policy.maintenanceInterval,
                kSecond,
                { 60, 366 * kSecondsPerDay });
    reader.Time(
      "soak_seconds", policy.soakTime, kSecond, { 0, kSecondsPerDay });
    reader.Time(
      "drain_seconds", policy.drainTime, kSecond, { 1, kSecondsPerDay });
    reader.Time("share_window_seconds",
                policy.shareWindow,
                kSecond,
                { 1, kSecondsPerDay });
    reader.Finish();
  }

  FindingLog& log;
  Bundle bundle;
  std::set<DataCentreId> dataCentres;
  std::set<WorkspaceId> workspaces;
  std::set<PoolId> pools;
  std::set<TeamId> teams;
  std::set<ServiceId> services;
  std::map<InstanceId, std::size_t>
    poolIndexByInstance; // index into bundle.pools
};

} // namespace

tl::expected<Bundle, Findings>
ParseBundle(std::string_view aText)
{
  const tl::expected<JsonNode, Findings> root = ParseJson(aText);
  if (!root.has_value()) {
    return tl::unexpected(root.error());
  }
  FindingLog log(aText);
  Bundle bundle = BundleReader(log).Read(*root);
  if (!log.IsEmpty()) {
    return tl::unexpected(log.Take());
  }
  return bundle;
}

std::string
BundleDigest(std::string_view aText)
{
  std::array<unsigned char, kDigestBytes> digest{};
  crypto_generichash(digest.data(),
                     digest.size(),
                     reinterpret_cast<const unsigned char*>(aText.data()),
                     aText.size(),
                     nullptr,
                     0);
  std::array<char, (2 * kDigestBytes) + 1> text{};
  sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
  return text.data();
}

} // namespace hyssoppaddle::config
