// Finds the queues of a setup by name. A setup can have thousands of queues,
// and the queue of a job is looked up on every change of the job.
#ifndef hyssoppaddle_dispatch_QueueIndex_h
#define hyssoppaddle_dispatch_QueueIndex_h

#include "work/Setup.h"

#include <cstddef>
#include <map>

namespace hyssoppaddle::dispatch {

class QueueIndex
{
public:
  // Returns null when the setup has no such queue.
  const work::Queue* Find(const work::Setup& aSetup,
                          const work::QueueId& aName);

private:
  // Version of the indexed setup. A version always has the same content.
  std::uint64_t version = 0;
  std::map<work::QueueId, std::size_t> positions;
};

} // namespace hyssoppaddle::dispatch

#endif
