// Lookup of queues, services and workspaces in a setup.
#include "work/Setup.h"

#include <algorithm>

namespace hyssoppaddle::work {

namespace {

template<typename T, typename Name>
const T*
FindNamed(const std::vector<T>& aItems, const Name& aName)
{
  const auto found =
    std::find_if(aItems.begin(), aItems.end(), [&](const T& aItem) {
      return aItem.name == aName;
    });
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace

const Queue*
Setup::FindQueue(std::string_view aHost, std::string_view aPath) const
{
  const Queue* best = nullptr;
  for (const Queue& queue : this->queues) {
    const bool matches =
      queue.host == aHost && aPath.starts_with(queue.pathPrefix);
    if (matches && (best == nullptr ||
                    queue.pathPrefix.size() > best->pathPrefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const Queue*
Setup::FindQueue(const QueueId& aName) const
{
  return FindNamed(this->queues, aName);
}

const Service*
Setup::FindService(const ServiceId& aName) const
{
  return FindNamed(this->services, aName);
}

const Workspace*
Setup::FindWorkspace(const WorkspaceId& aName) const
{
  return FindNamed(this->workspaces, aName);
}

const Workspace*
Setup::FindByKey(std::string_view aKey) const
{
  for (const Workspace& workspace : this->workspaces) {
    const auto& keys = workspace.keys;
    if (std::find(keys.begin(), keys.end(), aKey) != keys.end()) {
      return &workspace;
    }
  }
  return nullptr;
}

} // namespace hyssoppaddle::work
