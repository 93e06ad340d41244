// Sends one POST per instruction and limits the number of concurrent ones.
#include "shell/InstructionSender.h"

#include "api/InstructionJson.h"
#include "shell/Endpoint.h"
#include "shell/HandlerErrors.h"

#include <nlohmann/json.hpp>

namespace hyssoppaddle::shell {

namespace {

constexpr std::size_t kMaxConcurrentDeliveries = 64;
// If the queue is full, the oldest is dropped. The planner repeats it.
constexpr std::size_t kMaxQueuedInstructions = 8192;
constexpr Duration kDeliveryTimeout{ std::chrono::seconds(2) };
constexpr unsigned kHttp11 = 11;

} // namespace

InstructionSender::InstructionSender(asio::io_context& aIo,
                                     std::shared_ptr<DeadlineQueue> aDeadlines,
                                     std::shared_ptr<Metrics> aMetrics)
  : io(aIo)
  , deadlines(std::move(aDeadlines))
  , metrics(std::move(aMetrics))
{
}

void
InstructionSender::Send(core::DeliverInstruction aInstruction)
{
  this->queue.push_back(std::move(aInstruction));
  if (this->queue.size() > kMaxQueuedInstructions) {
    this->queue.pop_front();
    this->metrics->Add(Counter::InstructionsFailed);
  }
  this->StartNext();
}

void
InstructionSender::StartNext()
{
  while (this->running < kMaxConcurrentDeliveries && !this->queue.empty()) {
    ++this->running;
    auto instruction = std::move(this->queue.front());
    this->queue.pop_front();
    asio::co_spawn(
      this->io,
      [self = this->shared_from_this(), next = std::move(instruction)]() mutable
      -> Awaitable<void> { co_await self->Deliver(next); },
      DetachedWithLog("instructions"));
  }
}

Awaitable<void>
InstructionSender::Deliver(const core::DeliverInstruction& aInstruction)
{
  const ErrorValue error = co_await this->Post(aInstruction);
  this->metrics->Add(error ? Counter::InstructionsFailed
                           : Counter::InstructionsSent);
  --this->running;
  this->StartNext();
}

Awaitable<ErrorValue>
InstructionSender::Post(const core::DeliverInstruction& aInstruction)
{
  const auto endpoint = ParseEndpoint(aInstruction.address);
  if (!endpoint) {
    co_return asio::error::invalid_argument;
  }
  Socket socket(this->io);
  Deadline deadline(*this->deadlines, [&socket] {
    ErrorValue ignored;
    socket.close(ignored);
  });
  deadline.Set(kDeliveryTimeout);
  ErrorValue error;
  co_await socket.async_connect(*endpoint, StoreError(error));
  if (error) {
    co_return error;
  }
  http::request<http::string_body> message(
    http::verb::post, "/hyssoppaddle/v1/instructions", kHttp11);
  message.set(http::field::host, aInstruction.address);
  message.set(http::field::content_type, "application/json");
  message.keep_alive(false);
  message.body() = api::WriteDelivery(aInstruction).dump();
  message.prepare_payload();
  co_await http::async_write(socket, message, StoreError(error));
  beast::flat_buffer buffer;
  http::response<http::string_body> answer;
  if (!error) {
    co_await http::async_read(socket, buffer, answer, StoreError(error));
  }
  if (!error && http::to_status_class(answer.result()) !=
                  http::status_class::successful) {
    error = asio::error::connection_refused;
  }
  co_return error;
}

} // namespace hyssoppaddle::shell
