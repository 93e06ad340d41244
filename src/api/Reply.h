// Replies of the JSON API: JSON documents and problem details (RFC 9457).
#ifndef hyssoppaddle_api_Reply_h
#define hyssoppaddle_api_Reply_h

#include "api/ControlHandler.h"
#include "base/Finding.h"
#include "base/Result.h"
#include "core/Events.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string_view>

namespace hyssoppaddle::api {

HttpReply
JsonReply(std::uint32_t aStatus, const nlohmann::json& aBody);

// aCode is stable and documented in docs/api.md. The body has not_run set to
// true, because the API records nothing of a refused request.
HttpReply
ProblemReply(std::uint32_t aStatus,
             std::string_view aCode,
             std::string_view aDetail);

// 422 with all findings and their places.
HttpReply
FindingsReply(const Findings& aFindings);

// Status and body for a decided command. On success the body is aSuccess
// extended with "detail" and "repeated".
HttpReply
CommandReply(const core::CommandDecided& aDecided,
             std::uint32_t aStatus,
             nlohmann::json aSuccess);

} // namespace hyssoppaddle::api

#endif
