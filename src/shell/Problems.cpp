// Table of the refusals, and their JSON form.
#include "shell/Problems.h"

#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace hyssoppaddle::shell {

namespace {

struct ProblemRow
{
  request::Problem problem;
  std::uint32_t status;
  std::string_view code;
};

using request::Problem;

constexpr std::array kProblems{
  ProblemRow{ Problem::UnknownKey, 401, "unknown_key" },
  ProblemRow{ Problem::WrongTeam, 403, "wrong_team" },
  ProblemRow{ Problem::UnknownService, 404, "unknown_service" },
  ProblemRow{ Problem::KeyReused, 409, "key_reused" },
  ProblemRow{ Problem::AlreadyRunning, 409, "already_running" },
  ProblemRow{ Problem::AlreadyDone, 409, "already_done" },
  ProblemRow{ Problem::ClaimExpired, 409, "claim_expired" },
  ProblemRow{ Problem::QueueFull, 429, "queue_full" },
  ProblemRow{ Problem::OverLimit, 429, "over_limit" },
  ProblemRow{ Problem::StaleView, 503, "stale_view" },
  ProblemRow{ Problem::NoUpstream, 503, "no_upstream" },
  ProblemRow{ Problem::NoQuorum, 503, "no_quorum" },
  ProblemRow{ Problem::DeadlineUnreachable, 503, "deadline_unreachable" },
  ProblemRow{ Problem::Stopping, 503, "stopping" },
  ProblemRow{ Problem::DeadlinePassed, 504, "deadline_passed" },
  ProblemRow{ Problem::UpstreamFailed, 502, "upstream_failed" },
  ProblemRow{ Problem::OutcomeUnknown, 502, "outcome_unknown" },
};

const ProblemRow&
RowOf(Problem aProblem)
{
  const auto* row = std::find_if(
    kProblems.begin(), kProblems.end(), [&](const ProblemRow& aRow) {
      return aRow.problem == aProblem;
    });
  return row == kProblems.end() ? kProblems.back() : *row;
}

std::string
TitleOf(std::uint32_t aStatus)
{
  const auto text = boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(aStatus));
  return { text.data(), text.size() };
}

std::string
RetryAfterSeconds(Duration aDelay)
{
  using std::chrono::ceil;
  using std::chrono::seconds;
  return std::to_string(std::max<long>(1, ceil<seconds>(aDelay).count()));
}

} // namespace

std::string_view
CodeOf(request::Problem aProblem)
{
  return RowOf(aProblem).code;
}

ProblemDetail
DescribeRefusal(const request::Refuse& aRefuse)
{
  const ProblemRow& row = RowOf(aRefuse.problem);
  return {
    row.status, row.code, aRefuse.notRun, aRefuse.detail, aRefuse.retryAfter
  };
}

api::HttpReply
ProblemReply(const ProblemDetail& aProblem)
{
  nlohmann::ordered_json body;
  body["type"] = "about:blank";
  body["title"] = TitleOf(aProblem.status);
  body["status"] = aProblem.status;
  body["code"] = aProblem.code;
  body["not_run"] = aProblem.notRun;
  if (!aProblem.detail.empty()) {
    body["detail"] = aProblem.detail;
  }
  api::HttpReply reply;
  reply.status = aProblem.status;
  reply.contentType = "application/problem+json";
  using ErrorHandler = nlohmann::ordered_json::error_handler_t;
  reply.body = body.dump(-1, ' ', false, ErrorHandler::replace);
  if (aProblem.retryAfter) {
    reply.headers.push_back(
      { "Retry-After", RetryAfterSeconds(*aProblem.retryAfter) });
  }
  return reply;
}

} // namespace hyssoppaddle::shell
