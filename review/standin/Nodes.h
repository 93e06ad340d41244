// Starts, stops, kills and restarts the nodes of a deployment as processes.
#ifndef review_standin_Nodes_h
#define review_standin_Nodes_h

#include "Worker.h"

#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

// Settings of node N are in FOLDER/node-N.json; after its first start, in
// FOLDER/node-N.again.json.
class Nodes
{
public:
  Nodes(std::string aProgram, std::string aFolder, int aCount, Record& aRecord)
    : program(std::move(aProgram))
    , folder(std::move(aFolder))
    , pids(static_cast<std::size_t>(aCount) + 1, 0)
    , record(aRecord)
  {
    for (int n = 1; n <= aCount; ++n) {
      this->Start(n, "json");
    }
  }
  ~Nodes() { this->KillAll(); }

  void KillAll()
  {
    for (std::size_t n = 1; n < this->pids.size(); ++n) {
      this->Signal(static_cast<int>(n), SIGKILL, "kill");
      ::waitpid(this->pids[n], nullptr, 0);
    }
  }
  void Kill(int aNode)
  {
    this->Signal(aNode, SIGKILL, "kill");
    ::waitpid(this->pids[static_cast<std::size_t>(aNode)], nullptr, 0);
  }
  void Restart(int aNode)
  {
    this->record.Write("start node " + std::to_string(aNode));
    this->Start(aNode, "again.json");
  }
  void Stop(int aNode) { this->Signal(aNode, SIGSTOP, "stop"); }
  void Continue(int aNode) { this->Signal(aNode, SIGCONT, "continue"); }

private:
  void Signal(int aNode, int aSignal, const char* aName)
  {
    this->record.Write(std::string(aName) + " node " + std::to_string(aNode));
    ::kill(this->pids[static_cast<std::size_t>(aNode)], aSignal);
  }

  void Start(int aNode, const std::string& aSuffix)
  {
    const std::string base = this->folder + "/node-" + std::to_string(aNode);
    const std::string variable = "HYSSOPPADDLE_CONFIG=" + base + "." + aSuffix;
    const std::string log = base + ".log";
    const pid_t pid = ::fork();
    if (pid != 0) {
      this->pids[static_cast<std::size_t>(aNode)] = pid;
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    for (int fd = 3; fd < 1024; ++fd) {
      ::close(fd);
    }
    ::putenv(const_cast<char*>(variable.c_str()));
    ::execl(this->program.c_str(),
            this->program.c_str(),
            "platform",
            "run",
            static_cast<char*>(nullptr));
    ::_exit(127);
  }

  std::string program;
  std::string folder;
  std::vector<pid_t> pids; // by node; the first is unused
  Record& record;
};

} // namespace review

#endif
