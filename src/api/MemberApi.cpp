// Members: joining, approval, departure.
#include "api/ControlApi.h"
#include "api/ObjectReader.h"
#include "api/Reply.h"
#include "base/WallTimeText.h"
#include "core/Reducer.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace hyssoppaddle::api {

void
ControlApi::ProposeMember(Exchange aExchange)
{
  Findings findings;
  const auto body =
    nlohmann::json::parse(aExchange.request.body, nullptr, false);
  ObjectReader reader(body, findings);
  state::ProposeMember command{ MemberId(reader.Text("member")) };
  reader.RejectUnknown();
  if (!findings.empty()) {
    aExchange.reply(FindingsReply(findings));
    return;
  }
  nlohmann::json success{ { "member", command.member.value } };
  this->Submit(
    std::move(aExchange), std::move(command), 201, std::move(success));
}

void
ControlApi::ApproveMember(Exchange aExchange)
{
  state::ApproveMember command{ MemberId(aExchange.pathArguments.at(0)),
                                MemberId(aExchange.principal.subject) };
  nlohmann::json success{ { "member", command.member.value },
                          { "approver", command.approver.value } };
  this->Submit(
    std::move(aExchange), std::move(command), 200, std::move(success));
}

void
ControlApi::WithdrawApproval(Exchange aExchange)
{
  state::WithdrawApproval command{ MemberId(aExchange.pathArguments.at(0)),
                                   MemberId(aExchange.principal.subject) };
  nlohmann::json success{ { "member", command.member.value },
                          { "approver", command.approver.value } };
  this->Submit(
    std::move(aExchange), std::move(command), 200, std::move(success));
}

void
ControlApi::LeaveMember(Exchange aExchange)
{
  if (aExchange.pathArguments.at(0) != aExchange.principal.subject) {
    aExchange.reply(
      ProblemReply(403, "forbidden", "only a member itself can leave"));
    return;
  }
  state::LeaveMember command{ MemberId(aExchange.principal.subject) };
  nlohmann::json success{ { "member", command.member.value } };
  this->Submit(
    std::move(aExchange), std::move(command), 200, std::move(success));
}

void
ControlApi::ListMembers(Exchange aExchange)
{
  this->Read(std::move(aExchange), &ControlApi::MemberList);
}

nlohmann::json
ControlApi::MemberList(const Exchange& /*aExchange*/) const
{
  const state::FleetState& state = this->port.Core().State();
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [member, record] : state.Members()) {
    members.push_back({ { "member", member.value },
                        { "accepted_at", FormatWallTime(record.acceptedAt) } });
  }
  nlohmann::json joins = nlohmann::json::array();
  for (const auto& [member, join] : state.Joins()) {
    nlohmann::json awaiting = nlohmann::json::array();
    for (const auto& [existing, record] : state.Members()) {
      if (!join.approvals.contains(existing)) {
        awaiting.push_back(existing.value);
      }
    }
    joins.push_back({ { "member", member.value },
                      { "proposed_at", FormatWallTime(join.proposedAt) },
                      { "awaiting_members", awaiting } });
  }
  return { { "members", members }, { "joins", joins } };
}

} // namespace hyssoppaddle::api
