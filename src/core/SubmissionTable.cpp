// Tracks commands from their submission to their outcome.
#include "core/SubmissionTable.h"

#include <iterator>

namespace hyssoppaddle::core {

SubmissionTable::SubmissionTable(std::uint64_t aSeed)
  : tokens(aSeed)
{
}

void
SubmissionTable::Park(Submission aSubmission)
{
  this->parked.push_back(std::move(aSubmission));
}

std::deque<Submission>
SubmissionTable::TakeParked()
{
  return std::exchange(this->parked, {});
}

std::uint64_t
SubmissionTable::Add(Submission aSubmission, const InstanceId& aLeader)
{
  const std::uint64_t token = this->tokens.Next();
  this->deadlines.emplace(aSubmission.deadline, token);
  this->sent.emplace(token, Sent{ std::move(aSubmission), aLeader });
  return token;
}

std::optional<Submission>
SubmissionTable::Take(std::uint64_t aToken)
{
  const auto found = this->sent.find(aToken);
  if (found == this->sent.end()) {
    return std::nullopt;
  }
  Submission submission = std::move(found->second.submission);
  this->deadlines.erase({ submission.deadline, aToken });
  this->sent.erase(found);
  return submission;
}

std::vector<Submission>
SubmissionTable::TakeForwardedTo(const InstanceId& aPeer)
{
  std::vector<std::uint64_t> forwarded;
  for (const auto& [token, entry] : this->sent) {
    if (entry.leader == aPeer) {
      forwarded.push_back(token);
    }
  }
  std::vector<Submission> taken;
  taken.reserve(forwarded.size());
  for (const std::uint64_t token : forwarded) {
    taken.push_back(*this->Take(token));
  }
  return taken;
}

void
SubmissionTable::RecordCommitted(std::uint64_t aToken,
                                 agreement::LogIndex aIndex)
{
  this->committed[aIndex] = aToken;
  this->MatchOutcome(aIndex);
}

void
SubmissionTable::RecordApplied(agreement::LogIndex aIndex,
                               const state::Outcome& aOutcome)
{
  this->applied[aIndex] = aOutcome;
  this->MatchOutcome(aIndex);
}

void
SubmissionTable::ClearUnmatched()
{
  this->applied.clear();
  this->committed.clear();
}

std::vector<DecidedSubmission>
SubmissionTable::TakeDecided()
{
  return std::exchange(this->decided, {});
}

void
SubmissionTable::HoldUntilApplied(agreement::LogIndex aIndex,
                                  DecidedSubmission aDecided)
{
  this->held.emplace(aIndex, std::move(aDecided));
}

std::vector<DecidedSubmission>
SubmissionTable::TakeAppliedUpTo(agreement::LogIndex aIndex)
{
  const auto end = this->held.upper_bound(aIndex);
  std::vector<DecidedSubmission> taken;
  for (auto entry = this->held.begin(); entry != end; ++entry) {
    taken.push_back(std::move(entry->second));
  }
  this->held.erase(this->held.begin(), end);
  return taken;
}

std::vector<Submission>
SubmissionTable::TakeExpired(Time aNow)
{
  std::vector<Submission> expired;
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= aNow) {
    expired.push_back(*this->Take(this->deadlines.begin()->second));
    expired.back().mayBeLogged = true;
  }
  std::deque<Submission> stillParked;
  for (Submission& submission : this->parked) {
    if (submission.deadline <= aNow) {
      expired.push_back(std::move(submission));
    } else {
      stillParked.push_back(std::move(submission));
    }
  }
  this->parked = std::move(stillParked);
  return expired;
}

void
SubmissionTable::MatchOutcome(agreement::LogIndex aIndex)
{
  const auto token = this->committed.find(aIndex);
  const auto outcome = this->applied.find(aIndex);
  if (token == this->committed.end() || outcome == this->applied.end()) {
    return;
  }
  if (std::optional<Submission> submission = this->Take(token->second)) {
    this->decided.push_back(
      { std::move(*submission), std::move(outcome->second) });
  }
  // Entries commit in log order, so older unmatched outcomes do not belong to a
  // proposal of this instance.
  this->committed.erase(token);
  this->applied.erase(this->applied.begin(), std::next(outcome));
}

} // namespace hyssoppaddle::core
