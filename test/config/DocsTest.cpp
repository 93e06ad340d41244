// Tests that the pages about settings and bundles list exactly the keys that
// the parsers accept.
#include "config/BundleParser.h"
#include "config/Settings.h"

#include "Texts.h"
#include "support/TestTrace.h"

#include <cctype>
#include <set>
#include <sstream>

using namespace hyssoppaddle;
using namespace hyssoppaddle::config;
using namespace hyssoppaddle::test;

namespace {

// Keys in the first column of the tables of a page, without back quotes.
std::set<std::string>
KeysOfPage(const std::string& aPath)
{
  std::set<std::string> keys;
  std::istringstream page(ReadSource(aPath));
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| `")) {
      keys.insert(line.substr(3, line.find('`', 3) - 3));
    }
  }
  return keys;
}

// Prefix of the keys beside an unknown key: "peers[]." for "/peers/0/zz".
std::string
PrefixOf(const std::string& aPath)
{
  std::string prefix;
  std::istringstream parts(aPath.substr(1, aPath.rfind('/')));
  for (std::string part; std::getline(parts, part, '/');) {
    if (std::isdigit(static_cast<unsigned char>(part[0])) != 0) {
      prefix.insert(prefix.size() - 1, "[]");
    } else {
      prefix += part + ".";
    }
  }
  return prefix;
}

// The keys that the findings about unknown keys name as allowed.
std::set<std::string>
KeysOfFindings(const Findings& aFindings)
{
  const std::string start = "unknown key; allowed: ";
  std::set<std::string> keys;
  for (const Finding& finding : aFindings) {
    if (!finding.message.starts_with(start)) {
      continue;
    }
    std::istringstream words(finding.message.substr(start.size()));
    for (std::string word; words >> word;) {
      if (word.ends_with(',')) {
        word.pop_back();
      }
      keys.insert(PrefixOf(finding.path) + word);
    }
  }
  return keys;
}

std::string
MissingKeys(const std::set<std::string>& aKeys,
            const std::set<std::string>& aOther)
{
  std::string text;
  for (const std::string& key : aKeys) {
    text += aOther.contains(key) ? "" : " " + key;
  }
  return text;
}

void
ExpectSameKeys(TestTrace& aTrace,
               const std::set<std::string>& aPage,
               const std::set<std::string>& aParser)
{
  cr_assert(aPage == aParser && aPage.size() > 20,
            "%s: only on the page:%s; only in the parser:%s",
            aTrace.Path().c_str(),
            MissingKeys(aPage, aParser).c_str(),
            MissingKeys(aParser, aPage).c_str());
}

} // namespace

// Guards against a page that lacks a key or describes one that was removed.
Test(Docs, ListEveryKeyOfTheParsers)
{
  TestTrace trace;
  trace.Section("docs/settings.md", [&] {
    const auto result = ParseSettings(
      R"({"zz":1, "callers_tls":{"zz":1}, "control_tls":{"zz":1},
          "peers_tls":{"zz":1}, "limits":{"zz":1}, "peers":[{"zz":1}]})");
    ExpectSameKeys(
      trace, KeysOfPage("docs/settings.md"), KeysOfFindings(result.error()));
  });
  trace.Section("docs/bundles.md", [&] {
    const auto result = ParseBundle(
      R"({"zz":1, "data_centres":[{"zz":1}], "workspaces":[{"zz":1}],
          "pools":[{"zz":1, "capacity":{"zz":1},
                    "instances":[{"zz":1, "capacity":{"zz":1}}]}],
          "teams":[{"zz":1}], "services":[{"zz":1}], "policy":{"zz":1}})");
    ExpectSameKeys(
      trace, KeysOfPage("docs/bundles.md"), KeysOfFindings(result.error()));
  });
}
