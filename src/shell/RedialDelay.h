// Delay before the next attempt to connect to a peer. It doubles with each
// failed attempt, up to a limit, and is drawn from the upper half of the range,
// so that instances that lost each other together do not dial together.
#ifndef hyssoppaddle_shell_RedialDelay_h
#define hyssoppaddle_shell_RedialDelay_h

#include "base/Random.h"

namespace hyssoppaddle::shell {

class RedialDelay
{
public:
  RedialDelay(Duration aFirst, Duration aLongest);

  [[nodiscard]] Duration Current() const { return this->delay; }
  // Called after an attempt. aConnected: it led to a connection, which has
  // ended again.
  void Advance(bool aConnected, Random& aRandom);

private:
  Duration delay;
  Duration longest;
};

} // namespace hyssoppaddle::shell

#endif
