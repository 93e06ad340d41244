// Reads the fields of a JSON request body and collects findings about them.
#ifndef hyssoppaddle_api_ObjectReader_h
#define hyssoppaddle_api_ObjectReader_h

#include "base/Finding.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace hyssoppaddle::api {

class ObjectReader
{
public:
  // aObject must outlive this reader. A value that is not an object is reported
  // and then treated as an empty object.
  ObjectReader(const nlohmann::json& aObject,
               Findings& aFindings,
               std::string aPath = "");

  // Required text; must not be empty.
  std::string Text(std::string_view aName);
  std::string OptionalText(std::string_view aName);
  std::int64_t Number(std::string_view aName,
                      std::int64_t aLow,
                      std::int64_t aHigh);
  std::int64_t OptionalNumber(std::string_view aName,
                              std::int64_t aLow,
                              std::int64_t aHigh,
                              std::int64_t aDefault);
  bool OptionalFlag(std::string_view aName, bool aDefault);
  // Value of a nested object or array, or JSON null when it is missing.
  const nlohmann::json& Nested(std::string_view aName);
  [[nodiscard]] std::string PathOf(std::string_view aName) const;

  // Reports every field that no earlier call has read.
  void RejectUnknown();

  void Report(std::string_view aName, std::string aMessage);

private:
  const nlohmann::json& object;
  Findings& findings;
  std::string path;
  std::set<std::string, std::less<>> readFields;

  const nlohmann::json* Find(std::string_view aName);
};

} // namespace hyssoppaddle::api

#endif
