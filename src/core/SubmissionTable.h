// Submitted commands without an answer: parked until a leader is known, sent to
// the leader, or held until the local log is applied up to their entry. Each
// submission is in exactly one of these states and ends exactly once.
#ifndef hyssoppaddle_core_SubmissionTable_h
#define hyssoppaddle_core_SubmissionTable_h

#include "agreement/LogEntry.h"
#include "base/TokenSequence.h"
#include "core/Submission.h"
#include "state/Outcome.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hyssoppaddle::core {

struct DecidedSubmission
{
  Submission submission;
  state::Outcome outcome;
};

class SubmissionTable
{
public:
  // aSeed must differ from that of every earlier process of this instance,
  // whose replies may still arrive.
  explicit SubmissionTable(std::uint64_t aSeed);

  // Queues a submission until a leader is known.
  void Park(Submission aSubmission);
  // Removes and returns all parked submissions, oldest first.
  std::deque<Submission> TakeParked();

  // Records a submission that was proposed here or forwarded to aLeader. The
  // token is never reused in this process, nor by a later one.
  std::uint64_t Add(Submission aSubmission, const InstanceId& aLeader);
  // Removes and returns the submission with this token, if it has not ended.
  std::optional<Submission> Take(std::uint64_t aToken);
  // Removes and returns all submissions that were forwarded to aPeer; called
  // when the connection to it has ended.
  std::vector<Submission> TakeForwardedTo(const InstanceId& aPeer);

  // For local proposals: match the committed index with the applied outcome.
  // The two may be recorded in either order.
  void RecordCommitted(std::uint64_t aToken, agreement::LogIndex aIndex);
  void RecordApplied(agreement::LogIndex aIndex,
                     const state::Outcome& aOutcome);
  // Discards indexes and outcomes that have not been matched; called when this
  // instance stops being leader.
  void ClearUnmatched();
  std::vector<DecidedSubmission> TakeDecided();

  // Holds a decided forwarded submission until aIndex is applied here. This
  // gives read-your-writes consistency to a caller that reads after its answer.
  void HoldUntilApplied(agreement::LogIndex aIndex, DecidedSubmission aDecided);
  std::vector<DecidedSubmission> TakeAppliedUpTo(agreement::LogIndex aIndex);

  // Removes and returns the submissions whose deadline has passed. Held ones do
  // not expire, because their outcome is known.
  std::vector<Submission> TakeExpired(Time aNow);

private:
  struct Sent
  {
    Submission submission;
    InstanceId leader;
  };

  std::deque<Submission> parked;
  std::map<std::uint64_t, Sent> sent;
  // The tokens of `sent`, ordered by deadline.
  std::set<std::pair<Time, std::uint64_t>> deadlines;
  std::map<agreement::LogIndex, std::uint64_t> committed;
  std::map<agreement::LogIndex, state::Outcome> applied;
  std::vector<DecidedSubmission> decided;
  std::multimap<agreement::LogIndex, DecidedSubmission> held;
  TokenSequence tokens;

  void MatchOutcome(agreement::LogIndex aIndex);
};

} // namespace hyssoppaddle::core

#endif
