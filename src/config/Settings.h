// Settings of one daemon, read from JSON with comments. docs/settings.md lists
// every key.
#ifndef hyssoppaddle_config_Settings_h
#define hyssoppaddle_config_Settings_h

#include "base/Finding.h"
#include "base/Id.h"
#include "base/Time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppaddle::config {

struct TlsSettings
{
  std::string certificateFile; // PEM chain
  std::string keyFile;         // PEM
  std::string
    authorityFile; // PEM; issuer of the certificates that peers must present
  bool operator==(const TlsSettings&) const = default;
};

struct PeerSettings
{
  InstanceId instance;
  DataCentreId dataCentre;
  std::string address; // "127.0.0.1:7000"
  bool voter = false;  // in the initial configuration
  bool operator==(const PeerSettings&) const = default;
};

struct LimitSettings
{
  std::uint32_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = 1024ULL * 1024 * 1024;
  std::uint32_t replayBytes = 64 * 1024;      // longest body kept for a retry
  std::uint32_t relayBufferBytes = 64 * 1024; // per direction and connection
  std::uint32_t callerConnections = 4096;
  Duration headerTimeout{ std::chrono::seconds(10) };
  Duration idleTimeout{ std::chrono::seconds(60) };
  Duration requestTimeout{ std::chrono::seconds(60) }; // longest deadline
  bool operator==(const LimitSettings&) const = default;
};

struct Settings
{
  std::string cluster;
  InstanceId instance;
  DataCentreId dataCentre;
  std::string dataFolder; // empty: learner without local storage
  std::string callersAddress;
  std::string controlAddress;
  std::string peersAddress;
  std::optional<TlsSettings> callersTls;
  std::optional<TlsSettings> controlTls;
  std::optional<TlsSettings> peersTls;
  std::string clusterSecretFile;   // 32 bytes in hexadecimal
  std::vector<PeerSettings> peers; // including this instance
  // File with the token of the first operator, which is valid until an operator
  // key is granted.
  std::string bootstrapOperatorTokenFile;
  LimitSettings limits;
  std::string logLevel = "info";
  std::uint32_t decisionLinesPerSecond = 100;
  bool operator==(const Settings&) const = default;
};

// Returns the settings, or all findings ordered by position.
tl::expected<Settings, Findings>
ParseSettings(std::string_view aText);

} // namespace hyssoppaddle::config

#endif
