// Keys ordered by time, so that expired ones are found without a scan of the
// whole table.
#ifndef hyssoppaddle_work_ExpiryQueue_h
#define hyssoppaddle_work_ExpiryQueue_h

#include "base/Time.h"

#include <set>
#include <utility>
#include <vector>

namespace hyssoppaddle::work {

template<typename Key>
class ExpiryQueue
{
public:
  void Add(WallTime aAt, Key aKey)
  {
    this->items.emplace(aAt, std::move(aKey));
  }

  void Remove(WallTime aAt, const Key& aKey)
  {
    this->items.erase({ aAt, aKey });
  }

  // Removes and returns the keys that were added with a time before aLimit.
  std::vector<Key> TakeBefore(WallTime aLimit)
  {
    std::vector<Key> taken;
    while (!this->items.empty() && this->items.begin()->first < aLimit) {
      taken.push_back(this->items.begin()->second);
      this->items.erase(this->items.begin());
    }
    return taken;
  }

private:
  std::set<std::pair<WallTime, Key>> items;
};

} // namespace hyssoppaddle::work

#endif
