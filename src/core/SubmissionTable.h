// Commands that wait for a leader, for an answer of the leader, or for the
// local log to be applied up to their entry. Each submission is in exactly one
// of the three places and ends once.
#ifndef hyssoppaddle_core_SubmissionTable_h
#define hyssoppaddle_core_SubmissionTable_h

#include "agreement/LogEntry.h"
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
  // Parks a submission until a leader is known.
  void Park(Submission aSubmission);
  // Takes all parked submissions, oldest first.
  std::deque<Submission> TakeParked();

  // Records a submission that was proposed here or forwarded to aLeader. The
  // token is never reused in this process.
  std::uint64_t Add(Submission aSubmission, const InstanceId& aLeader);
  // Takes the submission of a token; nothing when it has ended already.
  std::optional<Submission> Take(std::uint64_t aToken);
  // Takes all submissions forwarded to a peer whose connection ended.
  std::vector<Submission> TakeForwardedTo(const InstanceId& aPeer);

  // Local proposals: pairs the committed index with the applied outcome,
  // whichever comes first.
  void Committed(std::uint64_t aToken, agreement::LogIndex aIndex);
  void Applied(agreement::LogIndex aIndex, const state::Outcome& aOutcome);
  // Forgets outcomes that no proposal claimed; called when leadership ends.
  void ClearUnclaimed();
  std::vector<DecidedSubmission> TakeDecided();

  // Holds a decided forwarded submission until aIndex is applied here, so that
  // a caller that reads after its answer sees its own write.
  void HoldUntilApplied(agreement::LogIndex aIndex, DecidedSubmission aDecided);
  std::vector<DecidedSubmission> TakeAppliedUpTo(agreement::LogIndex aIndex);

  // Takes the submissions whose deadline has passed. Held ones are not among
  // them: their outcome is known.
  std::vector<Submission> TakeExpired(Time aNow);

private:
  struct Sent
  {
    Submission submission;
    InstanceId leader;
  };

  std::deque<Submission> parked;
  std::map<std::uint64_t, Sent> sent;
  // Same tokens as `sent`, ordered by deadline.
  std::set<std::pair<Time, std::uint64_t>> deadlines;
  std::map<agreement::LogIndex, std::uint64_t> committed;
  std::map<agreement::LogIndex, state::Outcome> applied;
  std::vector<DecidedSubmission> decided;
  std::multimap<agreement::LogIndex, DecidedSubmission> held;
  std::uint64_t nextToken = 1;

  void Match(agreement::LogIndex aIndex);
};

} // namespace hyssoppaddle::core

#endif
