// The nodes of a deployment as separate processes, started with the command of
// the deploy file.
#ifndef hyssoppaddle_review_standin2_Fleet_h
#define hyssoppaddle_review_standin2_Fleet_h

#include "Record.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

struct FleetOptions
{
  std::size_t nodes = 3; // all with a data folder
  int maxHoldMs = 6000;
};

class Fleet
{
public:
  Fleet(Record& aRecord, FleetOptions aOptions);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // The nodes are numbered from 0. aIsFirstStart is the field `bootstrap`.
  void Start(std::size_t aNode, bool aIsFirstStart);
  void Signal(std::size_t aNode, int aSignal);
  void Kill(std::size_t aNode);
  void LoseDisk(std::size_t aNode);
  [[nodiscard]] bool IsRunning(std::size_t aNode);
  [[nodiscard]] bool IsReady(std::size_t aNode) const;
  // Waits until all nodes answer the readiness probe.
  [[nodiscard]] bool WaitUntilReady(int aLimitMs) const;

  [[nodiscard]] std::size_t Size() const { return this->options.nodes; }
  [[nodiscard]] std::string Front(std::size_t aNode) const;
  [[nodiscard]] std::string Control(std::size_t aNode) const;
  // An address for a stand-in, beyond those of the nodes.
  [[nodiscard]] std::string Other(std::size_t aNumber) const;

private:
  [[nodiscard]] std::string Host(std::size_t aNode) const;
  [[nodiscard]] std::string Ready(std::size_t aNode) const;
  [[nodiscard]] std::string Settings(std::size_t aNode,
                                     bool aIsFirstStart) const;

  Record& record;
  FleetOptions options;
  std::string folder; // temporary
  std::string net;    // the first three parts of all addresses
  std::vector<pid_t> processes;
};

} // namespace review

#endif
