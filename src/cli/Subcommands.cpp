// Table of subcommands and their dispatch.
#include "cli/Subcommands.h"

#include "cli/ExitCode.h"

#include <array>
#include <iomanip>
#include <iostream>

namespace hyssoppaddle::cli {

namespace {

constexpr std::array kSubcommands{
  Subcommand{ "run", "Run the daemon of an entry instance", &RunDaemon },
  Subcommand{ "platform run", "Run a node on the platform", &RunPlatformNode },
  Subcommand{ "settings check", "Check a settings file", &CheckSettings },
  Subcommand{ "bundle check", "Check a bundle file", &CheckBundle },
  Subcommand{ "bundle propose", "Propose a bundle", &ProposeBundle },
  Subcommand{ "bundle approve",
              "Approve a bundle as a member",
              &ApproveBundle },
  Subcommand{ "bundle status",
              "List bundles and their state",
              &ShowBundleStatus },
  Subcommand{ "bundle show", "Show one bundle with its roll-out", &ShowBundle },
  Subcommand{ "member propose", "Propose that a member joins", &ProposeMember },
  Subcommand{ "member approve", "Approve a joining member", &ApproveMember },
  Subcommand{ "member unapprove", "Withdraw an approval", &WithdrawApproval },
  Subcommand{ "member leave", "Leave the fleet as a member", &LeaveMember },
  Subcommand{ "member list", "List members and pending joins", &ListMembers },
  Subcommand{ "key grant", "Grant a key and print its token", &GrantKey },
  Subcommand{ "key withdraw", "Withdraw a key", &WithdrawKey },
  Subcommand{ "key list", "List keys", &ListKeys },
  Subcommand{ "job submit", "Submit a job", &SubmitJob },
  Subcommand{ "job status", "Show a job", &ShowJob },
  Subcommand{ "job cancel", "Cancel jobs", &CancelJob },
  Subcommand{ "instance list", "List fleet instances", &ListInstances },
  Subcommand{ "instance drain", "Ask for a planned stop", &DrainInstance },
  Subcommand{ "instance return", "Ask to return to service", &ReturnInstance },
  Subcommand{ "instance move",
              "Ask for a move to another pool",
              &MoveInstance },
  Subcommand{ "data-centre empty",
              "Start nothing in a data centre",
              &EmptyDataCentre },
  Subcommand{ "data-centre restore",
              "Start tasks there again",
              &RestoreDataCentre },
  Subcommand{ "data-centre show",
              "Show what is left in emptied data centres",
              &ShowDataCentres },
  Subcommand{ "status", "Show the state of the system", &ShowStatus },
  Subcommand{ "explain", "Explain decisions", &Explain },
  Subcommand{ "replica change",
              "Add, promote or remove a replica",
              &ChangeReplica },
  Subcommand{ "state verify", "Verify a data folder", &VerifyState },
  Subcommand{ "state export", "Export a data folder as JSON", &ExportState },
};

constexpr int kNameWidth = 21;

void
PrintHelp(std::ostream& aStream)
{
  aStream << "Usage: hyssoppaddle COMMAND [OPTIONS]\n\nCommands:\n";
  for (const Subcommand& command : kSubcommands) {
    aStream << "  " << std::left << std::setw(kNameWidth) << command.name
            << command.summary << '\n';
  }
  aStream << "\nhyssoppaddle COMMAND --help shows the options of a command.\n"
             "Exit codes: 0 done, 1 refused, 2 usage, 3 cannot reach the "
             "server, 4 daemon failure.\n";
}

// Number of arguments that the subcommand name takes up; 0 if the arguments do
// not start with that name.
std::size_t
MatchWords(std::string_view aName, Arguments aArguments)
{
  std::size_t words = 0;
  while (!aName.empty()) {
    const std::size_t space = aName.find(' ');
    const std::string_view word = aName.substr(0, space);
    if (words >= aArguments.size() || aArguments[words] != word) {
      return 0;
    }
    ++words;
    aName.remove_prefix(space == std::string_view::npos ? aName.size()
                                                        : space + 1);
  }
  return words;
}

} // namespace

std::span<const Subcommand>
AllSubcommands()
{
  return kSubcommands;
}

int
Main(Arguments aArguments)
{
  if (aArguments.empty()) {
    PrintHelp(std::cerr);
    return ExitCode::Usage;
  }
  if (aArguments[0] == "--help" || aArguments[0] == "-h") {
    PrintHelp(std::cout);
    return ExitCode::Done;
  }
  if (aArguments[0] == "--version") {
    std::cout << "hyssoppaddle " << HYSSOPPADDLE_VERSION << '\n';
    return ExitCode::Done;
  }
  for (const Subcommand& command : kSubcommands) {
    if (const std::size_t words = MatchWords(command.name, aArguments)) {
      return command.run(aArguments.subspan(words));
    }
  }
  std::cerr << "hyssoppaddle: unknown command '" << aArguments[0]
            << "'; see --help\n";
  return ExitCode::Usage;
}

} // namespace hyssoppaddle::cli
