// Nested sections for Criterion tests. Every failure message contains the
// titles of the open sections, for example "a leader is partitioned > the
// partition heals".
#ifndef hyssoppaddle_test_support_TestTrace_h
#define hyssoppaddle_test_support_TestTrace_h

#include <criterion/criterion.h>

#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppaddle::test {

class TestTrace
{
public:
  // Runs aBody inside a section with the title aTitle. Sections can be nested.
  template<typename Body>
  void Section(std::string_view aTitle, Body&& aBody)
  {
    this->titles.emplace_back(aTitle);
    aBody();
    this->titles.pop_back();
  }

  [[nodiscard]] std::string Path() const
  {
    std::string path;
    for (const std::string& title : this->titles) {
      path += (path.empty() ? "" : " > ") + title;
    }
    return path;
  }

private:
  std::vector<std::string> titles;
};

// Text form of a value for a failure message.
template<typename T>
std::string
Show(const T& aValue)
{
  if constexpr (requires(std::ostringstream & aStream) { aStream << aValue; }) {
    std::ostringstream stream;
    stream << std::boolalpha << aValue;
    return stream.str();
  } else if constexpr (requires { aValue.value; }) {
    return Show(aValue.value);
  } else if constexpr (requires { aValue.count(); }) {
    return Show(aValue.count()) + " us";
  } else if constexpr (std::is_enum_v<T>) {
    return "enum " + std::to_string(static_cast<long long>(aValue));
  } else {
    return "(value without text form)";
  }
}

} // namespace hyssoppaddle::test

// Fails with the section path, the expression, the expected and the actual
// value.
#define EXPECT_EQUAL(trace, actual, expected)                                  \
  do {                                                                         \
    /* Copied, since a reference into a temporary would dangle. */             \
    const auto actualValue = (actual);                                         \
    const auto expectedValue = (expected);                                     \
    cr_assert(actualValue == expectedValue,                                    \
              "%s: %s: expected %s, actual %s",                                \
              (trace).Path().c_str(),                                          \
              #actual,                                                         \
              hyssoppaddle::test::Show(expectedValue).c_str(),                 \
              hyssoppaddle::test::Show(actualValue).c_str());                  \
  } while (false)

// Fails with the section path and the expression that should have held.
#define EXPECT_THAT(trace, condition)                                          \
  cr_assert((condition), "%s: expected %s", (trace).Path().c_str(), #condition)

#endif
