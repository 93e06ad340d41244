// JSON lines on standard output, at a bounded rate and without ever waiting for
// the reader: lines are gathered and written together, and dropped while the
// reader is slow.
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
  // Takes as many bytes as it can without waiting; returns their number.
  using Sink = std::function<std::size_t(std::string_view)>;

  LineLog(std::string aNode, std::uint32_t aLinesPerSecond, Sink aSink);

  // Decisions are counted by kind whether they are written or not.
  void Write(const dispatch::Decision& aDecision, Time aNow, WallTime aWall);
  // Start, stop, reload, dependencies: written whatever the rate.
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
  std::uint32_t linesInWindow = 0; // in this window of a second
  std::uint64_t dropped = 0;
  std::uint64_t droppedReported = 0;
  std::map<std::string, std::uint64_t> counts;
};

// Writes to standard output, which must not block.
std::size_t
WriteToStandardOutput(std::string_view aBytes);

// Makes writes to standard output fail instead of waiting.
void
MakeStandardOutputNonBlocking();

} // namespace hyssoppaddle::node

#endif
