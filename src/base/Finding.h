// A problem in a settings or bundle file, with its position. Parsers collect
// all findings and report them together.
#ifndef hyssoppaddle_base_Finding_h
#define hyssoppaddle_base_Finding_h

#include <cstddef>
#include <string>
#include <vector>

namespace hyssoppaddle {

struct Finding
{
  std::string path;       // JSON pointer, for example /pools/0/min_available
  std::size_t line = 0;   // 1-based; 0 when the position is unknown
  std::size_t column = 0; // 1-based
  std::string message;    // what is wrong and what is allowed

  bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

// "file:line:column: path: message", one line without a line feed.
std::string
Format(const Finding& aFinding, const std::string& aFile);

} // namespace hyssoppaddle

#endif
