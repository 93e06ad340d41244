// Versioned configuration for jobs that consist of steps: queues, the services
// whose upstreams run their tasks, and workspaces with their API keys, weights
// and limits.
#ifndef hyssoppaddle_work_Setup_h
#define hyssoppaddle_work_Setup_h

#include "base/Id.h"
#include "base/Time.h"
#include "state/Resources.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppaddle::work {

using QueueId = Id<struct QueueTag>;

// Time that the external policy needs to decide which upstreams may run a step.
struct AdviceTimes
{
  Duration decision{ 0 };    // per call
  Duration perUpstream{ 0 }; // added for each upstream in the request
  Duration validity{ 0 };    // of a ticket
  bool operator==(const AdviceTimes&) const = default;
};

// Where callers find a queue, which is all that they know of it.
struct QueueAddress
{
  std::string host;
  std::string pathPrefix;
  auto operator<=>(const QueueAddress&) const = default;
};

struct Queue
{
  QueueId name;
  std::string host;
  std::string pathPrefix; // ends with '/'
  ServiceId service;
  std::uint32_t priority = 0; // 0 is the highest
  std::uint32_t maxAttempts = 1;
  // Objective = stretch * critical path + targetCompletion.
  double stretch = 1.0;
  Duration targetCompletion{ 0 };
  bool allowAnonymous = false; // usable without an API key
  bool needsAdvice = false;
  AdviceTimes advice;
  bool operator==(const Queue&) const = default;

  [[nodiscard]] QueueAddress Address() const
  {
    return { this->host, this->pathPrefix };
  }
};

struct Service
{
  ServiceId name;
  bool enforcesCapacity = true; // its upstreams refuse tasks that do not fit
  bool standby = false; // a pool of spare instances that run no upstream
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

// Invariant: a version is only replaced by a higher one.
struct Setup
{
  std::uint64_t version = 0; // 0: no setup received yet
  // As sent by the operator; returned when the setup is read.
  std::string document;
  std::vector<std::string> approvedBy;
  std::vector<Queue> queues;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;

  // The queue on aHost with the longest path prefix that aPath starts with, or
  // null.
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
