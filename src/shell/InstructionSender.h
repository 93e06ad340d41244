// Delivers the planner's instructions to upstreams over HTTP. A failed delivery
// is only counted, because the planner repeats unacknowledged instructions.
#ifndef hyssoppaddle_shell_InstructionSender_h
#define hyssoppaddle_shell_InstructionSender_h

#include "core/Events.h"
#include "shell/Asio.h"
#include "shell/Deadlines.h"
#include "shell/Metrics.h"

#include <deque>
#include <memory>

namespace hyssoppaddle::shell {

class InstructionSender : public std::enable_shared_from_this<InstructionSender>
{
public:
  InstructionSender(asio::io_context& aIo,
                    std::shared_ptr<DeadlineQueue> aDeadlines,
                    std::shared_ptr<Metrics> aMetrics);

  void Send(core::DeliverInstruction aInstruction);

private:
  void StartNext();
  Awaitable<void> Deliver(const core::DeliverInstruction& aInstruction);
  Awaitable<ErrorValue> Post(const core::DeliverInstruction& aInstruction);

  asio::io_context& io;
  std::shared_ptr<DeadlineQueue> deadlines;
  std::shared_ptr<Metrics> metrics;
  std::deque<core::DeliverInstruction> queue;
  std::size_t running = 0;
};

} // namespace hyssoppaddle::shell

#endif
