// Counts refusals between the lines that are written.
#include "node/RefusalLog.h"

#include <utility>

namespace hyssoppaddle::node {

namespace {

constexpr Duration kMinInterval = std::chrono::seconds(1);

} // namespace

std::optional<dispatch::Decision>
RefusalLog::Record(std::string_view aCause, std::string_view aClient, Time aNow)
{
  auto found = this->rows.find(aCause);
  if (found == this->rows.end()) {
    found = this->rows.emplace(aCause, Row{}).first;
  }
  Row& row = found->second;
  ++row.count;
  if (row.loggedAt && aNow - *row.loggedAt < kMinInterval) {
    return std::nullopt;
  }
  row.loggedAt = aNow;
  return dispatch::Decision{
    "client_refused",
    {},
    { { "cause", std::string(aCause) },
      { "client", std::string(aClient) },
      { "count", std::to_string(std::exchange(row.count, 0)) } }
  };
}

} // namespace hyssoppaddle::node
