// The subcommands of the binary. Each takes the arguments after its name and
// returns the exit code.
#ifndef hyssoppaddle_cli_Subcommands_h
#define hyssoppaddle_cli_Subcommands_h

#include <span>
#include <string>
#include <string_view>

namespace hyssoppaddle::cli {

using Arguments = std::span<const std::string>;

struct Subcommand
{
  std::string_view name; // one or two words
  std::string_view summary;
  int (*run)(Arguments aArguments);
};

// All subcommands, in the order of the help text.
std::span<const Subcommand>
AllSubcommands();

int
RunDaemon(Arguments aArguments);
int
RunPlatformNode(Arguments aArguments);
int
CheckSettings(Arguments aArguments);
int
CheckBundle(Arguments aArguments);
int
ProposeBundle(Arguments aArguments);
int
ApproveBundle(Arguments aArguments);
int
ShowBundleStatus(Arguments aArguments);
int
ShowBundle(Arguments aArguments);
int
ProposeMember(Arguments aArguments);
int
ApproveMember(Arguments aArguments);
int
WithdrawApproval(Arguments aArguments);
int
LeaveMember(Arguments aArguments);
int
ListMembers(Arguments aArguments);
int
GrantKey(Arguments aArguments);
int
WithdrawKey(Arguments aArguments);
int
ListKeys(Arguments aArguments);
int
SubmitJob(Arguments aArguments);
int
ShowJob(Arguments aArguments);
int
CancelJob(Arguments aArguments);
int
ListInstances(Arguments aArguments);
int
DrainInstance(Arguments aArguments);
int
ReturnInstance(Arguments aArguments);
int
MoveInstance(Arguments aArguments);
int
EmptyDataCentre(Arguments aArguments);
int
RestoreDataCentre(Arguments aArguments);
int
ShowDataCentres(Arguments aArguments);
int
ShowStatus(Arguments aArguments);
int
Explain(Arguments aArguments);
int
ChangeReplica(Arguments aArguments);
int
VerifyState(Arguments aArguments);
int
ExportState(Arguments aArguments);

// Dispatches to a subcommand, or answers --help and --version.
int
Main(Arguments aArguments);

} // namespace hyssoppaddle::cli

#endif
