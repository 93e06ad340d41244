// job submit, status and cancel.
#include "cli/Client.h"
#include "cli/CommandLine.h"
#include "cli/ReadFile.h"
#include "cli/Subcommands.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace hyssoppaddle::cli {

int
SubmitJob(Arguments aArguments)
{
  CommandLine line("job submit",
                   "FILE",
                   "Submit the job described in FILE (JSON; - reads standard "
                   "input; docs/api.md lists the fields)");
  AddClientOptions(line);
  line.ExpectPositional(1, 1);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  Result<std::string> text = ReadFile(line.Positional()[0]);
  if (!text) {
    std::cerr << "hyssoppaddle: " << text.error().message << '\n';
    return ExitCode::Usage;
  }
  return CallAndPrint(line, { "POST", "/v1/jobs", std::move(*text), "" });
}

int
ShowJob(Arguments aArguments)
{
  CommandLine line("job status", "JOB", "Show a job");
  AddClientOptions(line);
  line.ExpectPositional(1, 1);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  return CallAndPrint(line,
                      { "GET", "/v1/jobs/" + line.Positional()[0], "", "" });
}

int
CancelJob(Arguments aArguments)
{
  constexpr std::size_t kMaxJobs = 10000;
  CommandLine line("job cancel", "JOB...", "Cancel jobs");
  AddClientOptions(line);
  line.ExpectPositional(1, kMaxJobs);
  if (!line.Parse(aArguments)) {
    return line.Code();
  }
  const nlohmann::json body{ { "jobs", line.Positional() } };
  return CallAndPrint(line,
                      { "POST", "/v1/jobs/cancellations", body.dump(), "" });
}

} // namespace hyssoppaddle::cli
