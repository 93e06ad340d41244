// Typed access to JSON objects; every message says what is allowed.
#include "config/ObjectReader.h"

#include "config/Address.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <tuple>
#include <utility>

namespace hyssoppaddle::config {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxStringBytes = 4096;

bool
IsNameByte(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= '0' && aByte <= '9') || aByte == '.' || aByte == '_' ||
         aByte == '-';
}

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::ranges::all_of(aText, IsNameByte);
}

// RFC 6901: "~" and "/" inside a key are escaped.
std::string
EscapeForPointer(std::string_view aKey)
{
  std::string escaped;
  for (const char byte : aKey) {
    if (byte == '~') {
      escaped += "~0";
    } else if (byte == '/') {
      escaped += "~1";
    } else {
      escaped += byte;
    }
  }
  return escaped;
}

std::string
Join(const std::vector<std::string>& aWords)
{
  std::string text;
  for (const std::string& word : aWords) {
    text += (text.empty() ? "" : ", ") + word;
  }
  return text;
}

std::string
Describe(Range aRange)
{
  return "an integer from " + std::to_string(aRange.low) + " to " +
         std::to_string(aRange.high);
}

std::string
Describe(double aNumber)
{
  char text[32];
  std::snprintf(text, sizeof text, "%g", aNumber);
  return text;
}

} // namespace

FindingLog::FindingLog(std::string_view aText)
  : lineIndex(aText)
{
}

void
FindingLog::Add(const std::string& aPath,
                std::size_t aOffset,
                std::string aMessage)
{
  const TextPosition position = this->lineIndex.At(aOffset);
  this->findings.push_back(
    Finding{ aPath, position.line, position.column, std::move(aMessage) });
}

Findings
FindingLog::Take()
{
  std::ranges::stable_sort(this->findings,
                           [](const Finding& aLeft, const Finding& aRight) {
                             return std::tie(aLeft.line, aLeft.column) <
                                    std::tie(aRight.line, aRight.column);
                           });
  return std::move(this->findings);
}

ObjectReader::ObjectReader(const LocatedNode& aObject, FindingLog& aLog)
  : object(*aObject.node)
  , path(aObject.path)
  , log(aLog)
  , isObject(aObject.node->kind == JsonKind::Object)
{
  if (!this->isObject) {
    this->log.Add(this->path,
                  this->object.offset,
                  "must be an object, not " +
                    std::string(Describe(this->object.kind)));
    return;
  }
  for (std::size_t i = 0; i < this->object.keys.size(); ++i) {
    this->indexByKey.try_emplace(this->object.keys[i], i);
  }
}

bool
ObjectReader::String(const char* aKey, std::string& aTarget, Need aNeed)
{
  const JsonNode* node = this->FindValueOfKind(aKey, JsonKind::String, aNeed);
  if (node == nullptr) {
    return false;
  }
  const bool hasNul = node->text.find('\0') != std::string::npos;
  if (node->text.empty() || node->text.size() > kMaxStringBytes || hasNul) {
    this->Report(aKey, "must have 1 to 4096 bytes and no NUL");
    return false;
  }
  aTarget = node->text;
  return true;
}

bool
ObjectReader::Name(const char* aKey, std::string& aTarget, Need aNeed)
{
  const JsonNode* node = this->FindValueOfKind(aKey, JsonKind::String, aNeed);
  if (node == nullptr) {
    return false;
  }
  if (!IsName(node->text)) {
    this->Report(aKey, "must have 1 to 64 letters, digits, '.', '_' or '-'");
    return false;
  }
  aTarget = node->text;
  return true;
}

bool
ObjectReader::Boolean(const char* aKey, bool& aTarget, Need aNeed)
{
  const JsonNode* node = this->FindValueOfKind(aKey, JsonKind::Boolean, aNeed);
  if (node == nullptr) {
    return false;
  }
  aTarget = node->boolean;
  return true;
}

bool
ObjectReader::Unsigned(const char* aKey,
                       std::uint64_t& aTarget,
                       Range aRange,
                       Need aNeed)
{
  const JsonNode* node = this->FindValue(aKey, aNeed);
  if (node == nullptr) {
    return false;
  }
  const bool isCount = node->kind == JsonKind::Integer && !node->negative;
  if (!isCount || node->magnitude < aRange.low ||
      node->magnitude > aRange.high) {
    this->Report(aKey, "must be " + Describe(aRange));
    return false;
  }
  aTarget = node->magnitude;
  return true;
}

bool
ObjectReader::Time(const char* aKey,
                   Duration& aTarget,
                   Duration aUnit,
                   Range aRange)
{
  std::uint64_t count = 0;
  if (!this->Unsigned(aKey, count, aRange, Need::Optional)) {
    return false;
  }
  aTarget = aUnit * static_cast<Duration::rep>(count);
  return true;
}

bool
ObjectReader::Real(const char* aKey, double& aTarget, double aLow, double aHigh)
{
  const JsonNode* node = this->FindValue(aKey, Need::Optional);
  if (node == nullptr) {
    return false;
  }
  const bool isNumber =
    node->kind == JsonKind::Integer || node->kind == JsonKind::Real;
  if (!isNumber || node->real < aLow || node->real > aHigh) {
    this->Report(aKey,
                 "must be a number from " + Describe(aLow) + " to " +
                   Describe(aHigh));
    return false;
  }
  aTarget = node->real;
  return true;
}

bool
ObjectReader::Choice(const char* aKey,
                     std::initializer_list<const char*> aWords,
                     std::size_t& aIndex,
                     Need aNeed)
{
  const JsonNode* node = this->FindValueOfKind(aKey, JsonKind::String, aNeed);
  if (node == nullptr) {
    return false;
  }
  const auto found = std::ranges::find(aWords, node->text);
  if (found == aWords.end()) {
    this->Report(aKey,
                 "must be one of " + Join({ aWords.begin(), aWords.end() }));
    return false;
  }
  aIndex = static_cast<std::size_t>(found - aWords.begin());
  return true;
}

bool
ObjectReader::Address(const char* aKey,
                      std::string& aTarget,
                      std::uint16_t aLowestPort,
                      Need aNeed)
{
  const JsonNode* node = this->FindValueOfKind(aKey, JsonKind::String, aNeed);
  if (node == nullptr) {
    return false;
  }
  if (!IsAddress(node->text, aLowestPort)) {
    this->Report(aKey,
                 "must be a numeric IP address and a port from " +
                   std::to_string(aLowestPort) +
                   " to 65535, such as 127.0.0.1:7000 or [::1]:7000");
    return false;
  }
  aTarget = node->text;
  return true;
}

bool
ObjectReader::Object(const char* aKey, LocatedNode& aTarget, Need aNeed)
{
  const JsonNode* node = this->FindValueOfKind(aKey, JsonKind::Object, aNeed);
  if (node == nullptr) {
    return false;
  }
  aTarget = LocatedNode{ node, this->PathOf(aKey) };
  return true;
}

bool
ObjectReader::Array(const char* aKey,
                    std::vector<LocatedNode>& aTarget,
                    Need aNeed)
{
  const JsonNode* node = this->FindValueOfKind(aKey, JsonKind::Array, aNeed);
  if (node == nullptr) {
    return false;
  }
  const std::string base = this->PathOf(aKey);
  for (std::size_t i = 0; i < node->children.size(); ++i) {
    aTarget.push_back({ &node->children[i], base + "/" + std::to_string(i) });
  }
  return true;
}

bool
ObjectReader::Has(const char* aKey) const
{
  return this->indexByKey.contains(aKey);
}

void
ObjectReader::Report(const char* aKey, std::string aMessage)
{
  const auto found = this->indexByKey.find(aKey);
  const JsonNode& place = found == this->indexByKey.end()
                            ? this->object
                            : this->object.children[found->second];
  this->log.Add(this->PathOf(aKey), place.offset, std::move(aMessage));
}

void
ObjectReader::Finish()
{
  if (!this->isObject) {
    return;
  }
  this->ReportDuplicates();
  for (const auto& [key, index] : this->indexByKey) {
    if (std::ranges::find(this->readKeys, key) == this->readKeys.end()) {
      this->log.Add(this->PathOf(key),
                    this->object.keyOffsets[index],
                    "unknown key; allowed: " + Join(this->readKeys));
    }
  }
}

void
ObjectReader::ReportDuplicates()
{
  for (std::size_t i = 0; i < this->object.keys.size(); ++i) {
    const std::string& key = this->object.keys[i];
    if (this->indexByKey.find(key)->second != i) {
      this->log.Add(this->PathOf(key),
                    this->object.keyOffsets[i],
                    "the key is given twice; once is allowed");
    }
  }
}

const JsonNode*
ObjectReader::FindValue(const char* aKey, Need aNeed)
{
  if (!this->isObject) {
    return nullptr;
  }
  this->readKeys.emplace_back(aKey);
  const auto found = this->indexByKey.find(aKey);
  if (found != this->indexByKey.end()) {
    return &this->object.children[found->second];
  }
  if (aNeed == Need::Required) {
    this->log.Add(
      this->PathOf(aKey), this->object.offset, "the key is missing");
  }
  return nullptr;
}

const JsonNode*
ObjectReader::FindValueOfKind(const char* aKey, JsonKind aKind, Need aNeed)
{
  const JsonNode* node = this->FindValue(aKey, aNeed);
  if (node == nullptr || node->kind == aKind) {
    return node;
  }
  this->Report(aKey,
               "must be " + std::string(Describe(aKind)) + ", not " +
                 std::string(Describe(node->kind)));
  return nullptr;
}

std::string
ObjectReader::PathOf(std::string_view aKey) const
{
  return this->path + "/" + EscapeForPointer(aKey);
}

} // namespace hyssoppaddle::config
