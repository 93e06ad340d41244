// Tickets tell rounds that began before a doubt from later ones.
#include "node/OrderPermission.h"

namespace hyssoppaddle::node {

void
OrderPermission::OnElected()
{
  this->proven = true;
  this->openRound.reset();
}

void
OrderPermission::OnPause()
{
  this->Withdraw();
}

void
OrderPermission::OnTransfer()
{
  this->Withdraw();
}

void
OrderPermission::Withdraw()
{
  this->proven = false;
  ++this->doubts;
}

std::optional<std::uint64_t>
OrderPermission::BeginRound()
{
  const bool isOpen = this->openRound == this->doubts;
  if (this->proven || isOpen) {
    return std::nullopt;
  }
  this->openRound = this->doubts;
  return this->doubts;
}

void
OrderPermission::EndRound(std::uint64_t aTicket, bool aConfirmed)
{
  if (this->openRound == aTicket) {
    this->openRound.reset();
  }
  this->proven = this->proven || (aConfirmed && aTicket == this->doubts);
}

} // namespace hyssoppaddle::node
