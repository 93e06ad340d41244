// Settings of a node that serves jobs made of steps, parsed from JSON with
// comments. docs/node-settings.md lists every key.
#ifndef hyssoppaddle_node_NodeSettings_h
#define hyssoppaddle_node_NodeSettings_h

#include "agreement/FaultTolerance.h"
#include "base/Finding.h"
#include "base/Id.h"
#include "dispatch/Options.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppaddle::node {

struct NodeSettings
{
  std::string name;
  std::string dataCentre;
  std::vector<DataCentreId> dataCentres; // all of the deployment; may be empty
  std::string callersAddress;
  std::string controlAddress;
  std::string readyAddress;   // readiness endpoint, polled by the load balancer
  std::string peersAddress;   // also identifies this node to its peers
  std::string metricsAddress; // empty when metrics are not served
  // Empty when the node has no disk and so no replica of the state.
  std::string dataFolder;
  // True at the first start of the whole system, with empty disks.
  bool firstStart = false;
  // Peer addresses of some nodes; must be the same on all nodes at the first
  // start.
  std::vector<std::string> seeds;
  std::string advisorAddress;       // empty when there is none
  std::string instanceOwnerAddress; // empty when there is none
  // Longest time from the stop signal to the exit.
  Duration gracePeriod = dispatch::seconds(6);
  agreement::FaultTolerance tolerance;
  std::uint32_t decisionLinesPerSecond = 200;
  // File descriptors that this process may open; 0: the limit of the process.
  std::uint32_t descriptors = 0;
  // Memory that this process may use; 0: the memory of the system.
  std::uint32_t memoryMb = 0;
  dispatch::Options dispatch;
};

// Returns all findings together, in the order of their positions in the text.
tl::expected<NodeSettings, Findings>
ParseNodeSettings(std::string_view aText);

} // namespace hyssoppaddle::node

#endif
