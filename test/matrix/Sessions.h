// The sessions and the faults of the fault matrix. A session is a list of
// steps; a fault is injected before a step.
#ifndef hyssoppaddle_test_matrix_Sessions_h
#define hyssoppaddle_test_matrix_Sessions_h

#include "matrix/Fleet.h"

#include <functional>
#include <string_view>
#include <vector>

namespace hyssoppaddle::test {

struct Step
{
  std::string_view title;
  std::function<void(Fleet&)> act;
};

struct Session
{
  std::string_view name;
  std::vector<Step> steps;
  // Called after all faults have healed. Describes the condition that the
  // session has failed to reach; empty on success.
  std::function<std::string(Fleet&)> unmetCondition;
};

struct Fault
{
  std::string_view name;
  std::function<void(Fleet&)> inject;
};

const std::vector<Session>&
AllSessions();
const std::vector<Fault>&
AllFaults();

} // namespace hyssoppaddle::test

#endif
