// Fuzzes the settings parser. A rejected text must have findings, and each
// finding must have a position inside the text.
#include "config/Settings.h"

#include <algorithm>
#include <cstdlib>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace hyssoppaddle;
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  const auto result = config::ParseSettings(text);
  if (result.has_value()) {
    return 0;
  }
  const auto lines =
    static_cast<std::size_t>(std::ranges::count(text, '\n')) + 1;
  const bool areValid =
    std::ranges::all_of(result.error(), [&](const Finding& aFinding) {
      return aFinding.line >= 1 && aFinding.line <= lines &&
             aFinding.column >= 1 && !aFinding.message.empty();
    });
  if (result.error().empty() || !areValid) {
    std::abort();
  }
  return 0;
}
