// An ordered map of records with a hash index over the keys. Readers and
// snapshots need the order; the index makes the cost of a look-up independent
// of the size of the fleet. The index is never iterated, because its order is
// unspecified.
#ifndef hyssoppaddle_state_RecordMap_h
#define hyssoppaddle_state_RecordMap_h

#include <functional>
#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace hyssoppaddle::state {

template<typename Key, typename Record>
class RecordMap
{
public:
  using Map = std::map<Key, Record>;
  using Entry = typename Map::iterator;

  RecordMap() = default;
  RecordMap(RecordMap&&) noexcept = default;
  RecordMap& operator=(RecordMap&&) noexcept = default;
  // Not copyable: the index holds iterators into the map.
  RecordMap(const RecordMap&) = delete;
  RecordMap& operator=(const RecordMap&) = delete;

  [[nodiscard]] Record* Find(const Key& aKey)
  {
    const auto found = this->index.find(aKey.View());
    return found == this->index.end() ? nullptr : &found->second->second;
  }
  [[nodiscard]] const Record* Find(const Key& aKey) const
  {
    const auto found = this->index.find(aKey.View());
    return found == this->index.end() ? nullptr : &found->second->second;
  }
  [[nodiscard]] Entry FindEntry(const Key& aKey)
  {
    const auto found = this->index.find(aKey.View());
    return found == this->index.end() ? this->records.end() : found->second;
  }
  [[nodiscard]] Entry End() { return this->records.end(); }
  [[nodiscard]] Entry Begin() { return this->records.begin(); }

  // aKey must not be in the map.
  Entry Add(const Key& aKey, Record aRecord)
  {
    const Entry entry = this->records.emplace(aKey, std::move(aRecord)).first;
    this->index.emplace(entry->first.View(), entry);
    return entry;
  }

  void Erase(Entry aEntry)
  {
    this->index.erase(aEntry->first.View());
    this->records.erase(aEntry);
  }

  void Load(Map aRecords)
  {
    this->records = std::move(aRecords);
    this->index.clear();
    this->index.reserve(this->records.size());
    for (Entry entry = this->records.begin(); entry != this->records.end();
         ++entry) {
      this->index.emplace(entry->first.View(), entry);
    }
  }

  [[nodiscard]] const Map& Records() const { return this->records; }
  [[nodiscard]] std::size_t Count() const { return this->records.size(); }

private:
  Map records;
  std::unordered_map<std::string_view, Entry> index; // keys refer to `records`
};

} // namespace hyssoppaddle::state

#endif
