// Exit codes of the command line, documented in docs/OPERATIONS.md.
#ifndef hyssoppaddle_cli_ExitCode_h
#define hyssoppaddle_cli_ExitCode_h

namespace hyssoppaddle::cli {

enum ExitCode : int
{
  Done = 0,
  Refused = 1,           // refused by the server or failed a check
  Usage = 2,             // wrong options or arguments
  ServerUnreachable = 3, // no response from the server
  DaemonFailure = 4,     // the daemon could not start or had to stop
};

} // namespace hyssoppaddle::cli

#endif
