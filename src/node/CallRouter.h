// Routes each call to the leader, on this node or another one, and replies
// within the caller's time limit even when the leader fails. Calls are
// idempotent, so an unanswered call is sent again to the next leader.
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

// Result of a call on the leader. Undecided calls are sent to the next leader.
struct RoutedReply
{
  bool decided = true;
  bool mayHaveRun = false; // set only for undecided calls
  api::HttpReply reply;    // set only for decided calls
};

class CallRouter
{
public:
  using RoutedReplyCallback = std::function<void(RoutedReply)>;
  struct Callbacks
  {
    // The node that accepts calls now, which may be this one; empty when there
    // is none.
    std::function<InstanceId()> leader;
    std::function<void(const InstanceId&, const wire::RemoteCall&)> send;
    std::function<void(const wire::RemoteCall&, RoutedReplyCallback)>
      handleLocally;
    // Encodes a reply that this node generates itself.
    std::function<api::HttpReply(const Reply&)> encode;
    std::function<void(const dispatch::Decision&)> logDecision;
  };

  CallRouter(InstanceId aSelf, Callbacks aCallbacks);

  // The router assigns the token of aCall. aLimit is how long the sender waits
  // for a reply.
  void Route(wire::RemoteCall aCall,
             Duration aLimit,
             Time aNow,
             api::ReplyCallback aDone);
  void OnReply(const InstanceId& aFrom, wire::RemoteReply aReply);
  // Marks the calls sent to aPeer as unanswered; they are sent to the next
  // leader.
  void OnPeerLost(const InstanceId& aPeer);
  // Sends the unsent calls when a leader is known, and gives up the calls that
  // have waited too long.
  void Tick(Time aNow);
  // Replies to all open calls and at once to all later ones, for a node that is
  // about to end.
  void GiveUpAll();
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
    std::optional<InstanceId> sentTo; // node that has not replied yet
    // True when an earlier leader received the call and failed before it
    // replied.
    bool unanswered = false;

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
  bool closed = false; // since GiveUpAll
};

} // namespace hyssoppaddle::node

#endif
