// Tests of the log lines of a node.
#include "node/LineLog.h"
#include "support/TestTrace.h"

#include <algorithm>
#include <vector>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::seconds;

namespace {

const Time kStart{ seconds(100) };

} // namespace

// Guards against blocking when the reader of the log stops reading.
Test(LineLog, DropsLinesWhenTheReaderIsSlow)
{
  TestTrace trace;
  std::string read;
  bool stalled = true;
  LineLog log("n", 100000, [&](std::string_view aBytes) {
    if (stalled) {
      return std::size_t{ 0 };
    }
    read += aBytes;
    return aBytes.size();
  });
  const WallTime wall{};
  for (int i = 0; i < 20000; ++i) {
    log.Write({ "decided", "job", { { "why", "\"x\"\n" } } }, kStart, wall);
    log.Flush();
  }
  EXPECT_THAT(trace, log.Dropped() > 0);
  EXPECT_EQUAL(trace, log.Counts().at("decided"), 20000U);
  trace.Section("the kept lines are complete, and the loss is reported", [&] {
    stalled = false;
    log.Flush();
    log.Write({ "decided", "", {} }, kStart + seconds(2), wall);
    log.Flush();
    EXPECT_THAT(trace, read.starts_with("{\"ts\":"));
    EXPECT_THAT(trace, read.ends_with("}\n"));
    EXPECT_THAT(trace, read.find("lines_dropped") != std::string::npos);
    EXPECT_THAT(trace, read.find("\\\"x\\\"?") != std::string::npos);
  });
}

// Guards against logs of an overloaded node in which lines are missing or cut.
Test(LineLog, WritesWholeLinesInPiecesThatAPipeTakesAtOnce)
{
  TestTrace trace;
  std::vector<std::string> pieces;
  std::size_t refused = 0;
  LineLog log("n", 100000, [&](std::string_view aBytes) {
    if (refused > 0) {
      --refused;
      return std::size_t{ 0 };
    }
    pieces.emplace_back(aBytes);
    return aBytes.size();
  });
  const auto write = [&](int aCount) {
    for (int i = 0; i < aCount; ++i) {
      log.Write(
        { "decided", "", { { "text", std::string(900, 'x') } } }, kStart, {});
    }
  };
  write(40);
  log.Flush();
  EXPECT_THAT(trace, pieces.size() > 1);
  for (const std::string& piece : pieces) {
    EXPECT_THAT(trace, piece.size() <= 4096);
    EXPECT_THAT(trace, piece.starts_with('{') && piece.ends_with("}\n"));
  }
  trace.Section("a line longer than that is written alone", [&] {
    pieces.clear();
    log.Write(
      { "decided", "", { { "text", std::string(9000, 'x') } } }, kStart, {});
    write(1);
    log.Flush();
    EXPECT_EQUAL(trace, pieces.size(), 2U);
    EXPECT_THAT(trace, pieces.at(0).size() > 9000);
  });
  trace.Section("pieces that were refused are written later, in order", [&] {
    pieces.clear();
    refused = 1;
    write(1);
    log.Flush();
    EXPECT_EQUAL(trace, pieces.size(), 0U);
    log.Flush();
    EXPECT_EQUAL(trace, pieces.size(), 1U);
  });
}

Test(LineLog, LimitsTheRateOfLines)
{
  TestTrace trace;
  std::size_t lines = 0;
  LineLog log("n", 10, [&](std::string_view aBytes) {
    lines +=
      static_cast<std::size_t>(std::count(aBytes.begin(), aBytes.end(), '\n'));
    return aBytes.size();
  });
  for (int i = 0; i < 100; ++i) {
    log.Write({ "decided", "", {} }, kStart, WallTime{});
  }
  log.WriteUnthrottled({ "stopped", {}, {} }, WallTime{});
  log.Flush();
  EXPECT_EQUAL(trace, lines, 11U);
}
