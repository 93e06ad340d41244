// Formatting, buffering and rate limiting of log lines.
#include "node/LineLog.h"

#include "base/WallTimeText.h"

#include <climits>
#include <fcntl.h>
#include <unistd.h>

namespace hyssoppaddle::node {

namespace {

// Lines are dropped when this many bytes are waiting for the reader.
constexpr std::size_t kMaxPendingBytes = 256UL * 1024;
constexpr unsigned char kFirstPrintableAscii = 0x20;
constexpr unsigned char kLastPrintableAscii = 0x7e;

void
AppendQuoted(std::string& aText, std::string_view aValue)
{
  aText += '"';
  for (const char character : aValue) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      aText += '\\';
      aText += character;
    } else if (byte < kFirstPrintableAscii || byte > kLastPrintableAscii) {
      aText += '?'; // values from outside must not break the JSON line
    } else {
      aText += character;
    }
  }
  aText += '"';
}

} // namespace

LineLog::LineLog(std::string aNode, std::uint32_t aLinesPerSecond, Sink aSink)
  : node(std::move(aNode))
  , linesPerSecond(aLinesPerSecond)
  , sink(std::move(aSink))
{
}

void
LineLog::Append(const dispatch::Decision& aDecision, WallTime aWall)
{
  std::string line = "{\"ts\":\"" + FormatWallTime(aWall) + "\",\"node\":";
  AppendQuoted(line, this->node);
  line += ",\"event\":";
  AppendQuoted(line, aDecision.kind);
  if (!aDecision.job.empty()) {
    line += ",\"job\":";
    AppendQuoted(line, aDecision.job);
  }
  for (const auto& [key, value] : aDecision.fields) {
    line += ',';
    AppendQuoted(line, key);
    line += ':';
    AppendQuoted(line, value);
  }
  line += "}\n";
  if (this->pending.size() + line.size() > kMaxPendingBytes) {
    ++this->dropped;
    return;
  }
  this->pending += line;
}

void
LineLog::Write(const dispatch::Decision& aDecision, Time aNow, WallTime aWall)
{
  ++this->counts[std::string(aDecision.kind)];
  if (aNow - this->windowStart >= std::chrono::seconds(1)) {
    this->windowStart = aNow;
    this->linesInWindow = 0;
    if (this->dropped > this->droppedReported) {
      const std::uint64_t missing = this->dropped - this->droppedReported;
      this->droppedReported = this->dropped;
      this->Append(
        { "lines_dropped", {}, { { "count", std::to_string(missing) } } },
        aWall);
    }
  }
  if (this->linesInWindow >= this->linesPerSecond) {
    ++this->dropped;
    return;
  }
  ++this->linesInWindow;
  this->Append(aDecision, aWall);
}

void
LineLog::WriteUnthrottled(const dispatch::Decision& aDecision, WallTime aWall)
{
  ++this->counts[std::string(aDecision.kind)];
  this->Append(aDecision, aWall);
}

void
LineLog::Flush()
{
  if (this->pending.empty()) {
    return;
  }
  // Whole lines in writes that a pipe takes at once or not at all, so that a
  // reader never sees a part of a line.
  std::size_t begin = 0;
  while (begin < this->pending.size()) {
    std::size_t end = this->pending.rfind('\n', begin + PIPE_BUF - 1);
    end = end == std::string::npos || end < begin
            ? this->pending.find('\n', begin)
            : end;
    const std::string_view piece =
      std::string_view(this->pending).substr(begin, end + 1 - begin);
    const std::size_t taken = this->sink(piece);
    begin += taken;
    if (taken < piece.size()) {
      break;
    }
  }
  this->pending.erase(0, begin);
}

std::size_t
WriteToStandardOutput(std::string_view aBytes)
{
  const auto written = ::write(STDOUT_FILENO, aBytes.data(), aBytes.size());
  return written > 0 ? static_cast<std::size_t>(written) : 0;
}

void
MakeStandardOutputNonBlocking()
{
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK); // NOLINT
  }
}

} // namespace hyssoppaddle::node
