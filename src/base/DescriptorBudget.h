// Divides the file descriptors of a process between its kinds of connections,
// so that none of them takes what the others need.
//
// Load pattern: after a change of the leader, hundreds of upstreams and callers
// connect to the new one at once, while it opens several connections to each of
// the upstreams. Without a division, accepting, calling upstreams and opening
// the next file of the log fail together.
#ifndef hyssoppaddle_base_DescriptorBudget_h
#define hyssoppaddle_base_DescriptorBudget_h

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hyssoppaddle {

enum class DescriptorOwner : std::uint8_t
{
  Callers,   // connections accepted from callers
  Control,   // connections accepted from upstreams and operators
  Upstreams, // connections opened to upstreams and other services
};

class DescriptorBudget
{
public:
  static constexpr std::size_t kOwners = 3;

  // aLimit is the number of descriptors of the process. A part of them is never
  // given out: it is for files, links to other nodes, listeners, probes of the
  // readiness and connections that are refused with an answer.
  explicit DescriptorBudget(std::size_t aLimit);

  [[nodiscard]] bool HasRoom(DescriptorOwner aOwner) const;
  // Returns false, and counts a refusal, when no descriptor is left for aOwner.
  // Otherwise Release must be called once the descriptor is closed.
  [[nodiscard]] bool Acquire(DescriptorOwner aOwner);
  void Release(DescriptorOwner aOwner);

  [[nodiscard]] std::size_t InUse(DescriptorOwner aOwner) const;
  [[nodiscard]] std::uint64_t Refused(DescriptorOwner aOwner) const;
  // Number of descriptors that aOwner always gets.
  [[nodiscard]] std::size_t Guaranteed(DescriptorOwner aOwner) const;
  // Number of descriptors that are given out at most.
  [[nodiscard]] std::size_t Total() const { return this->total; }
  // Number of descriptors that are never given out.
  [[nodiscard]] std::size_t Reserve() const { return this->reserve; }

  [[nodiscard]] static std::string_view NameOf(DescriptorOwner aOwner);

private:
  std::size_t total = 0;
  std::size_t reserve = 0;
  // The sum is less than total. Owners share the rest.
  std::array<std::size_t, kOwners> guaranteed{};
  std::array<std::size_t, kOwners> inUse{}; // the sum is at most total
  std::array<std::uint64_t, kOwners> refused{};
};

} // namespace hyssoppaddle

#endif
