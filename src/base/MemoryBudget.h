// Divides the memory for the data of connections between their owners, so that
// callers cannot take what upstreams, operators and other nodes need.
//
// Load pattern: many clients send long requests at once, stop just before their
// end or do not read the answers. Each request is legal, but together they
// exceed the memory of the process.
#ifndef hyssoppaddle_base_MemoryBudget_h
#define hyssoppaddle_base_MemoryBudget_h

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hyssoppaddle {

enum class MemoryOwner : std::uint8_t
{
  Callers, // requests of callers and the answers to them
  Control, // the same of upstreams and operators
};

class MemoryBudget
{
public:
  static constexpr std::size_t kOwners = 2;

  // aLimit is the memory of the process in bytes. Most of it is left to the
  // state, its copies for snapshots, and connections as such.
  explicit MemoryBudget(std::size_t aLimit);

  // aClient names the other side without its port. Returns false, and counts a
  // refusal, when aBytes would exceed the part of aOwner or the share of the
  // client in it. Otherwise Release must be called with the same arguments.
  [[nodiscard]] bool Acquire(MemoryOwner aOwner,
                             std::string_view aClient,
                             std::size_t aBytes);
  void Release(MemoryOwner aOwner,
               std::string_view aClient,
               std::size_t aBytes);

  // Bytes that aOwner gets at most.
  [[nodiscard]] std::size_t Part(MemoryOwner aOwner) const;
  // Bytes that one client gets at most. Several clients can have one address.
  [[nodiscard]] std::size_t ShareOfClient(MemoryOwner aOwner) const;
  // Bytes of calls, of this node and others, that wait for the leader on it.
  [[nodiscard]] std::size_t PartOfCalls() const { return this->partOfCalls; }
  [[nodiscard]] std::size_t InUse(MemoryOwner aOwner) const;
  [[nodiscard]] std::uint64_t Refused(MemoryOwner aOwner) const;

  // True once after much of the budget was in use and nearly nothing is any
  // more: freed memory can be given back to the system.
  [[nodiscard]] bool TakeReliefSignal();

  [[nodiscard]] static std::string_view NameOf(MemoryOwner aOwner);

private:
  struct Account
  {
    std::size_t part = 0;
    std::size_t inUse = 0; // at most `part`
    std::uint64_t refused = 0;
    // Bytes by client, above 0; the sum is inUse.
    std::map<std::string, std::size_t, std::less<>> clients;
  };

  [[nodiscard]] const Account& Of(MemoryOwner aOwner) const;

  std::array<Account, kOwners> accounts;
  std::size_t partOfCalls = 0;
  bool wasLoaded = false;
};

} // namespace hyssoppaddle

#endif
