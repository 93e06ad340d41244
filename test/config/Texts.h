// Reads sample files, and helpers to check and print findings.
#ifndef hyssoppaddle_test_config_Texts_h
#define hyssoppaddle_test_config_Texts_h

#include "base/Finding.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

namespace hyssoppaddle::test {

inline std::string
ReadSource(const std::string& aPath)
{
  std::ifstream file(std::string(HYSSOPPADDLE_SOURCE_DIR) + "/" + aPath);
  return { std::istreambuf_iterator<char>(file),
           std::istreambuf_iterator<char>() };
}

// Replaces the first aFrom in aText by aTo. Returns an empty text if aText does
// not contain aFrom.
inline std::string
Replace(std::string aText, std::string_view aFrom, std::string_view aTo)
{
  const std::size_t at = aText.find(aFrom);
  return at == std::string::npos ? std::string()
                                 : aText.replace(at, aFrom.size(), aTo);
}

inline bool
HasFinding(const Findings& aFindings,
           std::string_view aPath,
           std::string_view aPart)
{
  return std::ranges::any_of(aFindings, [&](const Finding& aFinding) {
    return aFinding.path == aPath &&
           aFinding.message.find(aPart) != std::string::npos;
  });
}

inline std::string
ShowAll(const Findings& aFindings)
{
  std::string text;
  for (const Finding& finding : aFindings) {
    text += "\n" + Format(finding, "text");
  }
  return text;
}

} // namespace hyssoppaddle::test

#endif
