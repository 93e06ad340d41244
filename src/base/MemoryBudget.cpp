// Fixed parts of the owners and a share for each client.
#include "base/MemoryBudget.h"

#include <algorithm>

namespace hyssoppaddle {

namespace {

// A request is held up to three times on its way: as the body, as a call that
// waits for its answer, and in the queue of the link to the leader.
constexpr std::array<std::size_t, MemoryBudget::kOwners> kDivisors{ 16, 10 };
constexpr std::size_t kCallsDivisor = 8;
// Two requests of 4 MiB with their headers fit into each part.
constexpr std::size_t kMinPart = 9UL * 1024 * 1024;
// The platform forwards connections, so that many clients can have one address.
constexpr std::size_t kClientDivisor = 2;
// Parts of the budget in use that count as much and as nearly nothing.
constexpr std::size_t kLoadedDivisor = 4;
constexpr std::size_t kRelievedDivisor = 64;

std::size_t
IndexOf(MemoryOwner aOwner)
{
  return static_cast<std::size_t>(aOwner);
}

} // namespace

MemoryBudget::MemoryBudget(std::size_t aLimit)
  : partOfCalls(std::max(kMinPart, aLimit / kCallsDivisor))
{
  for (std::size_t i = 0; i < kOwners; ++i) {
    this->accounts[i].part = std::max(kMinPart, aLimit / kDivisors[i]);
  }
}

const MemoryBudget::Account&
MemoryBudget::Of(MemoryOwner aOwner) const
{
  return this->accounts[IndexOf(aOwner)];
}

bool
MemoryBudget::Acquire(MemoryOwner aOwner,
                      std::string_view aClient,
                      std::size_t aBytes)
{
  Account& account = this->accounts[IndexOf(aOwner)];
  auto client = account.clients.find(aClient);
  const std::size_t held = client == account.clients.end() ? 0 : client->second;
  if (aBytes > account.part - account.inUse ||
      aBytes > this->ShareOfClient(aOwner) - held) {
    ++account.refused;
    return false;
  }
  if (aBytes == 0) {
    return true;
  }
  if (client == account.clients.end()) {
    client = account.clients.emplace(aClient, 0).first;
  }
  client->second += aBytes;
  account.inUse += aBytes;
  this->wasLoaded =
    this->wasLoaded || account.inUse >= account.part / kLoadedDivisor;
  return true;
}

void
MemoryBudget::Release(MemoryOwner aOwner,
                      std::string_view aClient,
                      std::size_t aBytes)
{
  Account& account = this->accounts[IndexOf(aOwner)];
  const auto client = account.clients.find(aClient);
  if (client == account.clients.end()) {
    return; // aBytes is 0
  }
  account.inUse -= aBytes;
  client->second -= aBytes;
  if (client->second == 0) {
    account.clients.erase(client);
  }
}

std::size_t
MemoryBudget::Part(MemoryOwner aOwner) const
{
  return this->Of(aOwner).part;
}

std::size_t
MemoryBudget::ShareOfClient(MemoryOwner aOwner) const
{
  return this->Of(aOwner).part / kClientDivisor;
}

std::size_t
MemoryBudget::InUse(MemoryOwner aOwner) const
{
  return this->Of(aOwner).inUse;
}

std::uint64_t
MemoryBudget::Refused(MemoryOwner aOwner) const
{
  return this->Of(aOwner).refused;
}

bool
MemoryBudget::TakeReliefSignal()
{
  const bool isRelieved = std::all_of(
    this->accounts.begin(), this->accounts.end(), [](const Account& aAccount) {
      return aAccount.inUse <= aAccount.part / kRelievedDivisor;
    });
  if (!this->wasLoaded || !isRelieved) {
    return false;
  }
  this->wasLoaded = false;
  return true;
}

std::string_view
MemoryBudget::NameOf(MemoryOwner aOwner)
{
  constexpr std::array<std::string_view, kOwners> kNames{ "callers",
                                                          "control" };
  return kNames[IndexOf(aOwner)];
}

} // namespace hyssoppaddle
