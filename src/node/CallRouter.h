// Routes each call to the leader, on this node or another one, and replies
// within the caller's time limit even when the leader fails. Calls are
// idempotent, so a call whose leader was lost or replaced before it replied is
// sent again to the next leader.
#ifndef hyssoppaddle_node_CallRouter_h
#define hyssoppaddle_node_CallRouter_h

#include "api/ControlHandler.h"
#include "base/Time.h"
#include "base/TokenSequence.h"
#include "dispatch/Decision.h"
#include "node/Calls.h"
#include "node/LeaderAbsence.h"
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
  // Longer than any election.
  static constexpr Duration kLongAbsence = std::chrono::hours(1);

  using RoutedReplyCallback = std::function<void(RoutedReply)>;
  struct Callbacks
  {
    // The node that accepts calls now, which may be this one; empty when there
    // is none.
    std::function<InstanceId()> leader;
    // Used while there is none. By default no leader is expected soon.
    std::function<LeaderAbsence(Time)> absence = [](Time) {
      return LeaderAbsence{ kLongAbsence, kLongAbsence, 0, 0 };
    };
    std::function<void(const InstanceId&, const wire::RemoteCall&)> send;
    std::function<void(wire::RemoteCall, RoutedReplyCallback)> handleLocally;
    // Encodes a reply that this node generates itself.
    std::function<api::HttpReply(const Reply&)> encode;
    std::function<void(const dispatch::Decision&)> logDecision;
    // Called for a reply to a call that was given up or sent to another leader.
    std::function<void()> lateReply = [] {};
    // Called for a reply to a call that this process has not sent: an earlier
    // process of this node has.
    std::function<void()> foreignReply = [] {};
  };

  // aSeed must differ from that of every earlier process of this node: the
  // leader replies to the node, not to the process that sent the call.
  CallRouter(InstanceId aSelf, std::uint64_t aSeed, Callbacks aCallbacks);

  // The router assigns the token of aCall, a new one for each attempt, so that
  // the reply to an abandoned attempt is not taken for that to a later one.
  // aLimit is how long the sender waits
  // for a reply.
  void Route(wire::RemoteCall aCall,
             Duration aLimit,
             Time aNow,
             api::ReplyCallback aDone);
  void OnReply(const InstanceId& aFrom, wire::RemoteReply aReply);
  // Marks the calls sent to aPeer as unanswered; they are sent to the next
  // leader.
  void OnPeerLost(const InstanceId& aPeer);
  // Sends all calls that the current leader has not received to it, and gives
  // up the calls that have waited too long. Must also be called when the leader
  // changes, so that calls do not wait for the next tick.
  void Tick(Time aNow);
  // Replies to all open calls and at once to all later ones, for a node that is
  // about to end.
  void GiveUpAll();
  [[nodiscard]] std::size_t CountOpenCalls() const
  {
    return this->calls.size();
  }
  // Calls refused as not run because no leader accepted them in time.
  [[nodiscard]] std::uint64_t CountRefused() const
  {
    return this->refusedCalls;
  }
  // Calls that a leader received after they had waited for one.
  [[nodiscard]] std::uint64_t CountHeld() const { return this->heldCalls; }

private:
  struct OpenCall
  {
    wire::RemoteCall call;
    api::ReplyCallback done;
    Time answerBy{};
    std::optional<InstanceId> sentTo; // node that has not replied yet
    // Since when no leader has accepted the call. Empty after a leader was lost
    // or replaced, until the next tick.
    std::optional<Time> waitingSince;
    // True when an earlier leader received the call and was lost or replaced
    // before it replied.
    bool unanswered = false;
    // True when the node that received the call last is not the leader or not
    // ready.
    bool refused = false;
    bool isHeld = false; // has waited for a leader at the last tick

    // Always false for a read, which has no effect.
    [[nodiscard]] bool MayHaveRun() const;
    void AbandonReceiver();
  };

  void Forward(std::uint64_t aToken, const InstanceId& aLeader, Time aNow);
  // True when the caller is better served by another attempt later. aLeader is
  // empty when there is none.
  [[nodiscard]] bool MustGiveUp(const OpenCall& aCall,
                                const InstanceId& aLeader,
                                Time aNow) const;
  void OnLocalReply(std::uint64_t aToken, RoutedReply aReply);
  void OnRoutedReply(std::uint64_t aToken, RoutedReply aReply);
  void GiveUp(std::uint64_t aToken, const LeaderAbsence& aAbsence, Time aNow);

  InstanceId self;
  Callbacks callbacks;
  TokenSequence tokens;
  std::map<std::uint64_t, OpenCall> calls; // by token of the last attempt
  bool closed = false;                     // since GiveUpAll
  std::uint64_t refusedCalls = 0;
  std::uint64_t heldCalls = 0;
};

} // namespace hyssoppaddle::node

#endif
