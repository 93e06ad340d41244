// Helper functions for the text of HTTP header fields.
#ifndef hyssoppaddle_shell_HttpText_h
#define hyssoppaddle_shell_HttpText_h

#include <string_view>

namespace hyssoppaddle::shell {

// Ignores the case of ASCII letters only, as header names and tokens are ASCII.
bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight);

// Removes leading and trailing spaces and tabs.
std::string_view
Trim(std::string_view aText);

} // namespace hyssoppaddle::shell

#endif
