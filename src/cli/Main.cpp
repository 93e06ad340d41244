// Entry point of the hyssoppaddle binary.
#include "cli/Subcommands.h"

#include <string>
#include <vector>

int
main(int aCount, char** aValues)
{
  const std::vector<std::string> arguments(aValues + 1, aValues + aCount);
  return hyssoppaddle::cli::Main(arguments);
}
