// Formats findings like compiler diagnostics, so that editors can jump to the
// position.
#include "base/Finding.h"

namespace hyssoppaddle {

std::string
Format(const Finding& aFinding, const std::string& aFile)
{
  std::string text = aFile;
  if (aFinding.line > 0) {
    text += ":" + std::to_string(aFinding.line) + ":" +
            std::to_string(aFinding.column);
  }
  text += ": ";
  if (!aFinding.path.empty()) {
    text += aFinding.path + ": ";
  }
  return text + aFinding.message;
}

} // namespace hyssoppaddle
