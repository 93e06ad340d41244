// Measures what the dispatcher spends on one core for an event while a job with
// many tasks waits: the submission of another job, and the end of a task of the
// large job. Usage: LargeJobBench
#include "dispatch/Dispatcher.h"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <string>

using namespace hyssoppaddle;

namespace {

constexpr int kUpstreams = 9;
constexpr int kEvents = 200;
constexpr std::int64_t kCores = 32;
constexpr Duration kStep = std::chrono::milliseconds(1);

// The leader and its upstreams, which answer each call at once and run all
// tasks until the bench ends them. Only the dispatcher is timed.
class Leader
{
public:
  Leader()
    : dispatcher({}, this->state)
  {
    work::Setup setup;
    setup.version = 1;
    work::Queue queue;
    queue.name = work::QueueId("queue");
    queue.host = "bench";
    queue.pathPrefix = "/";
    queue.service = ServiceId("service");
    queue.allowAnonymous = true;
    queue.maxAttempts = 3;
    setup.queues.push_back(queue);
    work::Service service;
    service.name = queue.service;
    setup.services.push_back(service);
    std::vector<work::Command> commands{ work::SetSetup{ setup } };
    for (int i = 0; i < kUpstreams; ++i) {
      work::Upstream record;
      record.service = queue.service;
      record.address = "up-" + std::to_string(i);
      record.capacity = { kCores * 1000, 64000, 0 };
      record.boot = 1;
      commands.emplace_back(
        work::SetUpstream{ InstanceId(record.address), record });
    }
    this->Commit(std::move(commands));
    this->dispatcher.BecomeLeader(1, this->now, this->Wall());
    this->Settle();
  }

  void Submit(const std::string& aJob, const work::Step& aStep)
  {
    work::SubmitJob submit;
    submit.id = JobId(aJob);
    submit.queue = work::QueueId("queue");
    submit.queueAddress = { "bench", "/" };
    submit.spec.steps.push_back(aStep);
    this->Commit({ submit });
    this->Settle();
  }

  // Ends a task of the job, as its upstream would report it.
  void EndOne(const std::string& aJob)
  {
    for (const auto& [id, session] : this->dispatcher.Upstreams()) {
      for (const auto& [key, run] : session.runs) {
        if (key.first.job.value == aJob) {
          this->Commit({ work::EndRun{
            key.first, key.second, id, work::EndKind::Done, {} } });
          this->Settle();
          return;
        }
      }
    }
  }

  Duration spent{ 0 }; // by the dispatcher, on the clock of this machine

private:
  template<typename Function>
  void Timed(const Function& aFunction)
  {
    const auto begin = std::chrono::steady_clock::now();
    aFunction();
    this->spent += std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - begin);
  }

  [[nodiscard]] WallTime Wall() const
  {
    return WallTime(this->now.time_since_epoch());
  }

  void Commit(std::vector<work::Command> aCommands)
  {
    work::Batch batch;
    batch.stamp = this->Wall();
    batch.commands = std::move(aCommands);
    const auto verdicts = this->state.Apply(batch);
    this->Timed([&] {
      this->dispatcher.Applied(batch, verdicts, this->now, this->Wall());
    });
  }

  // Carries out all output until there is none any more.
  void Settle()
  {
    this->now += kStep;
    this->Timed([&] { this->dispatcher.Tick(this->now, this->Wall()); });
    for (bool isIdle = false; !isIdle;) {
      dispatch::Output output;
      this->Timed([&] { output = this->dispatcher.TakeOutput(); });
      isIdle = output.commands.empty() && output.instructions.empty() &&
               !this->dispatcher.HasUnfinishedPlans();
      if (!output.commands.empty()) {
        this->Commit(std::move(output.commands));
      }
      for (const dispatch::Instruction& instruction : output.instructions) {
        this->Answer(instruction);
      }
    }
  }

  void Answer(const dispatch::Instruction& aInstruction)
  {
    dispatch::Answer answer;
    if (const auto* renew = std::get_if<dispatch::RenewLease>(&aInstruction)) {
      dispatch::LeaseAnswer lease;
      lease.token = renew->token;
      lease.upstream = renew->to.upstream;
      lease.answered = true;
      lease.boot = 1;
      lease.clock = this->now.time_since_epoch().count() / 1000;
      for (const auto& [key, run] :
           this->dispatcher.Upstreams().at(renew->to.upstream).runs) {
        if (run.phase == dispatch::RunPhase::Confirmed) {
          lease.running.push_back({ key.first, key.second, {}, 50, {} });
        }
      }
      answer = lease;
    } else if (const auto* start =
                 std::get_if<dispatch::StartTask>(&aInstruction)) {
      dispatch::OrderAnswer order;
      order.token = start->token;
      order.result = dispatch::OrderResult::Accepted;
      answer = order;
    } else {
      return;
    }
    this->Timed(
      [&] { this->dispatcher.Handle(answer, this->now, this->Wall()); });
  }

  Time now{ std::chrono::seconds(1000) };
  work::WorkState state;
  dispatch::Dispatcher dispatcher;
};

work::Step
MakeStep(std::uint32_t aCount, std::int64_t aMilliCpus, bool aGang)
{
  work::Step step;
  step.count = aCount;
  step.size = { aMilliCpus, 1, 0 };
  step.estimate = std::chrono::seconds(1);
  step.gang = aGang;
  return step;
}

// Microseconds of one event, on the average.
template<typename Event>
double
Measure(Leader& aLeader, const Event& aEvent)
{
  aLeader.spent = Duration(0);
  for (int i = 0; i < kEvents; ++i) {
    aEvent(i);
  }
  return std::chrono::duration<double, std::micro>(aLeader.spent).count() /
         kEvents;
}

struct Kind
{
  const char* name;
  bool isGang;
  bool ownEvents; // of the large job, instead of other jobs
};

} // namespace

int
main()
{
  constexpr Kind kKinds[]{
    { "gang, another job arrives", true, false },
    { "no gang, another job arrives", false, false },
    { "no gang, a task of it ends", false, true },
  };
  for (const Kind& kind : kKinds) {
    double first = 0;
    for (const std::uint32_t waiting : { 20U, 200U, 2000U, 20000U }) {
      Leader leader;
      const std::uint32_t full = kUpstreams * kCores;
      if (kind.ownEvents) {
        leader.Submit("large", MakeStep(waiting + full, 1000, false));
      } else if (kind.isGang) {
        // 18 of them fit into the empty pool.
        leader.Submit("large", MakeStep(waiting, kCores * 500, true));
      } else {
        leader.Submit("filler", MakeStep(full, 1000, false));
        leader.Submit("large", MakeStep(waiting, 1000, false));
      }
      const double each = Measure(leader, [&](int aEvent) {
        if (kind.ownEvents) {
          leader.EndOne("large");
        } else {
          leader.Submit("job-" + std::to_string(aEvent),
                        MakeStep(1, 1000, false));
        }
      });
      first = first == 0 ? each : first;
      std::printf("%-30s %6u waiting: %9.2f us per event, %7.2f times the "
                  "smallest\n",
                  kind.name,
                  waiting,
                  each,
                  each / first);
      std::fflush(stdout);
    }
  }
  return 0;
}
