// The SAX parser of nlohmann/json reports values without their positions. An
// iterator that counts the bytes read gives the end of each token; its start
// follows from the end of the previous token.
#include "config/JsonTree.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>

namespace hyssoppaddle::config {

namespace {

// Input iterator over the text that counts the bytes read.
class CountingIterator
{
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* aPosition, std::size_t* aBytesRead)
    : position(aPosition)
    , bytesRead(aBytesRead)
  {
  }

  reference operator*() const { return *this->position; }
  CountingIterator& operator++()
  {
    ++this->position;
    ++*this->bytesRead;
    return *this;
  }
  bool operator==(const CountingIterator& aOther) const
  {
    return this->position == aOther.position;
  }

private:
  const char* position;
  std::size_t* bytesRead;
};

// Skips white space, comments and separators from aOffset on.
std::size_t
SkipToToken(std::string_view aText, std::size_t aOffset)
{
  while (aOffset < aText.size()) {
    const std::string_view rest = aText.substr(aOffset);
    if (rest.starts_with("//")) {
      aOffset = std::min(aText.find('\n', aOffset), aText.size());
    } else if (rest.starts_with("/*")) {
      const std::size_t end = aText.find("*/", aOffset + 2);
      aOffset = end == std::string_view::npos ? aText.size() : end + 2;
    } else if (std::string_view(" \t\r\n,:").find(rest.front()) !=
               std::string_view::npos) {
      ++aOffset;
    } else {
      return aOffset;
    }
  }
  return aOffset;
}

// Reason of a parse error without the prefix that the library adds.
std::string
WithoutPrefix(const std::string& aWhat)
{
  // "[json.exception...] parse error at line 1, column 2: reason"
  const std::size_t column = aWhat.find("column");
  const std::size_t start =
    column == std::string::npos ? column : aWhat.find(": ", column);
  return start == std::string::npos ? aWhat : aWhat.substr(start + 2);
}

class TreeBuilder
{
public:
  using number_integer_t = nlohmann::json::number_integer_t;
  using number_unsigned_t = nlohmann::json::number_unsigned_t;
  using number_float_t = nlohmann::json::number_float_t;
  using string_t = nlohmann::json::string_t;
  using binary_t = nlohmann::json::binary_t;

  TreeBuilder(std::string_view aText, const std::size_t& aBytesRead)
    : text(aText)
    , bytesRead(aBytesRead)
  {
  }

  bool null() { return this->AddToken(JsonNode{}); }

  bool boolean(bool aValue)
  {
    JsonNode node;
    node.kind = JsonKind::Boolean;
    node.boolean = aValue;
    return this->AddToken(std::move(node));
  }

  bool number_integer(number_integer_t aValue)
  {
    JsonNode node;
    node.kind = JsonKind::Integer;
    node.negative = aValue < 0;
    node.magnitude = node.negative ? 0 - static_cast<std::uint64_t>(aValue)
                                   : static_cast<std::uint64_t>(aValue);
    node.real = static_cast<double>(aValue);
    return this->AddNumber(std::move(node));
  }

  bool number_unsigned(number_unsigned_t aValue)
  {
    JsonNode node;
    node.kind = JsonKind::Integer;
    node.magnitude = aValue;
    node.real = static_cast<double>(aValue);
    return this->AddNumber(std::move(node));
  }

  bool number_float(number_float_t aValue, const string_t& /*aText*/)
  {
    JsonNode node;
    node.kind = JsonKind::Real;
    node.real = aValue;
    return this->AddNumber(std::move(node));
  }

  bool string(string_t& aValue)
  {
    JsonNode node;
    node.kind = JsonKind::String;
    node.text = std::move(aValue);
    return this->AddToken(std::move(node));
  }

  bool binary(binary_t& /*aValue*/) { return false; }

  bool start_object(std::size_t /*aSize*/)
  {
    return this->Open(JsonKind::Object);
  }

  bool start_array(std::size_t /*aSize*/)
  {
    return this->Open(JsonKind::Array);
  }

  bool end_object() { return this->Close(); }
  bool end_array() { return this->Close(); }

  bool key(string_t& aKey)
  {
    JsonNode& object = this->openContainers.back();
    object.keys.push_back(std::move(aKey));
    object.keyOffsets.push_back(SkipToToken(this->text, this->tokenEnd));
    this->tokenEnd = this->bytesRead;
    return true;
  }

  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const nlohmann::detail::exception& aError)
  {
    this->errorMessage = "this is no JSON: " + WithoutPrefix(aError.what());
    this->errorOffset = this->bytesRead > 0 ? this->bytesRead - 1 : 0;
    return false;
  }

  JsonNode root;
  std::string errorMessage;
  std::size_t errorOffset = 0;

private:
  bool AddToken(JsonNode aNode)
  {
    aNode.offset = SkipToToken(this->text, this->tokenEnd);
    this->tokenEnd = this->bytesRead;
    this->Add(std::move(aNode));
    return true;
  }

  bool AddNumber(JsonNode aNode)
  {
    // The parser reads one byte past a number.
    aNode.offset = SkipToToken(this->text, this->tokenEnd);
    this->tokenEnd =
      std::min(this->text.find_first_not_of("+-.0123456789eE", aNode.offset),
               this->text.size());
    this->Add(std::move(aNode));
    return true;
  }

  bool Open(JsonKind aKind)
  {
    JsonNode node;
    node.kind = aKind;
    node.offset = this->bytesRead - 1;
    this->tokenEnd = this->bytesRead;
    this->openContainers.push_back(std::move(node));
    if (this->openContainers.size() <= kMaxJsonDepth) {
      return true;
    }
    this->errorMessage = "objects and arrays may nest at most " +
                         std::to_string(kMaxJsonDepth) + " deep";
    this->errorOffset = this->bytesRead - 1;
    return false;
  }

  bool Close()
  {
    JsonNode node = std::move(this->openContainers.back());
    this->openContainers.pop_back();
    this->tokenEnd = this->bytesRead;
    this->Add(std::move(node));
    return true;
  }

  void Add(JsonNode aNode)
  {
    if (this->openContainers.empty()) {
      this->root = std::move(aNode);
    } else {
      this->openContainers.back().children.push_back(std::move(aNode));
    }
  }

  std::string_view text;
  const std::size_t& bytesRead;
  std::size_t tokenEnd = 0;
  std::vector<JsonNode> openContainers; // outermost first
};

Findings
SingleFinding(std::string_view aText, std::size_t aOffset, std::string aMessage)
{
  const TextPosition lineColumn = LineIndex(aText).At(aOffset);
  return { Finding{
    "", lineColumn.line, lineColumn.column, std::move(aMessage) } };
}

} // namespace

std::string_view
Describe(JsonKind aKind)
{
  switch (aKind) {
    case JsonKind::Null:
      return "null";
    case JsonKind::Boolean:
      return "true or false";
    case JsonKind::Integer:
      return "an integer";
    case JsonKind::Real:
      return "a number that is no 64-bit integer";
    case JsonKind::String:
      return "a string";
    case JsonKind::Array:
      return "an array";
    case JsonKind::Object:
      return "an object";
  }
  return "unknown";
}

LineIndex::LineIndex(std::string_view aText)
  : lineStarts{ 0 }
{
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '\n') {
      this->lineStarts.push_back(i + 1);
    }
  }
}

TextPosition
LineIndex::At(std::size_t aOffset) const
{
  const auto next = std::ranges::upper_bound(this->lineStarts, aOffset);
  const auto line = static_cast<std::size_t>(next - this->lineStarts.begin());
  return { line, aOffset - this->lineStarts[line - 1] + 1 };
}

tl::expected<JsonNode, Findings>
ParseJson(std::string_view aText)
{
  if (aText.size() > kMaxJsonBytes) {
    return tl::unexpected(SingleFinding(
      aText, 0, "the text has more than 1 MiB; at most 1 MiB is allowed"));
  }
  std::size_t bytesRead = 0;
  TreeBuilder builder(aText, bytesRead);
  const char* begin = aText.data();
  const bool isValid = nlohmann::json::sax_parse(
    CountingIterator(begin, &bytesRead),
    CountingIterator(begin + aText.size(), &bytesRead),
    &builder,
    nlohmann::json::input_format_t::json,
    true,
    true);
  if (!isValid) {
    return tl::unexpected(
      SingleFinding(aText, builder.errorOffset, builder.errorMessage));
  }
  return std::move(builder.root);
}

} // namespace hyssoppaddle::config
