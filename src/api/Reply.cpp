// Builds the replies of the JSON API.
#include "api/Reply.h"

#include <nlohmann/json.hpp>

#include <string>

namespace hyssoppaddle::api {

namespace {

std::string
Dump(const nlohmann::json& aBody)
{
  return aBody.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

std::uint32_t
StatusOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::NotFound:
      return 404;
    case ErrorCode::Conflict:
      return 409;
    case ErrorCode::Unauthorized:
      return 401;
    case ErrorCode::Forbidden:
      return 403;
    case ErrorCode::TooLarge:
      return 413;
    case ErrorCode::Unavailable:
    case ErrorCode::OutOfResources:
      return 503;
    case ErrorCode::InvalidArgument:
    case ErrorCode::Malformed:
      return 422;
    case ErrorCode::IoFailure:
    case ErrorCode::Corrupt:
      return 500;
  }
  return 500;
}

HttpReply
Problem(std::uint32_t aStatus, nlohmann::json aBody)
{
  aBody["type"] = "about:blank";
  aBody["status"] = aStatus;
  HttpReply reply;
  reply.status = aStatus;
  reply.contentType = "application/problem+json";
  reply.body = Dump(aBody);
  if (aStatus == 503) {
    reply.headers.push_back({ "Retry-After", "1" });
  }
  return reply;
}

} // namespace

HttpReply
JsonReply(std::uint32_t aStatus, const nlohmann::json& aBody)
{
  HttpReply reply;
  reply.status = aStatus;
  reply.body = Dump(aBody);
  return reply;
}

HttpReply
ProblemReply(std::uint32_t aStatus,
             std::string_view aCode,
             std::string_view aDetail)
{
  return Problem(
    aStatus, { { "code", aCode }, { "detail", aDetail }, { "not_run", true } });
}

HttpReply
FindingsReply(const Findings& aFindings)
{
  nlohmann::json list = nlohmann::json::array();
  for (const Finding& finding : aFindings) {
    list.push_back({ { "path", finding.path },
                     { "line", finding.line },
                     { "column", finding.column },
                     { "message", finding.message } });
  }
  return Problem(
    422,
    { { "code", "invalid" },
      { "detail", std::to_string(aFindings.size()) + " finding(s)" },
      { "not_run", true },
      { "findings", list } });
}

HttpReply
CommandReply(const core::CommandDecided& aDecided,
             std::uint32_t aStatus,
             nlohmann::json aSuccess)
{
  if (!aDecided.decided && aDecided.unknown) {
    return Problem(503,
                   { { "code", "outcome_unknown" },
                     { "detail",
                       "no answer from the log in time; resend with the same "
                       "Idempotency-Key to learn the outcome" },
                     { "not_run", false } });
  }
  if (!aDecided.decided) {
    return ProblemReply(
      503, "no_leader", "no leader of the log could be reached");
  }
  if (!aDecided.outcome.Ok()) {
    const Error& error = *aDecided.outcome.error;
    return ProblemReply(
      StatusOf(error.code), ToString(error.code), error.message);
  }
  aSuccess["detail"] = aDecided.outcome.detail;
  aSuccess["repeated"] = aDecided.outcome.repeated;
  return JsonReply(aStatus, aSuccess);
}

} // namespace hyssoppaddle::api
