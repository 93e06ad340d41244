// Names of enumerators and text forms of values.
#include "dispatch/Text.h"

#include <array>

namespace hyssoppaddle::dispatch {

namespace {

constexpr std::array<std::string_view, 8> kEndNames{ "done",        "failed",
                                                     "stopped",     "lapsed",
                                                     "broken",      "alone",
                                                     "not started", "lost" };
constexpr std::array<std::string_view, 5> kStateNames{ "queued",
                                                       "running",
                                                       "completed",
                                                       "failed",
                                                       "cancelled" };
constexpr std::array<std::string_view, 11> kResultNames{
  "accepted",   "fenced",    "superseded", "expired",  "no room",  "no ticket",
  "wrong boot", "unhealthy", "invalid",    "not sent", "no answer"
};
constexpr std::array<std::string_view, 7> kEvidenceNames{
  "none",           "listed",        "absent from lists", "lease expired",
  "address reused", "start refused", "not sent"
};

} // namespace

std::string
Text(Duration aValue)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aValue).count());
}

std::string
Text(const work::TaskRef& aTask)
{
  return aTask.job.value + "." + std::to_string(aTask.occurrence) + "." +
         std::to_string(aTask.step) + "." + std::to_string(aTask.index);
}

std::string_view
Text(work::EndKind aKind)
{
  return kEndNames[static_cast<std::size_t>(aKind)];
}

std::string_view
Text(work::JobState aState)
{
  return kStateNames[static_cast<std::size_t>(aState)];
}

std::string_view
Text(OrderResult aResult)
{
  return kResultNames[static_cast<std::size_t>(aResult)];
}

std::string_view
Text(EndEvidence aEvidence)
{
  return kEvidenceNames[static_cast<std::size_t>(aEvidence)];
}

} // namespace hyssoppaddle::dispatch
