// member propose, approve, unapprove, leave and list.
#include "cli/Client.h"
#include "cli/CommandLine.h"
#include "cli/Subcommands.h"

#include <nlohmann/json.hpp>

namespace hyssoppaddle::cli {

namespace {

// Parses a command with one member name and sends a request to the path built
// from that name.
int
CallForMember(Arguments aArguments,
              CommandLine& aLine,
              const std::string& aMethod,
              const std::string& aSuffix)
{
  AddClientOptions(aLine);
  aLine.ExpectPositional(1, 1);
  if (!aLine.Parse(aArguments)) {
    return aLine.Code();
  }
  return CallAndPrint(
    aLine,
    { aMethod, "/v1/members/" + aLine.Positional()[0] + aSuffix, "", "" });
}

} // namespace

int
ProposeMember(Arguments aArguments)
{
  CommandLine line("member propose", "MEMBER", "Propose that a member joins");
  AddClientOptions(line);
  line.ExpectPositional(1, 1);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  const nlohmann::json body{ { "member", line.Positional()[0] } };
  return CallAndPrint(line, { "POST", "/v1/members", body.dump(), "" });
}

int
ApproveMember(Arguments aArguments)
{
  CommandLine line("member approve", "MEMBER", "Approve a joining member");
  return CallForMember(aArguments, line, "POST", "/approvals");
}

int
WithdrawApproval(Arguments aArguments)
{
  CommandLine line(
    "member unapprove", "MEMBER", "Withdraw the approval of a joining member");
  return CallForMember(aArguments, line, "DELETE", "/approvals");
}

int
LeaveMember(Arguments aArguments)
{
  CommandLine line("member leave", "MEMBER", "Leave the fleet as a member");
  return CallForMember(aArguments, line, "DELETE", "");
}

int
ListMembers(Arguments aArguments)
{
  CommandLine line("member list", "", "List members and pending joins");
  AddClientOptions(line);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  return CallAndPrint(line, { "GET", "/v1/members", "", "" });
}

} // namespace hyssoppaddle::cli
