// Whether a leader may send orders to upstreams and to the owner of the
// instances, as far as its own history decides.
//
// A leader that stood still, or that has offered its leadership to another
// voter, may have been replaced without having been told. It sends nothing
// until a majority has answered a round that began after that.
#ifndef hyssoppaddle_node_OrderPermission_h
#define hyssoppaddle_node_OrderPermission_h

#include <cstdint>
#include <optional>

namespace hyssoppaddle::node {

class OrderPermission
{
public:
  // The votes of a majority prove the leadership.
  void OnElected();
  // The process stood still for so long that another node can lead.
  void OnPause();
  // A transfer of the leadership begins or goes on.
  void OnTransfer();

  // Returns the ticket of a round that has to be started now, if any.
  std::optional<std::uint64_t> BeginRound();
  // The result of that round. A round that began before the last pause or
  // transfer proves nothing.
  void EndRound(std::uint64_t aTicket, bool aConfirmed);

  [[nodiscard]] bool IsProven() const { return this->proven; }

private:
  void Withdraw();

  bool proven = true;
  // Counts pauses and transfers; a ticket is the value at the begin of its
  // round.
  std::uint64_t doubts = 0;
  std::optional<std::uint64_t> openRound; // ticket of the last round
};

} // namespace hyssoppaddle::node

#endif
