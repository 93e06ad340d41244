// Writes log records as JSON lines to a sink at a limited rate. It never
// blocks: lines are buffered and written together, and dropped when the reader
// is too slow.
#ifndef hyssoppaddle_node_LineLog_h
#define hyssoppaddle_node_LineLog_h

#include "base/Time.h"
#include "dispatch/Decision.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hyssoppaddle::node {

class LineLog
{
public:
  // Writes as many bytes as possible without blocking and returns their number.
  using Sink = std::function<std::size_t(std::string_view)>;

  LineLog(std::string aNode, std::uint32_t aLinesPerSecond, Sink aSink);

  // Writes a line unless the rate limit is reached. Decisions are counted by
  // kind even when the line is dropped.
  void Write(const dispatch::Decision& aDecision, Time aNow, WallTime aWall);
  // Writes a line regardless of the rate limit, for rare events such as start,
  // stop, reload and changes of peer connections.
  void WriteUnthrottled(const dispatch::Decision& aDecision, WallTime aWall);
  void Flush();

  [[nodiscard]] std::uint64_t Dropped() const { return this->dropped; }
  [[nodiscard]] const std::map<std::string, std::uint64_t>& Counts() const
  {
    return this->counts;
  }

private:
  void Append(const dispatch::Decision& aDecision, WallTime aWall);

  std::string node;
  std::uint32_t linesPerSecond;
  Sink sink;
  std::string pending; // invariant: whole lines, at most kMaxPendingBytes
  Time windowStart{};
  std::uint32_t linesInWindow = 0; // lines in the current one-second window
  std::uint64_t dropped = 0;
  std::uint64_t droppedReported = 0;
  std::map<std::string, std::uint64_t> counts;
};

// Writes to standard output, which must be in non-blocking mode; returns the
// number of bytes written.
std::size_t
WriteToStandardOutput(std::string_view aBytes);

// Sets O_NONBLOCK on standard output, so that writes fail instead of blocking.
void
MakeStandardOutputNonBlocking();

} // namespace hyssoppaddle::node

#endif
