// The limits on bytes follow the memory of the process.
#include "node/LogLimits.h"

#include <algorithm>

namespace hyssoppaddle::node {

namespace {

constexpr std::size_t kMebibyte = 1024UL * 1024;
// The entries since the last snapshot are in memory too, and twice more while
// they are written to disk and sent to the other replicas.
constexpr std::size_t kSinceSnapshotDivisor = 16;
constexpr std::size_t kKeptDivisor = 32;
// A snapshot limits what a node reads back after a restart, and its disk.
constexpr std::size_t kMaxSinceSnapshot = 12 * kMebibyte;
// A replica that is further behind gets the snapshot sooner than the entries.
constexpr std::size_t kMaxKept = 64 * kMebibyte;

} // namespace

agreement::RaftLimits
LogLimits(std::size_t aMemory)
{
  agreement::RaftLimits limits;
  limits.snapshotAfterEntries = 20000;
  limits.snapshotAfterBytes =
    std::min(kMaxSinceSnapshot, aMemory / kSinceSnapshotDivisor);
  limits.entriesKeptAfterSnapshot = 2000;
  limits.bytesKeptAfterSnapshot = std::min(kMaxKept, aMemory / kKeptDivisor);
  return limits;
}

} // namespace hyssoppaddle::node
