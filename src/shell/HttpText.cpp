// Compares header names, and looks up header fields for the handlers.
#include "shell/HttpText.h"

#include "api/ControlHandler.h"

#include <algorithm>

namespace hyssoppaddle::shell {

namespace {

char
Lower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a')
                                      : aChar;
}

} // namespace

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [](char aOne, char aOther) { return Lower(aOne) == Lower(aOther); });
}

std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

} // namespace hyssoppaddle::shell

namespace hyssoppaddle::api {

std::string_view
HttpRequest::Header(std::string_view aName) const
{
  const auto found = std::find_if(
    this->headers.begin(), this->headers.end(), [&](const HttpHeader& aHeader) {
      return shell::EqualIgnoringCase(aHeader.name, aName);
    });
  return found == this->headers.end() ? std::string_view() : found->value;
}

} // namespace hyssoppaddle::api
