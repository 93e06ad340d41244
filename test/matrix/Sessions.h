// The sessions of the fault matrix: each a list of steps. A fault is injected
// before a step.
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
  // Whether the session has reached its end once everything has healed; an
  // empty text means yes.
  std::function<std::string(Fleet&)> missing;
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
