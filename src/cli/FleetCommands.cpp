// instance list, drain, return and move; status; explain; replica change.
#include "cli/Client.h"
#include "cli/CommandLine.h"
#include "cli/Subcommands.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace hyssoppaddle::cli {

namespace {

int
CallForInstance(Arguments aArguments,
                CommandLine& aLine,
                const std::string& aAction)
{
  AddClientOptions(aLine);
  aLine.ExpectPositional(1, 1);
  if (!aLine.Parse(aArguments)) {
    return aLine.Code();
  }
  return CallAndPrint(
    aLine,
    { "POST",
      "/v1/instances/" + aLine.Positional()[0] + "/" + aAction,
      "",
      "" });
}

} // namespace

int
ListInstances(Arguments aArguments)
{
  CommandLine line("instance list", "", "List fleet instances");
  AddClientOptions(line);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  return CallAndPrint(line, { "GET", "/v1/instances", "", "" });
}

int
DrainInstance(Arguments aArguments)
{
  CommandLine line(
    "instance drain", "INSTANCE", "Ask for a planned stop within the budget");
  return CallForInstance(aArguments, line, "drain");
}

int
ReturnInstance(Arguments aArguments)
{
  CommandLine line(
    "instance return", "INSTANCE", "Ask to return an instance to service");
  return CallForInstance(aArguments, line, "return");
}

int
MoveInstance(Arguments aArguments)
{
  CommandLine line("instance move",
                   "INSTANCE POOL",
                   "Ask for a move to another pool within the budgets");
  AddClientOptions(line);
  line.ExpectPositional(2, 2);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  const nlohmann::json body{ { "pool", line.Positional()[1] } };
  return CallAndPrint(line,
                      { "POST",
                        "/v1/instances/" + line.Positional()[0] + "/move",
                        body.dump(),
                        "" });
}

int
ShowStatus(Arguments aArguments)
{
  CommandLine line("status", "", "Show the state of the system");
  AddClientOptions(line);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  return CallAndPrint(line, { "GET", "/v1/status", "", "" });
}

int
Explain(Arguments aArguments)
{
  CommandLine line("explain",
                   "KIND [NAME]",
                   "Explain decisions about a job, instance or team by its "
                   "name, or about the current wave (KIND wave)");
  AddClientOptions(line);
  line.ExpectPositional(1, 2);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  const std::vector<std::string>& words = line.Positional();
  const std::string name = words.size() > 1 ? words[1] : "current";
  return CallAndPrint(
    line, { "GET", "/v1/explain?" + words[0] + "=" + name, "", "" });
}

int
ChangeReplica(Arguments aArguments)
{
  CommandLine line("replica change",
                   "add|promote|remove INSTANCE",
                   "Change the set of replicas, one at a time. Send it to the "
                   "leader.");
  AddClientOptions(line);
  line.ExpectPositional(2, 2);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  const nlohmann::json body{ { "change", line.Positional()[0] },
                             { "instance", line.Positional()[1] } };
  return CallAndPrint(line, { "POST", "/v1/replicas", body.dump(), "" });
}

} // namespace hyssoppaddle::cli
