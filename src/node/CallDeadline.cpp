// Reads and writes the field with the remaining time of a call.
#include "node/CallDeadline.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace hyssoppaddle::node {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kFieldName = "remaining-ms";
// Longer than any caller waits, and far from an overflow of Duration.
constexpr milliseconds kMaxTimeLeft = std::chrono::minutes(10);

template<typename Fields>
auto
FindField(Fields& aFields)
{
  return std::find_if(aFields.begin(), aFields.end(), [](const auto& aField) {
    return aField.name == kFieldName;
  });
}

} // namespace

void
SetTimeLeft(wire::RemoteCall& aCall, Duration aTimeLeft)
{
  const auto left =
    std::chrono::duration_cast<milliseconds>(std::max(aTimeLeft, Duration(0)));
  std::string text = std::to_string(left.count());
  const auto found = FindField(aCall.fields);
  if (found != aCall.fields.end()) {
    found->value = std::move(text);
    return;
  }
  aCall.fields.push_back({ std::string(kFieldName), std::move(text) });
}

std::optional<Duration>
TimeLeft(const wire::RemoteCall& aCall)
{
  const auto found = FindField(aCall.fields);
  if (found == aCall.fields.end()) {
    return std::nullopt;
  }
  milliseconds::rep left = 0;
  const char* begin = found->value.data();
  const char* end = begin + found->value.size();
  const auto [rest, error] = std::from_chars(begin, end, left);
  if (error != std::errc() || rest != end || left < 0) {
    return std::nullopt;
  }
  return milliseconds(std::min(left, kMaxTimeLeft.count()));
}

} // namespace hyssoppaddle::node
