// Small text rules of HTTP header fields.
#ifndef hyssoppaddle_shell_HttpText_h
#define hyssoppaddle_shell_HttpText_h

#include <string_view>

namespace hyssoppaddle::shell {

// ASCII letters only, as header names and tokens are.
bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight);

// Without leading and trailing spaces and tabs.
std::string_view
Trim(std::string_view aText);

} // namespace hyssoppaddle::shell

#endif
