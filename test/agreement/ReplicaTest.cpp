// Single-step tests of one replica: messages that must not be sent before the
// state they depend on is durable, and requests that must be refused.
#include "agreement/ConfigurationCodec.h"
#include "agreement/Raft.h"
#include "support/TestTrace.h"

using namespace hyssoppaddle;
using namespace hyssoppaddle::agreement;
using hyssoppaddle::test::TestTrace;

namespace {

const InstanceId kSelf("n0");
const InstanceId kFirst("n1");
const InstanceId kSecond("n2");

Raft
Replica(RecoveredLog aRecovered = {})
{
  return Raft(kSelf,
              Configuration{ { kSelf, kFirst, kSecond }, {} },
              std::move(aRecovered),
              1,
              Time());
}

template<typename T>
const T*
Sent(const Effects& aEffects)
{
  for (const Effect& effect : aEffects) {
    const auto* send = std::get_if<SendMessage>(&effect);
    if (send != nullptr && std::holds_alternative<T>(send->message)) {
      return &std::get<T>(send->message);
    }
  }
  return nullptr;
}

Effects
Receive(Raft& aRaft, const InstanceId& aFrom, Message aMessage)
{
  return aRaft.Step(MessageReceived{ aFrom, std::move(aMessage) }, Time());
}

} // namespace

// Guards against a vote that is lost in a crash, after which the replica could
// vote twice in one term.
Test(RaftReplica, VoteIsSentOnlyWhenDurable)
{
  TestTrace trace;
  Raft raft = Replica();
  const Effects asked =
    Receive(raft, kFirst, VoteRequest{ 1, false, 0, 0, false });
  EXPECT_THAT(trace, Sent<VoteReply>(asked) == nullptr);
  const Effects durable = raft.Step(Persisted{ 1 }, Time());
  EXPECT_THAT(trace, Sent<VoteReply>(durable) != nullptr);
  EXPECT_EQUAL(trace, Sent<VoteReply>(durable)->granted, true);
  trace.Section("another candidate of the same term asks", [&] {
    const Effects other =
      Receive(raft, kSecond, VoteRequest{ 1, false, 9, 1, false });
    EXPECT_THAT(trace, Sent<VoteReply>(other) != nullptr);
    EXPECT_EQUAL(trace, Sent<VoteReply>(other)->granted, false);
  });
}

// Guards against a leader elected with its own vote, if a crash can still lose
// that vote.
Test(RaftReplica, OwnVoteCountsOnlyWhenDurable)
{
  TestTrace trace;
  Raft raft = Replica();
  raft.Step(Tick{}, raft.NextTick());
  const Effects candidate = Receive(raft, kFirst, VoteReply{ 1, true, true });
  EXPECT_EQUAL(trace, raft.CurrentRole(), Role::Candidate);
  EXPECT_THAT(trace, Sent<VoteRequest>(candidate) == nullptr);
  Receive(raft, kFirst, VoteReply{ 1, false, true });
  EXPECT_EQUAL(trace, raft.CurrentRole(), Role::Candidate);
  raft.Step(Persisted{ 1 }, Time());
  EXPECT_EQUAL(trace, raft.CurrentRole(), Role::Leader);
}

// Guards against the election of a leader that lacks committed entries, and
// against a vote by a replica that lost its storage.
Test(RaftReplica, VoteIsRefused)
{
  TestTrace trace;
  RecoveredLog log;
  log.hardState.term = 2;
  log.entries = { { 1, 1, EntryKind::Empty, "" },
                  { 2, 2, EntryKind::Empty, "" } };
  const auto isGranted = [&](RecoveredLog aLog, LogIndex aIndex, Term aTerm) {
    Raft raft = Replica(std::move(aLog));
    Effects effects =
      Receive(raft, kFirst, VoteRequest{ 3, false, aIndex, aTerm, false });
    if (Sent<VoteReply>(effects) == nullptr) {
      effects = raft.Step(Persisted{ 1 }, Time());
    }
    return Sent<VoteReply>(effects)->granted;
  };
  trace.Section("to a shorter log",
                [&] { EXPECT_EQUAL(trace, isGranted(log, 1, 2), false); });
  trace.Section("to a longer log of an earlier term",
                [&] { EXPECT_EQUAL(trace, isGranted(log, 9, 1), false); });
  trace.Section("not to an equal log",
                [&] { EXPECT_EQUAL(trace, isGranted(log, 2, 2), true); });
  trace.Section("after the storage was lost", [&] {
    log.voteStateIntact = false;
    EXPECT_EQUAL(trace, isGranted(log, 2, 2), false);
  });
}

// Guards against a replica that keeps a truncated, uncommitted configuration,
// and against one that truncates an entry it knows to be committed.
Test(RaftReplica, TruncationRestoresTheConfiguration)
{
  TestTrace trace;
  Raft raft = Replica();
  const std::string other =
    PackConfiguration(Configuration{ { kFirst, kSecond }, {} });
  AppendRequest append;
  append.term = 1;
  append.entries = { { 1, 1, EntryKind::Empty, "" },
                     { 2, 1, EntryKind::Configuration, other } };
  append.commitIndex = 1;
  Receive(raft, kFirst, append);
  EXPECT_EQUAL(trace, raft.ActiveConfiguration().voters.size(), 2U);
  trace.Section("another leader replaces the entry", [&] {
    append.term = 2;
    append.previousIndex = 1;
    append.previousTerm = 1;
    append.entries = { { 2, 2, EntryKind::Empty, "" } };
    Receive(raft, kSecond, append);
    EXPECT_EQUAL(trace, raft.ActiveConfiguration().voters.size(), 3U);
  });
  trace.Section("an append conflicts with a committed entry", [&] {
    append.term = 3;
    append.previousIndex = 0;
    append.previousTerm = 0;
    append.entries = { { 1, 3, EntryKind::Empty, "" } };
    const Effects refused = Receive(raft, kFirst, append);
    EXPECT_EQUAL(trace, raft.LastIndex(), 2U);
    EXPECT_EQUAL(trace, raft.CommitIndex(), 1U);
  });
}

// Guards against committing an entry of an earlier term by counting copies, as
// it could still be replaced, and against a configuration change before an
// entry of the leader's own term is committed.
Test(RaftReplica, EarlierTermsCommitOnlyWithCurrentTerm)
{
  TestTrace trace;
  RecoveredLog log;
  log.hardState.term = 1;
  // The configuration is committed, so that the change is refused only because
  // no entry of the leader's own term is committed.
  log.snapshotMeta = { 1, 1, { { kSelf, kFirst, kSecond }, {} } };
  log.entries = { { 2, 1, EntryKind::Empty, "" } };
  Raft raft = Replica(log);
  raft.Step(Tick{}, raft.NextTick());
  Receive(raft, kFirst, VoteReply{ 2, true, true });
  raft.Step(Persisted{ 1 }, Time());
  Receive(raft, kFirst, VoteReply{ 2, false, true });
  EXPECT_EQUAL(trace, raft.CurrentRole(), Role::Leader);
  trace.Section("a majority has the entry of term 1 only", [&] {
    Receive(raft, kFirst, AppendReply{ 2, true, 2, 0, 0, 0 });
    EXPECT_EQUAL(trace, raft.CommitIndex(), 1U);
    const Effects refused =
      raft.Step(ChangeConfiguration{ 1, ChangeKind::Remove, kSecond }, Time());
    EXPECT_EQUAL(trace, raft.LastIndex(), 3U);
  });
  trace.Section("a replica that lost its storage has both", [&] {
    AppendReply reply{ 2, true, 3, 0, 0, 0 };
    reply.recovery = 77;
    raft.Step(Persisted{ 2 }, Time());
    Receive(raft, kSecond, reply);
    EXPECT_EQUAL(trace, raft.CommitIndex(), 1U);
  });
  trace.Section("a majority has the entry of term 2", [&] {
    Receive(raft, kFirst, AppendReply{ 2, true, 3, 0, 0, 0 });
    EXPECT_EQUAL(trace, raft.CommitIndex(), 3U);
  });
}
