// Tree of a JSON text with comments. Each node stores its offset in the text,
// so that every finding can name line and column.
#ifndef hyssoppaddle_config_JsonTree_h
#define hyssoppaddle_config_JsonTree_h

#include "base/Finding.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppaddle::config {

enum class JsonKind : std::uint8_t
{
  Null,
  Boolean,
  Integer,
  Real, // also an integer beyond 64 bits
  String,
  Array,
  Object,
};

struct JsonNode
{
  JsonKind kind = JsonKind::Null;
  std::size_t offset = 0; // of the first byte in the text
  bool boolean = false;
  bool negative = false;       // of an Integer
  std::uint64_t magnitude = 0; // of an Integer
  double real = 0;             // of an Integer or Real
  std::string text;
  // Of an Object: keys[i] belongs to children[i]; duplicates are kept.
  std::vector<std::string> keys;
  std::vector<std::size_t> keyOffsets;
  std::vector<JsonNode> children;
};

// Name with article, for messages: "a string".
std::string_view
Describe(JsonKind aKind);

struct TextPosition
{
  std::size_t line = 0;   // 1-based
  std::size_t column = 0; // 1-based, in bytes
};

// Converts byte offsets of one text to lines and columns.
class LineIndex
{
public:
  explicit LineIndex(std::string_view aText);
  [[nodiscard]] TextPosition At(std::size_t aOffset) const;

private:
  std::vector<std::size_t> lineStarts;
};

inline constexpr std::size_t kMaxJsonBytes = 1024 * 1024;
inline constexpr std::size_t kMaxJsonDepth = 16;

// Returns the tree, or one finding when the text is too long, nested too deeply
// or not valid JSON.
tl::expected<JsonNode, Findings>
ParseJson(std::string_view aText);

} // namespace hyssoppaddle::config

#endif
