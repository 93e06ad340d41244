// Reads whole files for commands.
#include "cli/ReadFile.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace hyssoppaddle::cli {

Result<std::string>
ReadFile(const std::string& aPath)
{
  if (aPath == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Fail(ErrorCode::NotFound, "cannot read " + aPath);
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace hyssoppaddle::cli
