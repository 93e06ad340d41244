// Checks that names are unique and that each instance is listed in one pool.
#include "state/BundleCheck.h"

#include <set>

namespace hyssoppaddle::state {

namespace {

template<typename Specs>
std::string
ProblemOfNames(const Specs& aSpecs, const char* aKind)
{
  std::set<std::string> names;
  for (const auto& spec : aSpecs) {
    if (spec.name.empty()) {
      return std::string("a ") + aKind + " has an empty name";
    }
    if (!names.insert(spec.name.value).second) {
      return std::string("two entries of kind ") + aKind + " are named " +
             spec.name.value;
    }
  }
  return {};
}

std::string
ProblemOfInstanceNames(const Bundle& aBundle)
{
  std::set<std::string_view> names;
  for (const PoolSpec& pool : aBundle.pools) {
    for (const InstanceSpec& instance : pool.instances) {
      if (instance.name.empty()) {
        return "an instance of pool " + pool.name.value + " has an empty name";
      }
      if (!names.insert(instance.name.View()).second) {
        return "instance " + instance.name.value + " is listed twice";
      }
    }
  }
  return {};
}

} // namespace

std::string
ProblemOf(const Bundle& aBundle)
{
  for (std::string problem : { ProblemOfNames(aBundle.pools, "pool"),
                               ProblemOfNames(aBundle.teams, "team"),
                               ProblemOfNames(aBundle.services, "service"),
                               ProblemOfInstanceNames(aBundle) }) {
    if (!problem.empty()) {
      return problem;
    }
  }
  return {};
}

} // namespace hyssoppaddle::state
