// What fronts ask before they spend work on a request: how far behind the loop is, and who goes first.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "net/loop_lag.h"
#include "overload/pressure.h"
#include "streampick/router.h"

namespace streampick::net {

class Admission {
 public:
  Admission(boost::asio::io_context& io, const overload::Settings& settings, const Config& config,
            double cores, std::vector<bool> spared)
      : pressure_(settings, cores), lag_(io, pressure_), spread_(config.max_retry_after) {
    set(config, std::move(spared));
  }

  // New settings; `spared` by class.
  void set(const Config& config, std::vector<bool> spared) {
    spread_ = overload::RetrySpread(config.max_retry_after);
    spared_ = std::move(spared);
    double most = 1e-9;
    for (const RequestClass& kind : config.classes) most = std::max(most, kind.priority_weight);
    worth_.clear();
    for (const RequestClass& kind : config.classes)
      worth_.push_back(std::clamp(kind.priority_weight / most, 0.0, 1.0));
    spared_.resize(worth_.size());
  }

  // Something came from a client.
  void touch() { lag_.touch(); }
  // Whether nothing is refused now, whoever asks.
  bool calm() const { return pressure_.level() <= 0; }
  // `id`: the client's own, whatever it is.
  bool refuses(std::uint32_t request_class, Time remaining, std::uint64_t id) {
    if (calm() || request_class >= worth_.size()) return false;
    const bool out = pressure_.refuses({worth_[request_class], remaining, spared_[request_class], id});
    if (out) ++refused_;
    return out;
  }
  Time retry_after(std::uint64_t id) const {
    return spread_.under(pressure_.level(), overload::Pressure::to_unit(~id));
  }
  const overload::Pressure& pressure() const { return pressure_; }
  std::uint64_t refused() const { return refused_; }

 private:
  overload::Pressure pressure_;
  LoopLag lag_;
  overload::RetrySpread spread_;
  std::vector<double> worth_;
  std::vector<bool> spared_;
  std::uint64_t refused_ = 0;
};

}  // namespace streampick::net
