// System status, explanations of decisions, and changes of the replica set.
#include "api/ControlApi.h"
#include "api/Names.h"
#include "api/ObjectReader.h"
#include "api/Reply.h"
#include "base/WallTimeText.h"
#include "core/Reducer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <map>
#include <utility>

namespace hyssoppaddle::api {

namespace {

std::string_view
NameOf(agreement::Role aRole)
{
  switch (aRole) {
    case agreement::Role::Follower:
      return "follower";
    case agreement::Role::PreCandidate:
      return "pre_candidate";
    case agreement::Role::Candidate:
      return "candidate";
    case agreement::Role::Leader:
      return "leader";
  }
  return "unknown";
}

nlohmann::json
PoolsJson(const state::FleetState& aState)
{
  nlohmann::json pools = nlohmann::json::array();
  for (const state::PoolSpec& pool : aState.ActiveBundle().pools) {
    std::map<std::string, int> phases;
    for (const InstanceId& instance : aState.InstancesOf(pool.name)) {
      const auto record = aState.Instances().find(instance);
      if (record != aState.Instances().end()) {
        ++phases[std::string(api::NameOf(record->second.phase))];
      }
    }
    pools.push_back({ { "pool", pool.name.value },
                      { "spare", pool.spare },
                      { "min_available", pool.minAvailable },
                      { "available", aState.AvailableIn(pool.name) },
                      { "waiting_jobs", aState.WaitingJobs(pool.name).size() },
                      { "phases", phases } });
  }
  return pools;
}

nlohmann::json
TeamsJson(const state::FleetState& aState)
{
  nlohmann::json teams = nlohmann::json::array();
  for (const state::TeamSpec& team : aState.ActiveBundle().teams) {
    teams.push_back(
      { { "team", team.name.value },
        { "share", team.share },
        { "limit", team.limit },
        { "committed_slots", aState.CommittedSlots(team.name) } });
  }
  return teams;
}

nlohmann::json
WavesJson(const state::FleetState& aState)
{
  nlohmann::json waves = nlohmann::json::array();
  for (const auto& [wave, record] : aState.Waves()) {
    waves.push_back({ { "wave", wave.value },
                      { "state", api::NameOf(record.state) },
                      { "reason", record.reason },
                      { "forecast_end", FormatWallTime(record.forecastEnd) } });
  }
  return waves;
}

nlohmann::json
EntriesJson(const std::vector<core::EntryStatus>& aEntries)
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  nlohmann::json list = nlohmann::json::array();
  for (const core::EntryStatus& entry : aEntries) {
    nlohmann::json json{ { "entry", entry.entry.value },
                         { "voter", entry.voter },
                         { "applied_index", entry.appliedIndex },
                         { "bundle_version", entry.bundleVersion } };
    if (entry.timeSinceContact) {
      json["heard_ms_ago"] =
        duration_cast<milliseconds>(*entry.timeSinceContact).count();
    }
    list.push_back(std::move(json));
  }
  return list;
}

// Value of one query parameter, without percent decoding: names in a fleet
// contain no characters that need it.
std::string
QueryValue(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    const std::size_t end = aQuery.find('&');
    const std::string_view pair = aQuery.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return std::string(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) {
      break;
    }
    aQuery.remove_prefix(end + 1);
  }
  return {};
}

void
Append(std::vector<std::string>& aTarget, std::vector<std::string> aLines)
{
  std::move(aLines.begin(), aLines.end(), std::back_inserter(aTarget));
}

} // namespace

void
ControlApi::ShowStatus(Exchange aExchange)
{
  this->Read(std::move(aExchange), &ControlApi::Status);
}

nlohmann::json
ControlApi::Status(const Exchange& /*aExchange*/) const
{
  const core::Reducer& core = this->port.Core();
  const state::FleetState& state = core.State();
  return { { "role", NameOf(core.Log().CurrentRole()) },
           { "term", core.Log().CurrentTerm() },
           { "leader", core.Log().Leader().value },
           { "commit_index", core.Log().CommitIndex() },
           { "applied_index", core.AppliedIndex() },
           { "ready", core.IsReady(this->port.Now()) },
           { "bundle_version", state.ActiveBundle().version },
           { "entries", EntriesJson(core.Entries(this->port.Now())) },
           { "pools", PoolsJson(state) },
           { "teams", TeamsJson(state) },
           { "upstreams", state.Upstreams().size() },
           { "jobs", state.Jobs().size() },
           { "waves", WavesJson(state) } };
}

void
ControlApi::Explain(Exchange aExchange)
{
  const ReplyCallback reply = std::move(aExchange.reply);
  const core::Reducer& core = this->port.Core();
  const std::string job = QueryValue(aExchange.query, "job");
  const std::string instance = QueryValue(aExchange.query, "instance");
  const std::string team = QueryValue(aExchange.query, "team");
  const std::string wave = QueryValue(aExchange.query, "wave");
  std::vector<std::string> lines;
  if (!job.empty()) {
    Append(lines, core.Plans().ExplainJob(JobId(job)));
  } else if (!instance.empty()) {
    Append(lines, core.Plans().ExplainInstance(InstanceId(instance)));
    Append(
      lines,
      core.Requests().ExplainUpstream(InstanceId(instance), this->port.Now()));
  } else if (!team.empty()) {
    Append(lines, core.Plans().ExplainTeam(TeamId(team)));
    Append(lines, core.Requests().ExplainTeam(TeamId(team), this->port.Now()));
  } else if (!wave.empty()) {
    Append(lines, core.Plans().ExplainWave());
  } else {
    reply(ProblemReply(
      422, "invalid", "expected ?job=, ?instance=, ?team= or ?wave=current"));
    return;
  }
  const bool isLeader = core.Log().CurrentRole() == agreement::Role::Leader;
  reply(JsonReply(200,
                  { { "explanation", lines },
                    { "leader", core.Log().Leader().value },
                    { "complete", isLeader } }));
}

void
ControlApi::ChangeReplicas(Exchange aExchange)
{
  Findings findings;
  const auto body =
    nlohmann::json::parse(aExchange.request.body, nullptr, false);
  ObjectReader reader(body, findings);
  const InstanceId instance(reader.Text("instance"));
  const std::string change = reader.Text("change");
  agreement::ChangeKind kind = agreement::ChangeKind::AddLearner;
  if (change == "promote") {
    kind = agreement::ChangeKind::PromoteToVoter;
  } else if (change == "remove") {
    kind = agreement::ChangeKind::Remove;
  } else if (change != "add") {
    reader.Report("change", "must be add, promote or remove");
  }
  reader.RejectUnknown();
  if (!findings.empty()) {
    aExchange.reply(FindingsReply(findings));
    return;
  }
  const std::string leader = this->port.Core().Log().Leader().value;
  this->port.SubmitConfiguration(
    kind,
    instance,
    [reply = std::move(aExchange.reply), leader, change, instance](
      const core::CommandDecided& aDecided) {
      if (!aDecided.decided && !aDecided.unknown) {
        reply(ProblemReply(409,
                           "conflict",
                           "not done; the leader is " + leader +
                             ", or another change is in progress"));
        return;
      }
      reply(
        CommandReply(aDecided,
                     200,
                     { { "instance", instance.value }, { "change", change } }));
    });
}

} // namespace hyssoppaddle::api
