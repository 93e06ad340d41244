// Runs one case: case_runner NAME RECORD, in the root of the repository. With
// TROUBLE=0 in the environment the disruption is left out.
#include "Cases.h"

#include <array>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string_view>

#include <csignal>

int
main(int aCount, char** aArguments)
{
  using Case = int (*)(review::Record&, bool);
  constexpr std::array<std::pair<std::string_view, Case>, 5> kCases{ {
    { "lose-first-disk", review::LoseFirstDisk },
    { "drop-route", review::DropRouteDuringLastAttempt },
    { "restart-lasting", review::RestartLastingBesideLargeJobs },
    { "cancel-after-leaving", review::CancelAfterLeaving },
    { "rename-route", review::RenameRoute },
  } };
  if (aCount != 3) {
    return review::kNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  const bool hasTrouble =
    trouble == nullptr || std::string_view(trouble) != "0";
  review::Record record(aArguments[2]);
  for (const auto& [name, run] : kCases) {
    if (name != aArguments[1]) {
      continue;
    }
    try {
      record.Add(std::string("case ") + aArguments[1] +
                 (hasTrouble ? "" : " without the disruption"));
      const int result = run(record, hasTrouble);
      const char* text = result == review::kBroken ? "the rule was broken"
                         : result == review::kHeld ? "the rule held"
                                                   : "the case could not run";
      record.Add(text);
      std::cout << text << '\n';
      return result;
    } catch (const std::exception& error) {
      record.Add(std::string("the case could not run: ") + error.what());
      std::cout << "the case could not run: " << error.what() << '\n';
      return review::kNotRun;
    }
  }
  return review::kNotRun;
}
