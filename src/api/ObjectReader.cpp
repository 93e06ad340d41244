// Field access that collects findings instead of throwing, so that a client
// sees all errors at once.
#include "api/ObjectReader.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace hyssoppaddle::api {

namespace {

const nlohmann::json kNullValue;
const nlohmann::json kEmptyObject = nlohmann::json::object();

} // namespace

ObjectReader::ObjectReader(const nlohmann::json& aObject,
                           Findings& aFindings,
                           std::string aPath)
  : object(aObject.is_object() ? aObject : kEmptyObject)
  , findings(aFindings)
  , path(std::move(aPath))
{
  if (!aObject.is_object()) {
    this->findings.push_back({ this->path, 0, 0, "must be an object" });
  }
}

const nlohmann::json*
ObjectReader::Find(std::string_view aName)
{
  this->readFields.emplace(aName);
  const auto found = this->object.find(std::string(aName));
  return found == this->object.end() ? nullptr : &*found;
}

std::string
ObjectReader::Text(std::string_view aName)
{
  const nlohmann::json* value = this->Find(aName);
  if (value == nullptr) {
    this->Report(aName, "is missing; text is required");
    return {};
  }
  if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
    this->Report(aName, "must be text that is not empty");
    return {};
  }
  return value->get<std::string>();
}

std::string
ObjectReader::OptionalText(std::string_view aName)
{
  const nlohmann::json* value = this->Find(aName);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string()) {
    this->Report(aName, "must be text");
    return {};
  }
  return value->get<std::string>();
}

std::int64_t
ObjectReader::Number(std::string_view aName,
                     std::int64_t aLow,
                     std::int64_t aHigh)
{
  if (!this->object.contains(std::string(aName))) {
    this->readFields.emplace(aName);
    this->Report(aName, "is missing; a whole number is required");
    return aLow;
  }
  return this->OptionalNumber(aName, aLow, aHigh, aLow);
}

std::int64_t
ObjectReader::OptionalNumber(std::string_view aName,
                             std::int64_t aLow,
                             std::int64_t aHigh,
                             std::int64_t aDefault)
{
  const nlohmann::json* value = this->Find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  const bool isHuge =
    value->is_number_unsigned() &&
    value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
  if (!value->is_number_integer() || isHuge ||
      value->get<std::int64_t>() < aLow || value->get<std::int64_t>() > aHigh) {
    this->Report(aName,
                 "must be a whole number from " + std::to_string(aLow) +
                   " to " + std::to_string(aHigh));
    return aDefault;
  }
  return value->get<std::int64_t>();
}

bool
ObjectReader::OptionalFlag(std::string_view aName, bool aDefault)
{
  const nlohmann::json* value = this->Find(aName);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    this->Report(aName, "must be true or false");
    return aDefault;
  }
  return value->get<bool>();
}

const nlohmann::json&
ObjectReader::Nested(std::string_view aName)
{
  const nlohmann::json* value = this->Find(aName);
  return value == nullptr ? kNullValue : *value;
}

std::string
ObjectReader::PathOf(std::string_view aName) const
{
  return this->path + "/" + std::string(aName);
}

void
ObjectReader::RejectUnknown()
{
  for (const auto& [name, value] : this->object.items()) {
    if (!this->readFields.contains(name)) {
      this->Report(name, "is not a known field");
    }
  }
}

void
ObjectReader::Report(std::string_view aName, std::string aMessage)
{
  this->findings.push_back({ this->PathOf(aName), 0, 0, std::move(aMessage) });
}

} // namespace hyssoppaddle::api
