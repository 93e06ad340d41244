// Options and arguments of one subcommand. Wraps cxxopts, so that commands do
// not include its header.
#ifndef hyssoppaddle_cli_CommandLine_h
#define hyssoppaddle_cli_CommandLine_h

#include "cli/ExitCode.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppaddle::cli {

class CommandLine
{
public:
  // aName is the whole name, for example "bundle propose"; aPositional is shown
  // in the usage line, for example "FILE".
  CommandLine(std::string_view aName,
              std::string_view aPositional,
              std::string_view aSummary);
  ~CommandLine();
  CommandLine(const CommandLine&) = delete;
  CommandLine& operator=(const CommandLine&) = delete;

  void AddText(const std::string& aName,
               const std::string& aHelp,
               const std::string& aDefault = "");
  void AddFlag(const std::string& aName, const std::string& aHelp);

  // Inclusive bounds of the number of positional arguments.
  void ExpectPositional(std::size_t aLow, std::size_t aHigh);

  // Returns false if the command must exit with Code(): the help text was
  // printed, or a usage error was printed to standard error.
  bool Parse(std::span<const std::string> aArguments);
  [[nodiscard]] ExitCode Code() const;

  [[nodiscard]] std::string Text(const std::string& aName) const;
  [[nodiscard]] bool Flag(const std::string& aName) const;
  [[nodiscard]] const std::vector<std::string>& Positional() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace hyssoppaddle::cli

#endif
