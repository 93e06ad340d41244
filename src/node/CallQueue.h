// Calls that wait to be handled by the leader.
//
// Load pattern: at a peak, on a slow machine and after an outage more calls
// arrive than the leader can handle. Callers that get no answer in time call
// again, so handling calls that nobody waits for any more keeps the leader
// overloaded after the cause has gone. Calls are therefore kept in classes that
// share the leader's time, a call is dropped once its caller has gone, and a
// class that is behind serves its newest calls first: their callers wait the
// longest from now on.
#ifndef hyssoppaddle_node_CallQueue_h
#define hyssoppaddle_node_CallQueue_h

#include "api/ControlHandler.h"
#include "base/Time.h"
#include "node/CallRouter.h"
#include "node/Calls.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>

namespace hyssoppaddle::node {

struct QueuedCall
{
  CallClass callClass = CallClass::Read;
  api::HttpRequest request;
  Time arrivedAt{};
  Time answerBy{};         // nobody waits for the reply after this time
  bool isRepeated = false; // an earlier leader may have executed it
  CallRouter::RoutedReplyCallback done;
};

class CallQueue
{
public:
  static constexpr std::size_t kClasses =
    static_cast<std::size_t>(CallClass::Count);
  // Calls kept per class.
  static constexpr std::size_t kMaxWaiting = 512;

  enum class DiscardReason : std::uint8_t
  {
    CallerGone,
    // The class is full, the time left does not suffice for the reply, or
    // DiscardAll was called. The caller still waits.
    NotServed,
  };
  // Receives each call that is removed without having run. It must not call
  // the queue.
  using DiscardFunction = std::function<void(QueuedCall, DiscardReason)>;

  // aMaxBytes limits the bodies of all calls together.
  explicit CallQueue(DiscardFunction aDiscard,
                     std::size_t aMaxBytes = ~std::size_t{ 0 });

  // Discards the oldest call of the class if the class is full. If there are
  // too many bytes, discards the oldest calls of the class that has most.
  void Push(QueuedCall aCall);
  // Removes the next call to handle, and discards the calls that it is too late
  // for.
  [[nodiscard]] std::optional<QueuedCall> Pop(Time aNow);
  // Accounts the time that handling a call of the class took.
  void Charge(CallClass aClass, Duration aElapsed);
  void DiscardAll();

  [[nodiscard]] bool IsEmpty() const;
  // Bytes of the bodies that wait.
  [[nodiscard]] std::size_t Bytes() const;

private:
  struct Lane
  {
    std::deque<QueuedCall> calls; // in the order of arrival
    std::size_t bytes = 0;        // of the bodies of `calls`
    double served = 0; // microseconds of the leader, divided by the weight

    QueuedCall TakeFront();
    QueuedCall TakeBack();
  };

  // Whether it is too late for the call, and why then. Empty: it is not.
  [[nodiscard]] static std::optional<DiscardReason> LateReason(
    const QueuedCall& aCall,
    Time aNow);
  void DiscardOldest(Lane& aLane);
  [[nodiscard]] Lane* NextLane();

  DiscardFunction discard;
  std::size_t maxBytes = 0;
  std::array<Lane, kClasses> lanes; // in the order of CallClass
  double servedFloor = 0;           // `served` of the lane that was chosen last
};

} // namespace hyssoppaddle::node

#endif
