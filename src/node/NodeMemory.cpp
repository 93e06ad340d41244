// Bounds what the calls of clients take of the node's memory.
#include "node/NodeImpl.h"

#include "node/Clock.h"

#include <malloc.h>
#include <unistd.h>

namespace hyssoppaddle::node {

namespace {

constexpr std::size_t kMebibyte = 1024UL * 1024;
// Bodies of calls that wait for a leader on another node. A link closes with
// 4 MiB in its queue, and the messages of the replicated log need it too.
constexpr std::size_t kMaxForwardedBytes = 3 * kMebibyte;
constexpr Duration kRetryAfter = std::chrono::seconds(1);

} // namespace

std::size_t
MemoryLimit(const NodeSettings& aSettings)
{
  if (aSettings.memoryMb != 0) {
    return aSettings.memoryMb * kMebibyte;
  }
  return static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) *
         static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

bool
Node::Impl::IsBulkRead(const api::HttpRequest& aRequest) const
{
  return aRequest.method == "GET" && this->protocol->IsBulk(aRequest);
}

bool
Node::Impl::HasMemoryFor(const api::HttpRequest& aRequest)
{
  const std::size_t bytes = aRequest.body.size();
  if (this->forwardedBytes > 0 && bytes > 0 &&
      this->forwardedBytes + bytes > kMaxForwardedBytes &&
      this->CallTarget() != this->self) {
    return false;
  }
  if (!this->replica || !this->IsBulkRead(aRequest)) {
    return true;
  }
  // All answers to reads that wait for the same confirmation are made at once.
  const std::size_t answer =
    this->replica->State().CurrentSetup().document.size();
  return this->bulkReads == 0 || (this->bulkReads + 1) * answer <=
                                   this->memory->Part(MemoryOwner::Control);
}

api::ReplyCallback
Node::Impl::CountUntilAnswered(const api::HttpRequest& aRequest,
                               api::ReplyCallback aDone)
{
  const std::size_t bytes = aRequest.body.size();
  const std::size_t reads = this->IsBulkRead(aRequest) ? 1 : 0;
  if (bytes == 0 && reads == 0) {
    return aDone;
  }
  this->forwardedBytes += bytes;
  this->bulkReads += reads;
  return [this, bytes, reads, done = std::move(aDone)](api::HttpReply aReply) {
    this->forwardedBytes -= bytes;
    this->bulkReads -= reads;
    done(std::move(aReply));
  };
}

void
Node::Impl::RefuseForMemory(const api::HttpRequest& aRequest,
                            const api::ReplyCallback& aDone)
{
  constexpr std::string_view kCause = "too_many_forwarded_bytes";
  this->metrics->CountRefusal(kCause);
  const std::string_view address = aRequest.remoteAddress;
  this->LogClientRefusal(kCause, address.substr(0, address.rfind(':')));
  Reply reply;
  reply.outcome = Outcome::Unavailable;
  reply.retryAfter = kRetryAfter;
  aDone(this->protocol->Encode(reply));
}

void
Node::Impl::LogClientRefusal(std::string_view aCause, std::string_view aClient)
{
  if (const auto line =
        this->refusalLog.Record(aCause, aClient, SuspendAwareNow())) {
    this->LogThrottled(*line);
  }
}

void
Node::Impl::ReleaseFreeMemory()
{
  if (this->memory->TakeReliefSignal()) {
    ::malloc_trim(0);
    this->LogThrottled({ "memory_released", {}, {} });
  }
}

std::string
Node::Impl::MemoryMetrics() const
{
  std::string text =
    "# HELP hyssoppaddle_memory_in_use_bytes Requests and answers by owner.\n"
    "# TYPE hyssoppaddle_memory_in_use_bytes gauge\n";
  std::string refusals =
    "# HELP hyssoppaddle_memory_refused_total Refusals by owner.\n"
    "# TYPE hyssoppaddle_memory_refused_total counter\n";
  for (std::size_t i = 0; i < MemoryBudget::kOwners; ++i) {
    const auto owner = static_cast<MemoryOwner>(i);
    const std::string label =
      "{owner=\"" + std::string(MemoryBudget::NameOf(owner)) + "\"} ";
    text += "hyssoppaddle_memory_in_use_bytes" + label +
            std::to_string(this->memory->InUse(owner)) + "\n";
    refusals += "hyssoppaddle_memory_refused_total" + label +
                std::to_string(this->memory->Refused(owner)) + "\n";
  }
  text += "hyssoppaddle_memory_in_use_bytes{owner=\"queued_calls\"} " +
          std::to_string(this->callQueue.Bytes()) + "\n";
  return text + refusals;
}

} // namespace hyssoppaddle::node
