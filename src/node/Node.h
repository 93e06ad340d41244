// The process of one node: takes calls on its listeners, brings them to the
// leader, holds a replica of the state where it has a disk, and carries out the
// dispatcher's decisions while it leads.
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
  // Reads the settings again after a change.
  using Reloader = std::function<Result<NodeSettings>()>;

  Node(NodeSettings aSettings,
       std::unique_ptr<Protocol> aProtocol,
       Reloader aReload);
  ~Node();

  Result<void> Start();
  // Until a stop signal and its graceful end.
  void Run();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace hyssoppaddle::node

#endif
