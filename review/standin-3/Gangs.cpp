// Stand-in for the operator, nine workers of one service and their clients, and
// the judge of the case.
//
// Usage: Gangs TROUBLE WORKER_IP_PREFIX WORKER_PORT FRONTS CONTROLS
//   TROUBLE           1: a client hands in a gang of 20,000 lasting subtasks,
//   which no pool can hold;
//                     0: the same with a gang of 20
//   WORKER_IP_PREFIX  the workers listen on PREFIX.21 to PREFIX.29
//   FRONTS, CONTROLS  addresses IP:PORT of the daemons, divided by commas
// After the gang, twelve small jobs follow, one a second: two steps of two
// subtasks of 0.4 s. Judged 14 s later (`finish_s`): for 3 s, an accepted job
// has nothing running while the turn of a subtask has come. Nine workers of 32
// cores are there for it. Prints all calls, starts and ends. Ends with 1 if the
// rule is broken, with 0 if it held, with 2 if the case couldn't run.
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using Guard = std::lock_guard<std::recursive_mutex>;

constexpr std::int64_t kTaskMs = 400;
constexpr std::int64_t kMaxHoldMs = 6000;

const Clock::time_point kBegun = Clock::now();
std::mutex printing;
std::atomic<bool> quiet{ false };

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kBegun)
    .count();
}

void
Print(const std::string& aText)
{
  const std::lock_guard<std::mutex> lock(printing);
  std::cout << NowMs() << " ms: " << aText << std::endl;
}

void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

// What the workers have run, for the judge.
struct Observed
{
  std::recursive_mutex mutex;
  std::map<std::string, int> running; // by subtask
  std::map<std::string, bool> done;
};
Observed observed;

std::int64_t
NumberIn(const std::string& aJson, const std::string& aKey)
{
  const auto at = aJson.find("\"" + aKey + "\":");
  return at == std::string::npos
           ? 0
           : std::atoll(aJson.c_str() + at + aKey.size() + 3);
}

std::string
TextIn(const std::string& aJson, const std::string& aKey)
{
  const auto at = aJson.find("\"" + aKey + "\":\"");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + aKey.size() + 4;
  return aJson.substr(begin, aJson.find('"', begin) - begin);
}

sockaddr_in
Endpoint(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(
    static_cast<std::uint16_t>(std::atoi(aAddress.substr(colon + 1).c_str())));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &endpoint.sin_addr);
  return endpoint;
}

bool
SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count =
      send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Reads one HTTP message; what follows it stays in aBuffer.
bool
ReadMessage(int aSocket,
            std::string& aBuffer,
            std::string& aHead,
            std::string& aBody)
{
  char piece[65536];
  for (;;) {
    const auto end = aBuffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      aHead = aBuffer.substr(0, end + 4);
      std::size_t length = 0;
      const auto at = aHead.find("Content-Length: ");
      if (at != std::string::npos) {
        length = std::strtoul(aHead.c_str() + at + 16, nullptr, 10);
      }
      if (aBuffer.size() >= end + 4 + length) {
        aBody = aBuffer.substr(end + 4, length);
        aBuffer.erase(0, end + 4 + length);
        return true;
      }
    }
    const ssize_t count = recv(aSocket, piece, sizeof(piece), 0);
    if (count <= 0) {
      return false;
    }
    aBuffer.append(piece, static_cast<std::size_t>(count));
  }
}

struct Answer
{
  int status = 0; // 0: none
  std::string head;
  std::string body;
};

Answer
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody,
     int aLimitMs)
{
  Answer answer;
  const sockaddr_in to = Endpoint(aAddress);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{ aLimitMs / 1000, (aLimitMs % 1000) * 1000 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  const std::string request =
    aMethod + " " + aPath +
    " HTTP/1.1\r\nHost: pule25.example\r\nContent-Type: application/json\r\n"
    "Connection: close\r\nContent-Length: " +
    std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  std::string buffer;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0 &&
      SendAll(fd, request) &&
      ReadMessage(fd, buffer, answer.head, answer.body)) {
    answer.status = std::atoi(answer.head.c_str() + 9);
  }
  close(fd);
  return answer;
}

// One worker: runs each subtask for kTaskMs, or, of a gang, until it is stopped
// or its lease expires.
class Worker
{
public:
  Worker(std::string aId, std::string aAddress)
    : id(std::move(aId))
    , address(std::move(aAddress))
  {
  }

  bool Start(const std::vector<std::string>& aControls)
  {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in at = Endpoint(this->address);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) !=
          0 ||
        listen(listener, 64) != 0) {
      return false;
    }
    std::thread([this, listener] {
      for (;;) {
        const int fd = accept(listener, nullptr, nullptr);
        if (fd >= 0) {
          std::thread([this, fd] { this->Serve(fd); }).detach();
        }
      }
    }).detach();
    std::thread([this, aControls] { this->Announce(aControls); }).detach();
    std::thread([this] {
      for (;;) {
        this->EndDue();
        SleepMs(10);
      }
    }).detach();
    return true;
  }

private:
  struct Run
  {
    std::int64_t number = 0;
    std::int64_t endsAt = 0; // 0: lasts
  };

  void Announce(const std::vector<std::string>& aControls)
  {
    std::size_t next = 0;
    for (std::int64_t sequence = 1;; ++sequence) {
      const std::string body =
        "{\"service\":\"s0\",\"address\":\"" + this->address +
        "\",\"zone\":\"dc-1\",\"version\":\"v1\",\"slots\":8,\"state\":"
        "\"ready\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":32000,"
        "\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],"
        "\"machine\":\"m-" +
        this->id + "\",\"clock_ms\":" + std::to_string(NowMs()) +
        ",\"born\":1770000000000,\"sequence\":" + std::to_string(sequence) +
        "}";
      for (std::size_t i = 0; i < aControls.size(); ++i) {
        const Answer answer = Call(aControls[next % aControls.size()],
                                   "PUT",
                                   "/instances/" + this->id,
                                   body,
                                   1000);
        if (answer.status == 200) {
          break;
        }
        ++next;
      }
      SleepMs(1500);
    }
  }

  void Serve(int aSocket)
  {
    std::string buffer;
    std::string head;
    std::string body;
    while (ReadMessage(aSocket, buffer, head, body)) {
      int status = 200;
      const std::string reply = this->Handle(head, body, status);
      if (!SendAll(aSocket,
                   "HTTP/1.1 " + std::to_string(status) +
                     " X\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                     std::to_string(reply.size()) + "\r\n\r\n" + reply)) {
        break;
      }
    }
    close(aSocket);
  }

  std::string Reply(const std::string& aMore) const
  {
    return "{\"clock_ms\":" + std::to_string(NowMs()) +
           ",\"born\":1770000000000" + aMore + "}";
  }

  void Extend(std::int64_t aUntil)
  {
    this->leaseUntil =
      std::max(this->leaseUntil, std::min(aUntil, NowMs() + kMaxHoldMs));
  }

  std::string Handle(const std::string& aHead,
                     const std::string& aBody,
                     int& aStatus)
  {
    if (aHead.find("X-Expected-Instance: " + this->id + "\r\n") ==
        std::string::npos) {
      aStatus = 421;
      return this->Reply("");
    }
    {
      const Guard lock(observed.mutex);
      const std::int64_t token = NumberIn(aBody, "fencing_token");
      if (token < this->fence) {
        aStatus = 409;
        return this->Reply(",\"reason\":\"fence\"");
      }
      this->fence = token;
      const std::string task = TextIn(aBody, "task");
      const std::int64_t run = NumberIn(aBody, "run");
      const std::int64_t until = NumberIn(aBody, "deadline_ms");
      if (aHead.starts_with("POST /run-start ")) {
        const auto known = this->runs.find(task);
        if (known != this->runs.end() && known->second.number == run) {
          return this->Reply("");
        }
        if (run <= this->highest[task] || known != this->runs.end()) {
          this->Extend(until);
          aStatus = 409;
          return this->Reply(",\"reason\":\"old\"");
        }
        if (until <= NowMs()) {
          aStatus = 409;
          return this->Reply(",\"reason\":\"late\"");
        }
        this->Extend(until);
        const bool lasts = TextIn(aBody, "spec") == "gang";
        this->runs[task] = { run, lasts ? 0 : NowMs() + kTaskMs };
        ++observed.running[task];
        if (!quiet) {
          Print(this->id + " starts " + task + " run " + std::to_string(run));
        }
        return this->Reply("");
      }
      if (aHead.starts_with("POST /run-stop ")) {
        this->highest[task] = std::max(this->highest[task], run);
        const auto known = this->runs.find(task);
        if (known != this->runs.end() && known->second.number <= run) {
          this->End(task, "stopped");
        }
        return this->Reply("");
      }
      if (!aHead.starts_with("POST /hold ")) {
        return this->Reply("");
      }
      if (until > 0) {
        this->Extend(until);
      }
      const std::int64_t seen = NumberIn(aBody, "last_seen");
      std::erase_if(this->ended,
                    [&](const auto& aRow) { return aRow.first <= seen; });
    }
    const std::int64_t waitUntil =
      NowMs() + std::min<std::int64_t>(NumberIn(aBody, "wait_ms"), 2000);
    for (;;) {
      {
        const Guard lock(observed.mutex);
        if (!this->ended.empty() || NowMs() >= waitUntil) {
          return this->Reply(this->Lists());
        }
      }
      SleepMs(5);
    }
  }

  std::string Lists() const
  {
    std::string text = ",\"running\":[";
    for (const auto& [task, run] : this->runs) {
      text += std::string(text.back() == '[' ? "" : ",") + "[\"" + task +
              "\"," + std::to_string(run.number) + ",\"\"," +
              (run.endsAt == 0 ? "100" : "50") + ",0]";
    }
    text += "],\"ended\":[";
    for (const auto& [number, row] : this->ended) {
      text += std::string(text.back() == '[' ? "" : ",") + row;
    }
    return text + "]";
  }

  // Must be called with the lock.
  void End(const std::string& aTask, const std::string& aHow)
  {
    const Run run = this->runs.at(aTask);
    this->runs.erase(aTask);
    this->highest[aTask] = std::max(this->highest[aTask], run.number);
    --observed.running[aTask];
    observed.done[aTask] = observed.done[aTask] || aHow == "done";
    ++this->lastEnd;
    this->ended[this->lastEnd] = "[" + std::to_string(this->lastEnd) + ",\"" +
                                 aTask + "\"," + std::to_string(run.number) +
                                 ",\"" + aHow + "\",\"\"]";
    if (!quiet) {
      Print(this->id + " ended " + aTask + " run " +
            std::to_string(run.number) + ": " + aHow);
    }
  }

  void EndDue()
  {
    const Guard lock(observed.mutex);
    std::vector<std::pair<std::string, std::string>> due;
    for (const auto& [task, run] : this->runs) {
      if (NowMs() >= this->leaseUntil) {
        due.emplace_back(task, "lapsed");
      } else if (run.endsAt != 0 && NowMs() >= run.endsAt) {
        due.emplace_back(task, "done");
      }
    }
    for (const auto& [task, how] : due) {
      this->End(task, how);
    }
  }

  std::string id;
  std::string address;
  std::int64_t fence = 0;
  std::int64_t leaseUntil = 0;
  std::int64_t lastEnd = 0;
  std::map<std::string, Run> runs;
  std::map<std::string, std::int64_t> highest; // run stopped or ended
  std::map<std::int64_t, std::string> ended;
};

std::vector<std::string>
Split(const std::string& aText)
{
  std::vector<std::string> parts;
  std::stringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

// Sends a call until it has a clear answer, at the next daemon each time.
Answer
Insist(const std::vector<std::string>& aDaemons,
       const std::string& aMethod,
       const std::string& aPath,
       const std::string& aBody,
       std::int64_t aForMs)
{
  static std::size_t next = 0;
  const std::int64_t until = NowMs() + aForMs;
  Answer answer;
  do {
    std::string to = aDaemons[next++ % aDaemons.size()];
    answer = Call(to, aMethod, aPath, aBody, 3000);
    if (answer.status == 307) {
      const auto at = answer.head.find("Location: http://") + 17;
      to = answer.head.substr(at, answer.head.find('/', at) - at);
      answer = Call(to, aMethod, aPath, aBody, 3000);
    }
    Print(aMethod + " " + aPath + " at " + to + ": " +
          std::to_string(answer.status) + " " + answer.body);
    if (answer.status != 0 && answer.status != 502 && answer.status != 503 &&
        answer.status != 504) {
      return answer;
    }
    SleepMs(200);
  } while (NowMs() < until);
  return answer;
}

// True while the job has nothing running although the turn of one of its
// subtasks has come.
bool
IsIdle(const std::string& aJob)
{
  const Guard lock(observed.mutex);
  int open = 0;
  int running = 0;
  for (const char* step : { "0", "1" }) {
    const int before = open;
    for (const char* index : { "0", "1" }) {
      const std::string task = aJob + ".0." + step + "." + index;
      running += observed.running[task];
      open += observed.done[task] ? 0 : 1;
    }
    if (before == 0 && open > 0) {
      break; // the steps after it wait for this one
    }
  }
  return open > 0 && running == 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 6) {
    return 2;
  }
  const bool trouble = std::atoi(aArguments[1]) != 0;
  const std::string prefix = aArguments[2];
  const std::string port = aArguments[3];
  const std::vector<std::string> fronts = Split(aArguments[4]);
  const std::vector<std::string> controls = Split(aArguments[5]);
  const std::string config =
    "{\"version\":7,\"routes\":[{\"name\":\"r-35ieisp\",\"host\":"
    "\"pule25.example\",\"path_prefix\":\"/tije37/\",\"kind\":"
    "\"non_idempotent\",\"timeout_ms\":3000,\"target_completion_ms\":2500,"
    "\"priority\":0,\"service\":\"s0\",\"max_attempts\":3,\"stretch\":2.2,"
    "\"allow_anonymous\":true}],\"services\":[{\"name\":\"s0\","
    "\"health_path\":\"/healthz\",\"max_connections\":64,\"protocol\":\"h1\","
    "\"tls\":false,\"enforces_capacity\":true,\"standby\":false}],"
    "\"limits\":{},\"tenants\":[]}";
  if (Insist(controls, "PUT", "/config", config, 15000).status != 200) {
    return 2;
  }
  std::vector<Worker*> workers;
  for (int i = 1; i <= 9; ++i) {
    const std::string n = std::to_string(i);
    workers.push_back(
      new Worker("i-7f3a91c" + n, prefix + ".2" + n + ":" + port));
    if (!workers.back()->Start(controls)) {
      return 2;
    }
  }
  const std::string path = "/tije37/";
  const std::string small =
    "{\"spec\":\"slip\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":256,"
    "\"estimated_ms\":400},{\"count\":2,\"cpu\":500,\"mem_mb\":256,"
    "\"estimated_ms\":400,\"after\":[0]}]}";
  SleepMs(3000);
  const std::string first = "5c0e7a21d94b36f0";
  if (Insist(fronts, "POST", path + first, small, 10000).status != 200) {
    return 2;
  }
  bool isCalm = false;
  for (int i = 0; i < 20 && !isCalm; ++i) {
    SleepMs(500);
    isCalm =
      Insist(fronts, "GET", path + first, "", 3000).body.find("completed") !=
      std::string::npos;
  }
  if (!isCalm) {
    return 2;
  }
  const std::string gang =
    "{\"spec\":\"gang\",\"steps\":[{\"count\":" +
    std::string(trouble ? "20000" : "20") +
    ",\"cpu\":1000,\"mem_mb\":256,\"gang\":true,\"long_running\":true}]}";
  Insist(fronts, "POST", path + "5c0e7a21d94b36ff", gang, 10000);
  std::vector<std::string> jobs;
  for (int i = 1; i <= 12; ++i) {
    const char digit = "0123456789abcdef"[i];
    const std::string job = std::string("5c0e7a21d94b360") + digit;
    if (Insist(fronts, "POST", path + job, small, 6000).status == 200) {
      jobs.push_back(job);
    }
    SleepMs(1000);
  }
  Print(std::to_string(jobs.size()) + " small jobs accepted; the traffic ends");
  const std::int64_t end = NowMs() + 14000;
  std::map<std::string, std::int64_t> idleSince;
  while (NowMs() < end) {
    for (const std::string& job : jobs) {
      if (!IsIdle(job)) {
        idleSince.erase(job);
      } else {
        idleSince.try_emplace(job, NowMs());
      }
    }
    SleepMs(50);
  }
  int lost = 0;
  for (const std::string& job : jobs) {
    const auto idle = idleSince.find(job);
    if (idle != idleSince.end() && NowMs() - idle->second >= 3000) {
      Print("job " + job + " has had nothing running for " +
            std::to_string(NowMs() - idle->second) +
            " ms, though the turn of a subtask has come");
      ++lost;
    }
  }
  quiet = true;
  for (const std::string& job : jobs) {
    Insist(fronts, "GET", path + job, "", 3000);
  }
  Print(std::to_string(lost) + " of " + std::to_string(jobs.size()) +
        " accepted jobs stand still beside nine idle workers");
  std::_Exit(lost > 0 ? 1 : jobs.empty() ? 2 : 0);
}
