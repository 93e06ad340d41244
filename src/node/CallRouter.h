// Brings each call to the leader, here or on another node, and answers it in
// time whatever happens to the leader. Calls are idempotent, so one without an
// answer is sent again to the next leader.
#ifndef hyssoppaddle_node_CallRouter_h
#define hyssoppaddle_node_CallRouter_h

#include "api/ControlHandler.h"
#include "base/Time.h"
#include "dispatch/Decision.h"
#include "node/Calls.h"
#include "wire/PeerMessage.h"

#include <functional>
#include <map>
#include <optional>

namespace hyssoppaddle::node {

// What the leader made of a call. Undecided calls go on to the next leader.
struct RoutedReply
{
  bool decided = true;
  bool mayHaveRun = false; // of an undecided one
  api::HttpReply reply;    // of a decided one
};

class CallRouter
{
public:
  using RoutedReplyCallback = std::function<void(RoutedReply)>;
  struct Callbacks
  {
    // Where calls can go now: another node, this one, or nowhere (empty).
    std::function<InstanceId()> leader;
    std::function<void(const InstanceId&, const wire::RemoteCall&)> send;
    std::function<void(const wire::RemoteCall&, RoutedReplyCallback)>
      handleLocally;
    // The answer of this node itself.
    std::function<api::HttpReply(const Reply&)> encode;
    std::function<void(const dispatch::Decision&)> logDecision;
  };

  CallRouter(InstanceId aSelf, Callbacks aCallbacks);

  // aCall needs no token. aLimit is how long the sender waits.
  void Route(wire::RemoteCall aCall,
             Duration aLimit,
             Time aNow,
             api::ReplyCallback aDone);
  void OnReply(const InstanceId& aFrom, wire::RemoteReply aReply);
  // Calls sent to aPeer wait for the next leader.
  void OnPeerLost(const InstanceId& aPeer);
  // Sends what waits when a leader is known, and ends what has waited too long.
  void Tick(Time aNow);
  [[nodiscard]] std::size_t CountOpenCalls() const
  {
    return this->calls.size();
  }

private:
  struct OpenCall
  {
    wire::RemoteCall call;
    api::ReplyCallback done;
    Time arrivedAt{};
    Time answerBy{};
    std::optional<InstanceId> sentTo; // waits for an answer from there
    bool unanswered = false;          // an earlier leader was lost with it

    [[nodiscard]] bool MayHaveRun() const
    {
      return this->sentTo.has_value() || this->unanswered;
    }
  };

  void Forward(OpenCall& aCall, const InstanceId& aLeader);
  void OnRoutedReply(std::uint64_t aToken, RoutedReply aReply);
  void GiveUp(std::uint64_t aToken);

  InstanceId self;
  Callbacks callbacks;
  std::uint64_t lastToken = 0;
  std::map<std::uint64_t, OpenCall> calls;
};

} // namespace hyssoppaddle::node

#endif
