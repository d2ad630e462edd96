// Whether the loop falls behind, and which requests are turned away before more work is spent on them. No
// I/O.
//
// Not the number of requests says that the processor is short, but how late it comes to what is ready: a
// probe that is queued behind the ready work tells how long that stands, and the processor's time how much of
// its part is used up. Both are looked at in windows. While the loop is behind, the level rises with each
// window, faster the further behind it is; in calm it falls slowly, so that a crowd is let in again by and
// by.
//
// At a level of L, L of the requests that may be refused are, the least worth first: a class's worth and
// whether its answer can still be in time order them. What may not be refused keeps its room.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "overload/settings.h"

namespace streampick::overload {

class Pressure {
 public:
  // `cores`: what the platform gives, as a share of one.
  explicit Pressure(const Settings& settings = {}, double cores = 1)
      : target_(settings.late), busy_(settings.busy), cores_(std::max(0.01, cores)) {}

  bool off() const { return target_ <= 0; }

  // A probe is queued after a rest: what was learned before it holds no more.
  void came(long long now) {
    if (level_ > 0 && now - window_ > kRest) level_ = 0;
  }
  // The loop came to a probe `late` us after it was queued. `used_so_far` gives the us of the processor that
  // the process has used; it is asked only where a window begins or ends. Returns whether one ended.
  template <class Cpu>
  bool sample(long long now, long long late, Cpu used_so_far) {
    if (window_ == 0) begin(now, used_so_far());
    sum_ += static_cast<double>(late);
    ++samples_;
    if (now - window_ < kWindow) return false;
    const long long cpu = used_so_far();
    const double mean = sum_ / static_cast<double>(samples_);
    const double used = static_cast<double>(cpu - cpu_) / (static_cast<double>(now - window_) * cores_);
    const double over = mean / static_cast<double>(target_) - 1;
    late_ = static_cast<long long>(mean);
    used_ = used;
    // A loop that uses all its time is behind too, if only by what waits unread in the sockets; but then only
    // where its turns are long already, for a loop that keeps up may well be busy.
    const bool behind = over > 0 || (used > busy_ && over > -kNear);
    if (behind) {
      level_ = std::min(kMost, level_ + kUp + kUpMore * std::clamp(over, 0.0, 1.0));
    } else {
      const double windows = static_cast<double>(now - window_) / static_cast<double>(kWindow);
      level_ = std::max(0.0, level_ - kDown * windows);
    }
    if (behind) ++behind_;
    begin(now, cpu);
    return true;
  }

  struct Asked {
    double worth = 1;         // of its class, as a share of the most
    long long remaining = 0;  // us until its client gives up
    bool spared = false;      // its class may not be refused
    std::uint64_t id = 0;     // any number that is spread evenly
  };
  // Whether to turn it away. The same request is always told the same at one level.
  bool refuses(const Asked& asked) const {
    if (level_ <= 0 || asked.spared) return false;
    // It would be read, sent and answered, each a turn of the loop later.
    if (asked.remaining < kTurns * late_) return true;
    // Of two classes the lesser is refused first: it takes the places below its share of the line.
    const double place = to_unit(asked.id) * (1 - kByWorth) + kByWorth * asked.worth;
    return place < level_;
  }

  // Fibonacci hashing (Knuth, TAOCP 6.4), to [0, 1): the ids may be as regular as a counter.
  static double to_unit(std::uint64_t id) {
    return static_cast<double>((id * 0x9e3779b97f4a7c15U) >> 11U) * 0x1.0p-53;
  }

  double level() const { return level_; }
  long long late() const { return late_; }  // us, the mean of the last window
  double used() const { return used_; }     // of the processor's part, in the last window
  std::uint64_t windows_behind() const { return behind_; }

 private:
  static constexpr long long kWindow = 100'000;  // us
  static constexpr long long kRest = 20 * kWindow;
  static constexpr long long kTurns = 3;
  static constexpr double kUp = 0.04, kUpMore = 0.12, kDown = 0.02, kMost = 0.95;
  static constexpr double kNear = 0.5;     // of the target
  static constexpr double kByWorth = 0.4;  // how far worth decides, against chance

  void begin(long long now, long long cpu) {
    window_ = now;
    cpu_ = cpu;
    sum_ = 0;
    samples_ = 0;
  }
  long long target_;
  double busy_, cores_;
  long long window_ = 0, cpu_ = 0, late_ = 0;
  double sum_ = 0, level_ = 0, used_ = 0;
  std::size_t samples_ = 0;
  std::uint64_t behind_ = 0;
};

// When a client that was turned away is told to come back. Told one time, a crowd comes back as one; so each
// is told a time of its own between half and one and a half of what was meant, and a refusal under pressure
// means a longer time the more are refused. Bounded by what the platform allows to be told.
class RetrySpread {
 public:
  explicit RetrySpread(long long most = 0) : most_(most) {}
  // In us; 0: no advice is to be given. `draw` is even in [0, 1).
  long long after(long long meant, double draw) const {
    if (most_ <= 0 || meant <= 0) return 0;
    const double spread = static_cast<double>(meant) * (0.5 + draw);
    return std::clamp<long long>(std::llround(spread), 1'000, most_);
  }
  long long under(double level, double draw) const {
    return after(std::llround(static_cast<double>(most_) * std::clamp(level, 0.1, 0.65)), draw);
  }

 private:
  long long most_;
};

}  // namespace streampick::overload
