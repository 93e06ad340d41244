// The versioned setup of a deployment for jobs of steps: queues, the services
// whose upstreams run them, and workspaces with their keys, shares and limits.
#ifndef hyssoppaddle_work_Setup_h
#define hyssoppaddle_work_Setup_h

#include "base/Id.h"
#include "base/Time.h"
#include "state/Resources.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppaddle::work {

using QueueId = Id<struct QueueTag>;

// How long an external policy takes to say which upstreams may run a step.
struct AdviceTimes
{
  Duration decision{ 0 };    // per call
  Duration perUpstream{ 0 }; // on top, for each upstream named
  Duration validity{ 0 };    // of a ticket
  bool operator==(const AdviceTimes&) const = default;
};

struct Queue
{
  QueueId name;
  std::string host;
  std::string pathPrefix; // ends with '/'
  ServiceId service;
  std::uint32_t priority = 0; // 0 comes first
  std::uint32_t maxAttempts = 1;
  double stretch = 1.0; // the objective is stretch x chain + targetCompletion
  Duration targetCompletion{ 0 };
  bool allowAnonymous = false; // usable without a key
  bool needsAdvice = false;
  AdviceTimes advice;
  bool operator==(const Queue&) const = default;
};

struct Service
{
  ServiceId name;
  bool enforcesCapacity = true; // its upstreams refuse what does not fit
  bool standby = false;         // its instances are off until they are moved
  bool operator==(const Service&) const = default;
};

struct Workspace
{
  WorkspaceId name;
  std::vector<std::string> keys;
  double weight = 1.0;
  state::Resources limit; // 0: none
  bool operator==(const Workspace&) const = default;
};

// Invariant: a higher version replaces a lower one, never the reverse.
struct Setup
{
  std::uint64_t version = 0; // 0: none yet
  std::string document;      // as the operator sent it, for reading back
  std::vector<std::string> approvedBy;
  std::vector<Queue> queues;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;

  // The queue with the longest path prefix of aPath on aHost, or null.
  [[nodiscard]] const Queue* FindQueue(std::string_view aHost,
                                       std::string_view aPath) const;
  [[nodiscard]] const Queue* FindQueue(const QueueId& aName) const;
  [[nodiscard]] const Service* FindService(const ServiceId& aName) const;
  [[nodiscard]] const Workspace* FindWorkspace(const WorkspaceId& aName) const;
  [[nodiscard]] const Workspace* FindByKey(std::string_view aKey) const;
  bool operator==(const Setup&) const = default;
};

} // namespace hyssoppaddle::work

#endif
