// Reads and validates the fields of JSON objects, and collects all findings.
#ifndef hyssoppaddle_config_ObjectReader_h
#define hyssoppaddle_config_ObjectReader_h

#include "base/Finding.h"
#include "base/Id.h"
#include "base/Time.h"
#include "config/JsonTree.h"

#include <cstdint>
#include <initializer_list>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppaddle::config {

class FindingLog
{
public:
  explicit FindingLog(std::string_view aText);

  void Add(const std::string& aPath, std::size_t aOffset, std::string aMessage);
  // Returns the findings ordered by position.
  [[nodiscard]] Findings Take();
  [[nodiscard]] bool IsEmpty() const { return this->findings.empty(); }

private:
  LineIndex lineIndex;
  Findings findings;
};

enum class Need : std::uint8_t
{
  Required,
  Optional,
};

// Inclusive bounds of an integer.
struct Range
{
  std::uint64_t low = 0;
  std::uint64_t high = std::numeric_limits<std::uint64_t>::max();
};

// A node with its JSON pointer.
struct LocatedNode
{
  const JsonNode* node = nullptr;
  std::string path;
};

// Reads one object. Every reading function returns false and leaves its target
// unchanged when the key is missing or its value is invalid; the finding states
// what is allowed. Finish reports duplicate keys and the keys that no function
// has read.
class ObjectReader
{
public:
  ObjectReader(const LocatedNode& aObject, FindingLog& aLog);

  bool String(const char* aKey, std::string& aTarget, Need aNeed);
  // A name: 1 to 64 letters, digits, '.', '_' or '-'.
  bool Name(const char* aKey, std::string& aTarget, Need aNeed);
  template<typename Tag>
  bool Name(const char* aKey, Id<Tag>& aTarget, Need aNeed)
  {
    return this->Name(aKey, aTarget.value, aNeed);
  }
  bool Boolean(const char* aKey, bool& aTarget, Need aNeed);
  template<typename Number>
  bool Integer(const char* aKey, Number& aTarget, Range aRange, Need aNeed)
  {
    std::uint64_t value = 0;
    if (!this->Unsigned(aKey, value, aRange, aNeed)) {
      return false;
    }
    aTarget = static_cast<Number>(value);
    return true;
  }
  // A count of aUnit in aRange.
  bool Time(const char* aKey, Duration& aTarget, Duration aUnit, Range aRange);
  bool Real(const char* aKey, double& aTarget, double aLow, double aHigh);
  // One of the given words; aIndex receives its position.
  bool Choice(const char* aKey,
              std::initializer_list<const char*> aWords,
              std::size_t& aIndex,
              Need aNeed);
  // A numeric IP address and port, "127.0.0.1:7000" or "[::1]:7000".
  bool Address(const char* aKey,
               std::string& aTarget,
               std::uint16_t aLowestPort,
               Need aNeed);
  bool Object(const char* aKey, LocatedNode& aTarget, Need aNeed);
  bool Array(const char* aKey, std::vector<LocatedNode>& aTarget, Need aNeed);

  [[nodiscard]] bool Has(const char* aKey) const;
  // Finding at the value of aKey, or at the object when the key is missing.
  void Report(const char* aKey, std::string aMessage);
  void Finish();

private:
  // Value of the key. Returns nullptr when the key is missing, and reports that
  // if it is required.
  const JsonNode* FindValue(const char* aKey, Need aNeed);
  const JsonNode* FindValueOfKind(const char* aKey, JsonKind aKind, Need aNeed);
  bool Unsigned(const char* aKey,
                std::uint64_t& aTarget,
                Range aRange,
                Need aNeed);
  [[nodiscard]] std::string PathOf(std::string_view aKey) const;
  void ReportDuplicates();

  const JsonNode& object;
  std::string path;
  FindingLog& log;
  bool isObject;
  std::map<std::string, std::size_t, std::less<>> indexByKey;
  std::vector<std::string> readKeys; // in the order of the calls
};

} // namespace hyssoppaddle::config

#endif
