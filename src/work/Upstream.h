// The replicated record of an upstream that runs tasks. An upstream corresponds
// to one boot of an instance.
#ifndef hyssoppaddle_work_Upstream_h
#define hyssoppaddle_work_Upstream_h

#include "base/Id.h"
#include "base/Time.h"
#include "state/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hyssoppaddle::work {

struct Upstream
{
  ServiceId service;
  std::string address;
  DataCentreId dataCentre;
  state::Resources capacity;
  std::vector<std::string> labels; // the kind of machine, then the rack
  // Start time in milliseconds since the epoch; 0: unknown.
  std::uint64_t boot = 0;
  std::string instance; // the machine that this upstream is one boot of
  bool draining = false;
  bool operator==(const Upstream&) const = default;

  // The rack, empty when it is not announced.
  [[nodiscard]] std::string Rack() const
  {
    return this->labels.size() < 2 ? std::string() : this->labels[1];
  }
};

} // namespace hyssoppaddle::work

#endif
