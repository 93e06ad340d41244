// Bytes of a memory budget that one connection holds.
#ifndef hyssoppaddle_shell_MemoryLease_h
#define hyssoppaddle_shell_MemoryLease_h

#include "base/MemoryBudget.h"

#include <memory>
#include <string>
#include <utility>

namespace hyssoppaddle::shell {

class MemoryLease
{
public:
  // Without a budget, every request is granted.
  MemoryLease(std::shared_ptr<MemoryBudget> aBudget,
              MemoryOwner aOwner,
              std::string aClient)
    : budget(std::move(aBudget))
    , owner(aOwner)
    , client(std::move(aClient))
  {
  }
  ~MemoryLease() { this->Release(); }
  MemoryLease(const MemoryLease&) = delete;
  MemoryLease& operator=(const MemoryLease&) = delete;

  // Grows to aBytes in all. Returns false if they cannot be had; the lease is
  // unchanged then.
  [[nodiscard]] bool GrowTo(std::size_t aBytes)
  {
    if (!this->budget || aBytes <= this->bytes) {
      return true;
    }
    if (!this->budget->Acquire(
          this->owner, this->client, aBytes - this->bytes)) {
      return false;
    }
    this->bytes = aBytes;
    return true;
  }

  void Release()
  {
    if (this->bytes > 0) {
      this->budget->Release(
        this->owner, this->client, std::exchange(this->bytes, 0));
    }
  }

  [[nodiscard]] std::size_t Bytes() const { return this->bytes; }

private:
  std::shared_ptr<MemoryBudget> budget;
  MemoryOwner owner;
  std::string client;
  std::size_t bytes = 0; // acquired and not released
};

} // namespace hyssoppaddle::shell

#endif
