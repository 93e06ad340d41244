// One node process: accepts calls on its listeners and routes them to the
// leader, holds a replica of the state if it has a disk, and executes the
// dispatcher's decisions while it is the leader.
#ifndef hyssoppaddle_node_Node_h
#define hyssoppaddle_node_Node_h

#include "base/Result.h"
#include "node/NodeSettings.h"

#include <functional>
#include <memory>

namespace hyssoppaddle::node {

class Protocol;

class Node
{
public:
  // Reads the settings again on SIGHUP.
  using Reloader = std::function<Result<NodeSettings>()>;

  Node(NodeSettings aSettings,
       std::unique_ptr<Protocol> aProtocol,
       Reloader aReload);
  ~Node();

  Result<void> Start();
  // Blocks until a stop signal has been handled and the graceful stop is
  // complete.
  void Run();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace hyssoppaddle::node

#endif
