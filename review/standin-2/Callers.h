// The operator and the clients of a deployment.
#ifndef hyssoppaddle_review_standin2_Callers_h
#define hyssoppaddle_review_standin2_Callers_h

#include "Fleet.h"
#include "Http.h"

#include <optional>

namespace review {

// Time limit of all kinds of request.
inline constexpr int kClientLimitMs = 3000;

struct Route
{
  std::string name;
  std::string service;
  int maxAttempts = 2;
  std::string prefix = {}; // empty: the name
  int priority = 0;
  int targetMs = 600;
  double stretch = 1.6;
};

// A configuration with one tenant, whose key is kApiKey. The prefix of a route
// stands between slashes.
std::string
Configuration(std::uint64_t aVersion, const std::vector<Route>& aRoutes);

class Operator
{
public:
  Operator(Record& aRecord, const Fleet& aFleet)
    : record(aRecord)
    , fleet(aFleet)
  {
  }

  // Sends the configuration until it has a clear answer, to the nodes in turn.
  // Returns the status, 0 if the time is over.
  int Put(std::uint64_t aVersion,
          const std::vector<Route>& aRoutes,
          int aLimitMs);
  // The node that answers a read of the configuration itself instead of naming
  // another one; the first node if none does.
  [[nodiscard]] std::size_t Leader() const;
  // The version that a node reads back, no value if it gives none.
  [[nodiscard]] std::optional<std::uint64_t> Read(std::size_t aNode);

private:
  // Follows a 307 twice.
  [[nodiscard]] Reply Follow(std::size_t aNode, const Request& aRequest) const;

  Record& record;
  const Fleet& fleet;
  std::size_t next = 0;
};

class Client
{
public:
  Client(Record& aRecord, const Fleet& aFleet)
    : record(aRecord)
    , fleet(aFleet)
  {
  }

  // Hands a job in until it has a clear answer, to the nodes in turn. Returns
  // the status, 0 if there was none.
  int Submit(const std::string& aRoute,
             const std::string& aId,
             const std::string& aBody);
  // Hands a job in once and leaves after a time. Returns the status, 0 if none
  // came until then.
  int SubmitOnce(const std::string& aRoute,
                 const std::string& aId,
                 const std::string& aBody,
                 std::size_t aNode,
                 int aLeavesAfterMs);
  int Cancel(const std::string& aRoute,
             const std::string& aId,
             std::size_t aNode);
  // The state of a job, or the status if it is not 200.
  std::string StateOf(const std::string& aRoute, const std::string& aId);

private:
  [[nodiscard]] Reply Call(std::size_t aNode,
                           const std::string& aMethod,
                           const std::string& aPath,
                           const std::string& aBody,
                           int aLimitMs = kClientLimitMs) const;

  Record& record;
  const Fleet& fleet;
  std::size_t next = 0;
};

} // namespace review

#endif
