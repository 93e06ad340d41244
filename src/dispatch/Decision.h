// A decision of the leader, as input for the log and the metrics.
#ifndef hyssoppaddle_dispatch_Decision_h
#define hyssoppaddle_dispatch_Decision_h

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssoppaddle::dispatch {

struct Decision
{
  std::string_view kind; // a string literal; also names a counter
  std::string job;       // ID of the job concerned; may be empty
  // The inputs and the result of the decision, in log order.
  std::vector<std::pair<std::string_view, std::string>> fields;
  // Written at most once in a fixed time, so it is never left out of the log,
  // least of all when there is much to log.
  bool isSummary = false;
};

} // namespace hyssoppaddle::dispatch

#endif
