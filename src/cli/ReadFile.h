// Reads whole files for commands.
#ifndef hyssoppaddle_cli_ReadFile_h
#define hyssoppaddle_cli_ReadFile_h

#include "base/Result.h"

#include <string>

namespace hyssoppaddle::cli {

// Content of a file; "-" reads standard input.
Result<std::string>
ReadFile(const std::string& aPath);

} // namespace hyssoppaddle::cli

#endif
