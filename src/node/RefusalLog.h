// Bounds the log lines about refused clients, which otherwise decide how much
// is written.
#ifndef hyssoppaddle_node_RefusalLog_h
#define hyssoppaddle_node_RefusalLog_h

#include "base/Time.h"
#include "dispatch/Decision.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hyssoppaddle::node {

class RefusalLog
{
public:
  // Returns a line for the first refusal, and for the first one after a second
  // without a line, for each cause. It counts the refusals since the line
  // before. aCause must be one of a fixed set of names.
  std::optional<dispatch::Decision> Record(std::string_view aCause,
                                           std::string_view aClient,
                                           Time aNow);

private:
  struct Row
  {
    std::optional<Time> loggedAt;
    std::uint64_t count = 0; // since that line
  };

  std::map<std::string, Row, std::less<>> rows; // by cause
};

} // namespace hyssoppaddle::node

#endif
