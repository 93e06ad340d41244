// The JSON API for operators, members, submitters and upstreams. It
// authenticates requests, routes them to handlers, and turns them into commands
// for the replicated log.
#ifndef hyssoppaddle_api_ControlApi_h
#define hyssoppaddle_api_ControlApi_h

#include "api/ControlHandler.h"
#include "api/Credentials.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppaddle::api {

// One request with the results of routing and authentication.
struct Exchange
{
  HttpRequest request;
  ReplyCallback reply;
  Principal principal;
  std::vector<std::string>
    pathArguments;   // values of the {} segments of the route
  std::string query; // without the question mark
  // Identifies retries of one request: key ID and Idempotency-Key. Empty
  // without that header.
  std::string requestId;
};

class ControlApi final : public ControlHandler
{
public:
  // aPort must outlive this object.
  ControlApi(CorePort& aPort, std::string_view aBootstrapToken);

  void Handle(HttpRequest aRequest, ReplyCallback aReply) override;

private:
  using Method = void (ControlApi::*)(Exchange);

  struct Route
  {
    std::string_view method;
    std::string_view pattern; // "{}" matches one segment
    std::uint32_t roles;      // bit per KeyRole
    bool servedToCallers;     // also on the callers' listener
    Method handler;
  };

  static const std::vector<Route>& Routes();

  CorePort& port;
  Credentials credentials;

  // ControlApi.cpp
  void Dispatch(const Route& aRoute, Exchange aExchange);
  void Submit(Exchange aExchange,
              state::CommandBody aBody,
              std::uint32_t aStatus,
              nlohmann::json aSuccess);
  // Linearizable read: runs aReader once this instance has applied everything
  // that was committed before the request.
  void Read(Exchange aExchange,
            nlohmann::json (ControlApi::*aReader)(const Exchange&) const);

  // BundleApi.cpp
  void ProposeBundle(Exchange aExchange);
  void ApproveBundle(Exchange aExchange);
  void ListBundles(Exchange aExchange);
  void ShowBundle(Exchange aExchange);
  [[nodiscard]] nlohmann::json BundleList(const Exchange& aExchange) const;
  [[nodiscard]] nlohmann::json BundleStatus(const Exchange& aExchange) const;

  // MemberApi.cpp
  void ProposeMember(Exchange aExchange);
  void ApproveMember(Exchange aExchange);
  void WithdrawApproval(Exchange aExchange);
  void LeaveMember(Exchange aExchange);
  void ListMembers(Exchange aExchange);
  [[nodiscard]] nlohmann::json MemberList(const Exchange& aExchange) const;

  // KeyApi.cpp
  void GrantKey(Exchange aExchange);
  void WithdrawKey(Exchange aExchange);
  void ListKeys(Exchange aExchange);
  [[nodiscard]] nlohmann::json KeyList(const Exchange& aExchange) const;
  [[nodiscard]] Result<void> MayManageKeys(const Principal& aPrincipal,
                                           state::KeyRole aRole,
                                           std::string_view aSubject) const;

  // JobApi.cpp
  void SubmitJob(Exchange aExchange);
  void ShowJob(Exchange aExchange);
  void CancelJob(Exchange aExchange);
  void CancelJobs(Exchange aExchange);

  // InstanceApi.cpp
  void ListInstances(Exchange aExchange);
  void DrainInstance(Exchange aExchange);
  void ReturnInstance(Exchange aExchange);
  void MoveInstance(Exchange aExchange);
  [[nodiscard]] nlohmann::json InstanceList(const Exchange& aExchange) const;

  // AnnouncementApi.cpp
  void Announce(Exchange aExchange);

  // StatusApi.cpp
  void ShowStatus(Exchange aExchange);
  void Explain(Exchange aExchange);
  void ChangeReplicas(Exchange aExchange);
  [[nodiscard]] nlohmann::json Status(const Exchange& aExchange) const;
};

} // namespace hyssoppaddle::api

#endif
