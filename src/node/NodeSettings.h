// Settings of a node that serves jobs of steps, read from JSON with comments.
// docs/node-settings.md lists every key.
#ifndef hyssoppaddle_node_NodeSettings_h
#define hyssoppaddle_node_NodeSettings_h

#include "base/Finding.h"
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
  std::string callersAddress;
  std::string controlAddress;
  std::string readyAddress;   // where the balancer asks whether to send callers
  std::string peersAddress;   // also names this node among the others
  std::string metricsAddress; // empty: not served
  std::string dataFolder;     // empty: no disk, so no replica of the state
  bool firstStart = false;    // of the whole system, with empty disks
  // Peer addresses of some nodes, the same on all nodes at the first start.
  std::vector<std::string> seeds;
  std::string advisorAddress;                  // empty: none
  std::string instanceOwnerAddress;            // empty: none
  Duration gracePeriod = dispatch::seconds(6); // from the stop signal to an end
  std::uint32_t decisionLinesPerSecond = 200;
  dispatch::Options dispatch;
};

// All findings at once, in the order of their places.
tl::expected<NodeSettings, Findings>
ParseNodeSettings(std::string_view aText);

} // namespace hyssoppaddle::node

#endif
