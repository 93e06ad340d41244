// data-centre empty, restore and show, which ask a node of `platform run`.
#include "cli/Client.h"
#include "cli/CommandLine.h"
#include "cli/Subcommands.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace hyssoppaddle::cli {

namespace {

int
OrderForDataCentre(Arguments aArguments,
                   CommandLine& aLine,
                   const std::string& aAction)
{
  AddClientOptions(aLine);
  aLine.AddText("by", "Who asks, for the record (default: $USER)");
  aLine.ExpectPositional(1, 1);
  if (!aLine.Parse(aArguments)) {
    return aLine.Code();
  }
  std::string by = aLine.Text("by");
  if (const char* user = std::getenv("USER"); by.empty() && user != nullptr) {
    by = user;
  }
  const nlohmann::json body{ { "by", by } };
  return CallAndPrint(
    aLine,
    { "POST",
      "/v1/data-centres/" + aLine.Positional()[0] + "/" + aAction,
      body.dump(),
      "" });
}

} // namespace

int
EmptyDataCentre(Arguments aArguments)
{
  CommandLine line("data-centre empty",
                   "DATA_CENTRE",
                   "Start nothing in the data centre until it is restored; "
                   "running tasks end or move");
  return OrderForDataCentre(aArguments, line, "empty");
}

int
RestoreDataCentre(Arguments aArguments)
{
  CommandLine line("data-centre restore",
                   "DATA_CENTRE",
                   "Start tasks in the data centre again");
  return OrderForDataCentre(aArguments, line, "restore");
}

int
ShowDataCentres(Arguments aArguments)
{
  CommandLine line("data-centre show",
                   "",
                   "Show the emptied data centres: who asked, since when "
                   "(Unix ms), the tasks left and their expected end");
  AddClientOptions(line);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  return CallAndPrint(line, { "GET", "/v1/data-centres", "", "" });
}

} // namespace hyssoppaddle::cli
