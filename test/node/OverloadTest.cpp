// A leader beyond its capacity, in virtual time in which handling a call takes
// time.
//
// Load pattern: the leader handles one call after another and is about half
// busy. Its machine then runs at a fifth of its speed for some seconds. Callers
// on several entry nodes wait for their time limits and call again.
#include "node/CallDeadline.h"
#include "node/CallQueue.h"
#include "node/CallRouter.h"
#include "support/TestTrace.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace hyssoppaddle;
using namespace hyssoppaddle::test;
using namespace hyssoppaddle::node;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Time kStart{ seconds(100) };
const Time kSlowFrom = kStart + seconds(3);
const Time kSlowUntil = kStart + seconds(9);
const Time kEnd = kStart + seconds(16);
constexpr int kSlowness = 5;
constexpr Duration kNetworkDelay = milliseconds(1);
constexpr Duration kTickInterval = milliseconds(25);
constexpr Duration kRetryInterval = milliseconds(200);
constexpr std::size_t kEntryNodes = 4;

struct Kind
{
  CallClass callClass;
  const char* method;
  Duration cost; // at full speed
  Duration limit;
  Duration interval; // between two operations
  int attempts;
};

// In the order of CallClass. Together 0.465 of the leader's time at full speed.
constexpr std::array kKinds{
  Kind{ CallClass::Order,
        "PUT",
        milliseconds(20),
        milliseconds(950),
        seconds(1),
        4 },
  Kind{ CallClass::Submission,
        "POST",
        microseconds(1500),
        seconds(2),
        microseconds(6667),
        4 },
  Kind{ CallClass::Read,
        "GET",
        microseconds(800),
        seconds(2),
        microseconds(6667),
        4 },
  Kind{ CallClass::Report,
        "PUT",
        microseconds(500),
        milliseconds(950),
        milliseconds(5),
        2 },
};

// Order in which the leader handles the waiting calls.
class Discipline
{
public:
  virtual ~Discipline() = default;
  virtual void Push(QueuedCall aCall) = 0;
  virtual std::optional<QueuedCall> Pop(Time aNow) = 0;
  virtual void Charge(CallClass aClass, Duration aElapsed) = 0;
};

class ByClass final : public Discipline
{
public:
  void Push(QueuedCall aCall) override { this->queue.Push(std::move(aCall)); }
  std::optional<QueuedCall> Pop(Time aNow) override
  {
    return this->queue.Pop(aNow);
  }
  void Charge(CallClass aClass, Duration aElapsed) override
  {
    this->queue.Charge(aClass, aElapsed);
  }

private:
  CallQueue queue{ [](const QueuedCall& aCall,
                      CallQueue::DiscardReason aReason) {
    if (aReason == CallQueue::DiscardReason::NotServed) {
      aCall.done({ false, false, {} });
    }
  } };
};

// The behaviour of leaders without a CallQueue.
class FirstComeFirstServed final : public Discipline
{
public:
  void Push(QueuedCall aCall) override
  {
    this->calls.push_back(std::move(aCall));
  }
  std::optional<QueuedCall> Pop(Time /*aNow*/) override
  {
    if (this->calls.empty()) {
      return std::nullopt;
    }
    QueuedCall call = std::move(this->calls.front());
    this->calls.pop_front();
    return call;
  }
  void Charge(CallClass /*aClass*/, Duration /*aElapsed*/) override {}

private:
  std::deque<QueuedCall> calls;
};

// Runs callers, entry nodes and the leader.
class Overload
{
public:
  explicit Overload(std::unique_ptr<Discipline> aDiscipline)
    : discipline(std::move(aDiscipline))
  {
    for (std::size_t i = 0; i < kEntryNodes; ++i) {
      this->AddEntryNode(i);
    }
    for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
      this->Begin(kind);
    }
    this->TickAll();
    while (!this->events.empty() && this->events.begin()->first < kEnd) {
      const auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
  }

  // Share of the operations of the kind begun in [aFrom, aUntil) whose first
  // attempt was answered.
  [[nodiscard]] double Answered(CallClass aClass, Time aFrom, Time aUntil) const
  {
    double begun = 0;
    double answered = 0;
    for (const Operation& operation : this->operations) {
      if (kKinds[operation.kind].callClass == aClass &&
          operation.begunAt >= aFrom && operation.begunAt < aUntil) {
        begun += 1;
        answered += operation.answeredAtOnce ? 1 : 0;
      }
    }
    return answered / begun;
  }
  // The same for the class that is served worst.
  [[nodiscard]] double WorstAnswered(Time aFrom, Time aUntil) const
  {
    double worst = 1;
    for (const Kind& kind : kKinds) {
      worst = std::min(worst, this->Answered(kind.callClass, aFrom, aUntil));
    }
    return worst;
  }
  // Share of the leader's busy time in [aFrom, aUntil) that went into calls
  // whose callers still waited at the end.
  [[nodiscard]] double UsefulWork(Time aFrom, Time aUntil) const
  {
    Duration total{ 0 };
    Duration useful{ 0 };
    for (const Work& work : this->works) {
      if (work.at >= aFrom && work.at < aUntil) {
        total += work.elapsed;
        useful += work.inTime ? work.elapsed : Duration(0);
      }
    }
    return static_cast<double>(useful.count()) /
           static_cast<double>(total.count());
  }

private:
  struct Operation
  {
    std::size_t kind;
    Time begunAt;
    int attempts = 0;
    bool answeredAtOnce = false;
  };

  struct Work
  {
    Time at;
    Duration elapsed;
    bool inTime;
  };

  void After(Duration aDelay, std::function<void()> aEvent)
  {
    this->events.emplace(this->now + aDelay, std::move(aEvent));
  }

  void AddEntryNode(std::size_t aIndex)
  {
    CallRouter::Callbacks callbacks;
    callbacks.leader = [] { return InstanceId("leader"); };
    callbacks.send = [this, aIndex](const InstanceId&,
                                    const wire::RemoteCall& aCall) {
      this->After(kNetworkDelay,
                  [this, aIndex, aCall] { this->Arrive(aIndex, aCall); });
    };
    callbacks.encode = [](const Reply& aReply) {
      api::HttpReply reply;
      reply.status = aReply.outcome == Outcome::Undecided ? 504 : 503;
      return reply;
    };
    callbacks.logDecision = [](const dispatch::Decision&) {};
    this->routers.push_back(
      std::make_unique<CallRouter>(InstanceId("entry" + std::to_string(aIndex)),
                                   aIndex,
                                   std::move(callbacks)));
  }

  void TickAll()
  {
    for (const auto& router : this->routers) {
      router->Tick(this->now);
    }
    this->After(kTickInterval, [this] { this->TickAll(); });
  }

  void Begin(std::size_t aKind)
  {
    this->operations.push_back({ aKind, this->now });
    this->Attempt(this->operations.size() - 1);
    this->After(kKinds[aKind].interval, [this, aKind] { this->Begin(aKind); });
  }

  void Attempt(std::size_t aOperation)
  {
    Operation& operation = this->operations[aOperation];
    const Kind& kind = kKinds[operation.kind];
    ++operation.attempts;
    wire::RemoteCall call;
    call.method = kind.method;
    call.target = std::to_string(operation.kind);
    this->routers[this->nextEntryNode++ % kEntryNodes]->Route(
      std::move(call),
      kind.limit,
      this->now,
      [this, aOperation](const api::HttpReply& aReply) {
        Operation& answered = this->operations[aOperation];
        if (aReply.status == 200) {
          answered.answeredAtOnce = answered.attempts == 1;
        } else if (answered.attempts < kKinds[answered.kind].attempts) {
          this->After(kRetryInterval,
                      [this, aOperation] { this->Attempt(aOperation); });
        }
      });
  }

  // A call arrives at the leader.
  void Arrive(std::size_t aEntryNode, const wire::RemoteCall& aCall)
  {
    const Kind& kind = kKinds[std::stoul(aCall.target)];
    QueuedCall queued;
    queued.callClass = kind.callClass;
    queued.request.target = aCall.target;
    queued.arrivedAt = this->now;
    queued.answerBy = this->now + TimeLeft(aCall).value_or(kind.limit);
    queued.done =
      [this, aEntryNode, token = aCall.token](const RoutedReply& aReply) {
        const wire::RemoteReply reply{
          token, aReply.decided ? 200U : 0U, false, {}, {}
        };
        this->After(kNetworkDelay, [this, aEntryNode, reply] {
          this->routers[aEntryNode]->OnReply(InstanceId("leader"), reply);
        });
      };
    this->discipline->Push(std::move(queued));
    this->Serve();
  }

  void Serve()
  {
    if (this->busy) {
      return;
    }
    std::optional<QueuedCall> call = this->discipline->Pop(this->now);
    if (!call) {
      return;
    }
    this->busy = true;
    const bool isSlow = this->now >= kSlowFrom && this->now < kSlowUntil;
    const Duration elapsed =
      kKinds[static_cast<std::size_t>(call->callClass)].cost *
      (isSlow ? kSlowness : 1);
    this->After(elapsed, [this, elapsed, call = std::move(*call)] {
      this->busy = false;
      this->discipline->Charge(call.callClass, elapsed);
      this->works.push_back({ this->now, elapsed, this->now < call.answerBy });
      call.done({ true, false, {} });
      this->Serve();
    });
  }

  std::unique_ptr<Discipline> discipline;
  Time now = kStart;
  std::multimap<Time, std::function<void()>> events;
  std::vector<std::unique_ptr<CallRouter>> routers;
  std::size_t nextEntryNode = 0;
  std::vector<Operation> operations;
  std::vector<Work> works;
  bool busy = false;
};

} // namespace

// Guards against an overload that feeds itself: work for callers that have gone
// displaces the work for those that wait, also after the cause has ended.
Test(Overload, ASlowLeaderServesThoseThatStillWaitAndRecovers)
{
  TestTrace trace;
  const Overload overload(std::make_unique<ByClass>());
  trace.Section("at full speed each call is answered", [&] {
    EXPECT_EQUAL(
      trace, overload.WorstAnswered(kStart, kStart + seconds(2)), 1.0);
  });
  const Time saturated = kSlowFrom + seconds(1);
  trace.Section("at a fifth of the speed orders are answered in time", [&] {
    EXPECT_EQUAL(
      trace, overload.Answered(CallClass::Order, saturated, kSlowUntil), 1.0);
  });
  trace.Section("no class starves", [&] {
    EXPECT_THAT(trace, overload.WorstAnswered(saturated, kSlowUntil) >= 0.1);
  });
  trace.Section("its time goes into calls whose callers wait", [&] {
    EXPECT_THAT(trace, overload.UsefulWork(saturated, kSlowUntil) >= 0.95);
  });
  trace.Section(
    "a second after the cause has ended, nothing is left of it", [&] {
      EXPECT_THAT(trace,
                  overload.WorstAnswered(kSlowUntil + seconds(1),
                                         kEnd - seconds(3)) >= 0.99);
    });
}

// Shows that the load of this file overloads a leader that handles all calls in
// the order of arrival, so that the test above proves something.
Test(Overload, TheSameLoadCollapsesInTheOrderOfArrival)
{
  TestTrace trace;
  const Overload overload(std::make_unique<FirstComeFirstServed>());
  trace.Section("at full speed each call is answered", [&] {
    EXPECT_EQUAL(
      trace, overload.WorstAnswered(kStart, kStart + seconds(1)), 1.0);
  });
  // After that time the wait exceeds the longest time limit.
  const Time collapsed = kSlowFrom + seconds(4);
  trace.Section("at a fifth of the speed its work is for nobody", [&] {
    EXPECT_THAT(trace, overload.UsefulWork(collapsed, kSlowUntil) < 0.1);
    EXPECT_EQUAL(
      trace,
      overload.Answered(CallClass::Order, kSlowFrom + seconds(2), kSlowUntil),
      0.0);
  });
  trace.Section("it stays overloaded at full speed", [&] {
    EXPECT_THAT(
      trace,
      overload.WorstAnswered(kSlowUntil + seconds(1), kEnd - seconds(3)) < 0.5);
  });
}
