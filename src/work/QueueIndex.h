// Finds the queues of a setup by address and by name. A setup can have
// thousands of queues, and the queue of a job is looked up on every change of
// the job.
#ifndef hyssoppaddle_work_QueueIndex_h
#define hyssoppaddle_work_QueueIndex_h

#include "work/Setup.h"

#include <cstddef>
#include <map>

namespace hyssoppaddle::work {

class QueueIndex
{
public:
  // Both return null when the setup has no such queue.
  const Queue* Find(const Setup& aSetup, const QueueAddress& aAddress);
  const Queue* Find(const Setup& aSetup, const QueueId& aName);

private:
  // Builds the index again when the version of the setup has changed.
  void Refresh(const Setup& aSetup);

  // Version of the indexed setup. A version always has the same content.
  std::uint64_t version = 0;
  std::map<QueueAddress, std::size_t> byAddress; // positions in the setup
  std::map<QueueId, std::size_t> byName;
};

} // namespace hyssoppaddle::work

#endif
