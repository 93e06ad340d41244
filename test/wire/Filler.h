// Fills each field of an encoded struct with seeded random values, using its
// Schema.
#ifndef hyssoppaddle_test_wire_Filler_h
#define hyssoppaddle_test_wire_Filler_h

#include "base/Random.h"
#include "wire/Pack.h"
#include "wire/PeerSchema.h"
#include "wire/RecordSchema.h"

#include <string>

namespace hyssoppaddle::test {

class Filler
{
public:
  explicit Filler(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  void Fill(bool& aValue) { aValue = this->random.Below(2) == 0; }
  void Fill(double& aValue) { aValue = this->random.Fraction(); }
  void Fill(Duration& aValue) { aValue = Duration(this->Number()); }
  void Fill(WallTime& aValue) { aValue = WallTime(Duration(this->Number())); }
  void Fill(std::string& aValue)
  {
    // Uses any byte, including NUL and invalid UTF-8, because digests are
    // binary.
    aValue.resize(this->random.Below(40));
    for (char& byte : aValue) {
      byte = static_cast<char>(this->random.Below(256));
    }
  }
  template<std::integral T>
  void Fill(T& aValue)
  {
    aValue = static_cast<T>(this->random.Next() >> this->random.Below(64));
  }
  template<typename T>
  requires std::is_enum_v<T>
  void Fill(T& aValue)
  {
    aValue = static_cast<T>(this->random.Below(
      static_cast<std::uint64_t>(wire::LastValue<T>::kValue) + 1));
  }
  template<typename Tag>
  void Fill(Id<Tag>& aValue)
  {
    this->Fill(aValue.value);
  }
  template<typename T>
  void Fill(std::optional<T>& aValue)
  {
    if (this->random.Below(3) > 0) {
      this->Fill(aValue.emplace());
    }
  }
  template<typename T>
  void Fill(std::vector<T>& aValue)
  {
    aValue.resize(this->random.Below(4));
    for (T& element : aValue) {
      this->Fill(element);
    }
  }
  template<typename T>
  void Fill(std::set<T>& aValue)
  {
    T element{};
    this->Fill(element);
    aValue.insert(element);
  }
  template<wire::HasSchema T>
  void Fill(T& aValue)
  {
    std::apply([&](auto&... aField) { (this->Fill(aField), ...); },
               wire::Schema<T>::Of(aValue));
  }
  template<typename... Ts>
  void Fill(std::variant<Ts...>& aValue)
  {
    this->FillIndex<0>(aValue, this->random.Below(sizeof...(Ts)));
  }
  template<std::size_t Index, typename... Ts>
  void FillIndex(std::variant<Ts...>& aValue, std::size_t aIndex)
  {
    if constexpr (Index < sizeof...(Ts)) {
      if (Index == aIndex) {
        this->Fill(aValue.template emplace<Index>());
      } else {
        this->FillIndex<Index + 1>(aValue, aIndex);
      }
    }
  }

  Random random;

private:
  std::int64_t Number()
  {
    return static_cast<std::int64_t>(this->random.Below(1ULL << 50U)) -
           (1LL << 40U);
  }
};

} // namespace hyssoppaddle::test

#endif
