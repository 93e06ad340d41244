// Jobs: submission, status, cancellation.
#include "api/ControlApi.h"
#include "api/Names.h"
#include "api/ObjectReader.h"
#include "api/Reply.h"
#include "api/ResourcesJson.h"
#include "base/WallTimeText.h"
#include "core/Reducer.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace hyssoppaddle::api {

namespace {

constexpr std::size_t kJobIdBytes = 12;
constexpr std::int64_t kMaxSlots = 1024;
constexpr std::int64_t kMaxRunTimeMs = 7LL * 24 * 3600 * 1000;
constexpr std::size_t kMaxCancellations = 10000;

state::SubmitJob
ReadJob(const nlohmann::json& aBody,
        const state::FleetState& aState,
        Findings& aFindings)
{
  ObjectReader reader(aBody, aFindings);
  state::SubmitJob job;
  job.job = JobId(reader.OptionalText("job"));
  job.service = ServiceId(reader.Text("service"));
  const state::ServiceSpec* service = aState.FindService(job.service);
  if (service != nullptr) {
    job.workClass = service->workClass;
  }
  const std::string workClass = reader.OptionalText("class");
  if (const auto parsed = ParseWorkClass(workClass)) {
    job.workClass = *parsed;
  } else if (!workClass.empty()) {
    reader.Report("class", "must be preview, print or archive");
  }
  job.size =
    ReadResources(reader.Nested("size"), aFindings, reader.PathOf("size"));
  job.slots =
    static_cast<std::uint32_t>(reader.OptionalNumber("slots", 1, kMaxSlots, 1));
  job.runTime = std::chrono::milliseconds(
    reader.OptionalNumber("run_time_ms", 0, kMaxRunTimeMs, 0));
  job.idempotent = reader.OptionalFlag("idempotent", false);
  job.payload = reader.OptionalText("payload");
  reader.RejectUnknown();
  return job;
}

nlohmann::json
TaskJson(const state::TaskRecord& aTask)
{
  return { { "instance", aTask.instance.value },
           { "epoch", aTask.epoch },
           { "state", NameOf(aTask.state) },
           { "placed_at", FormatWallTime(aTask.placedAt) },
           { "lease_end", FormatWallTime(aTask.leaseEnd) },
           { "charged", WriteResources(aTask.charged) },
           { "usage", WriteResources(aTask.usage) } };
}

nlohmann::json
JobJson(const JobId& aJob, const state::JobRecord& aRecord)
{
  nlohmann::json json{ { "job", aJob.value },
                       { "team", aRecord.team.value },
                       { "service", aRecord.service.value },
                       { "pool", aRecord.pool.value },
                       { "class", NameOf(aRecord.workClass) },
                       { "state", NameOf(aRecord.state) },
                       { "slots", aRecord.slots },
                       { "idempotent", aRecord.idempotent },
                       { "submitted_at", FormatWallTime(aRecord.submittedAt) },
                       { "reason", aRecord.reason } };
  if (aRecord.task) {
    json["task"] = TaskJson(*aRecord.task);
  }
  if (aRecord.endedAt) {
    json["ended_at"] = FormatWallTime(*aRecord.endedAt);
  }
  return json;
}

} // namespace

void
ControlApi::SubmitJob(Exchange aExchange)
{
  Findings findings;
  const auto body =
    nlohmann::json::parse(aExchange.request.body, nullptr, false);
  state::SubmitJob job = ReadJob(body, this->port.Core().State(), findings);
  if (!findings.empty()) {
    aExchange.reply(FindingsReply(findings));
    return;
  }
  job.team = TeamId(aExchange.principal.subject);
  const bool isNamed = !job.job.empty();
  if (!isNamed) {
    // A retry with the same Idempotency-Key must produce the same job ID.
    job.job = JobId(aExchange.requestId.empty()
                      ? this->port.RandomHex(kJobIdBytes)
                      : this->port.KeyDigestHex(aExchange.requestId));
  }
  if (aExchange.requestId.empty() && isNamed) {
    aExchange.requestId =
      aExchange.principal.key.value + "/job/" + job.job.value;
  }
  nlohmann::json success{ { "job", job.job.value } };
  this->Submit(std::move(aExchange), std::move(job), 202, std::move(success));
}

void
ControlApi::ShowJob(Exchange aExchange)
{
  const JobId job(aExchange.pathArguments.at(0));
  const core::Reducer& core = this->port.Core();
  const auto found = core.State().Jobs().find(job);
  const bool mayRead =
    found != core.State().Jobs().end() &&
    (aExchange.principal.role == state::KeyRole::Operator ||
     found->second.team.value == aExchange.principal.subject);
  if (!mayRead) {
    aExchange.reply(ProblemReply(404, "not_found", "no such job of this team"));
    return;
  }
  HttpReply reply = JsonReply(200, JobJson(job, found->second));
  // Answers from the local state, whose age is at most the key lease of 4 s.
  reply.headers.push_back(
    { "Hyssoppaddle-Applied-Index", std::to_string(core.AppliedIndex()) });
  aExchange.reply(std::move(reply));
}

void
ControlApi::CancelJob(Exchange aExchange)
{
  state::CancelJobs command;
  command.team = TeamId(aExchange.principal.subject);
  command.jobs.emplace_back(aExchange.pathArguments.at(0));
  nlohmann::json success{ { "job", aExchange.pathArguments.at(0) } };
  this->Submit(
    std::move(aExchange), std::move(command), 202, std::move(success));
}

void
ControlApi::CancelJobs(Exchange aExchange)
{
  const auto body =
    nlohmann::json::parse(aExchange.request.body, nullptr, false);
  const bool isList = body.is_object() && body.contains("jobs") &&
                      body["jobs"].is_array() &&
                      body["jobs"].size() <= kMaxCancellations;
  state::CancelJobs command;
  command.team = TeamId(aExchange.principal.subject);
  bool areTexts = isList;
  if (isList) {
    for (const nlohmann::json& job : body["jobs"]) {
      areTexts = areTexts && job.is_string();
      if (areTexts) {
        command.jobs.emplace_back(job.get<std::string>());
      }
    }
  }
  if (!areTexts) {
    aExchange.reply(
      ProblemReply(422,
                   "invalid",
                   R"(expected {"jobs": [...]} with at most 10000 job IDs)"));
    return;
  }
  nlohmann::json success{ { "jobs", command.jobs.size() } };
  this->Submit(
    std::move(aExchange), std::move(command), 202, std::move(success));
}

} // namespace hyssoppaddle::api
