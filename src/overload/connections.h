// Which client connections to keep between requests when many are held. No I/O.
//
// A client that asks once and stays holds a place that one who works may need: at its own machine or at a
// front before us, where connections are counted too, long before our own table is full. So from a quarter of
// the descriptors on (`crowd`) a connection must have shown that it is used again to be kept, and one that
// rests is ended as early as is fair.
#pragma once

#include <algorithm>
#include <cstddef>

#include "overload/settings.h"

namespace streampick::overload {

class ConnectionRules {
 public:
  explicit ConnectionRules(std::size_t descriptors, const Settings& settings = {})
      : crowd_(std::max<std::size_t>(
            4, static_cast<std::size_t>(static_cast<double>(descriptors) * settings.crowd))),
        calm_idle_(settings.calm_idle),
        crowded_idle_(settings.crowded_idle) {}

  // Connections with a request in work, or between two of them, from which on there is a crowd.
  std::size_t crowd() const { return crowd_; }
  bool crowded(std::size_t held) const { return held >= crowd_; }
  // Whether a connection stays open behind its `answers`-th answer, `held` being held with it.
  bool keep(std::size_t answers, std::size_t held) const { return answers > 1 || !crowded(held); }
  // How long one may rest between two requests, in us.
  long long idle(std::size_t held) const { return crowded(held) ? crowded_idle_ : calm_idle_; }

 private:
  std::size_t crowd_;
  long long calm_idle_, crowded_idle_;
};

}  // namespace streampick::overload
