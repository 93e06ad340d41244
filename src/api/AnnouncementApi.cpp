// Handles announcements of upstreams, which include reports about their tasks.
#include "api/ControlApi.h"
#include "api/InstructionJson.h"
#include "api/Names.h"
#include "api/ObjectReader.h"
#include "api/Reply.h"
#include "api/ResourcesJson.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>
#include <vector>

namespace hyssoppaddle::api {

namespace {

constexpr std::int64_t kMaxNumber = std::int64_t{ 1 } << 53U;
constexpr std::int64_t kMaxSlots = 100'000;

state::Announcement
ReadAnnouncement(ObjectReader& aReader, Findings& aFindings)
{
  state::Announcement announcement;
  announcement.instance = InstanceId(aReader.Text("instance"));
  announcement.bootedAtMs = aReader.Number("booted_at_ms", 0, kMaxNumber);
  announcement.boot = aReader.Text("boot");
  announcement.sequence =
    static_cast<std::uint64_t>(aReader.Number("sequence", 0, kMaxNumber));
  announcement.service = ServiceId(aReader.Text("service"));
  announcement.pool = PoolId(aReader.Text("pool"));
  announcement.dataCentre = DataCentreId(aReader.Text("data_centre"));
  announcement.rack = RackId(aReader.Text("rack"));
  announcement.address = aReader.Text("address");
  announcement.slots =
    static_cast<std::uint32_t>(aReader.Number("slots", 0, kMaxSlots));
  announcement.connections =
    static_cast<std::uint32_t>(aReader.Number("connections", 1, kMaxSlots));
  announcement.capacity = ReadResources(
    aReader.Nested("capacity"), aFindings, aReader.PathOf("capacity"));
  const std::string state = aReader.OptionalText("state");
  if (state == "departing") {
    announcement.state = state::UpstreamState::Departing;
  } else if (!state.empty() && state != "serving") {
    aReader.Report("state", "must be serving or departing");
  }
  return announcement;
}

state::TaskReport
ReadReport(const nlohmann::json& aValue,
           Findings& aFindings,
           const std::string& aPath)
{
  ObjectReader reader(aValue, aFindings, aPath);
  state::TaskReport report;
  report.job = JobId(reader.Text("job"));
  report.epoch =
    static_cast<std::uint64_t>(reader.Number("epoch", 1, kMaxNumber));
  if (const auto parsed = ParseTaskState(reader.Text("state"))) {
    report.state = *parsed;
  } else {
    reader.Report("state",
                  "must be running, throttled, checkpointed, done, failed, "
                  "stopped or not_run");
  }
  report.usage =
    ReadResources(reader.Nested("usage"), aFindings, reader.PathOf("usage"));
  report.detail = reader.OptionalText("detail");
  reader.RejectUnknown();
  return report;
}

std::vector<state::TaskReport>
ReadReports(const nlohmann::json& aList,
            Findings& aFindings,
            const std::string& aPath)
{
  std::vector<state::TaskReport> reports;
  if (aList.is_null()) {
    return reports;
  }
  if (!aList.is_array()) {
    aFindings.push_back({ aPath, 0, 0, "must be a list" });
    return reports;
  }
  for (std::size_t index = 0; index < aList.size(); ++index) {
    reports.push_back(
      ReadReport(aList[index], aFindings, aPath + "/" + std::to_string(index)));
  }
  return reports;
}

HttpReply
AnnouncementReply(const core::AnswerAnnouncement& aAnswer)
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  nlohmann::json instructions = nlohmann::json::array();
  for (const planner::Instruction& instruction : aAnswer.instructions) {
    instructions.push_back(WriteInstruction(instruction));
  }
  nlohmann::json body{
    { "accepted", aAnswer.accepted },
    { "interval_ms", duration_cast<milliseconds>(aAnswer.interval).count() },
    { "instructions", instructions }
  };
  if (!aAnswer.accepted) {
    body["stored_booted_at_ms"] = aAnswer.storedBootedAtMs;
    body["stored_sequence"] = aAnswer.storedSequence;
  }
  return JsonReply(aAnswer.accepted ? 200 : 409, body);
}

} // namespace

void
ControlApi::Announce(Exchange aExchange)
{
  Findings findings;
  const auto body =
    nlohmann::json::parse(aExchange.request.body, nullptr, false);
  ObjectReader reader(body, findings);
  state::Announcement announcement = ReadAnnouncement(reader, findings);
  std::vector<state::TaskReport> reports =
    ReadReports(reader.Nested("tasks"), findings, reader.PathOf("tasks"));
  reader.RejectUnknown();
  if (!findings.empty()) {
    aExchange.reply(FindingsReply(findings));
    return;
  }
  this->port.Announce(std::move(announcement),
                      std::move(reports),
                      [reply = std::move(aExchange.reply)](
                        const core::AnswerAnnouncement& aAnswer) {
                        reply(AnnouncementReply(aAnswer));
                      });
}

} // namespace hyssoppaddle::api
