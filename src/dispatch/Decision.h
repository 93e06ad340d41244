// A decision of the leader, as data for the log and the counters.
#ifndef hyssoppaddle_dispatch_Decision_h
#define hyssoppaddle_dispatch_Decision_h

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssoppaddle::dispatch {

struct Decision
{
  std::string_view kind; // a literal: names a counter too
  std::string job;       // ID of the request it touches; empty: none
  // What was decided on and the outcome, in the order of writing.
  std::vector<std::pair<std::string_view, std::string>> fields;
};

} // namespace hyssoppaddle::dispatch

#endif
