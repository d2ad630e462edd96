#include "net/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <utility>

namespace streampick::net {

class Clock::AsioTimer final : public engine::Timer {
 public:
  AsioTimer(Clock& clock, std::function<void()> on_due)
      : clock_(clock), on_due_(std::move(on_due)), timer_(clock.io_) {}

  void set(Time time) override {
    ++generation_;
    timer_.expires_at(clock_.steady(time));
    // A wait that has expired already is not cancelled by a new one: its generation shows that it was
    // replaced.
    timer_.async_wait([this, generation = generation_](const boost::system::error_code& cancelled) {
      if (!cancelled && generation == generation_) {
        on_due_();
      }
    });
  }

  void cancel() override {
    ++generation_;
    timer_.cancel();
  }

 private:
  Clock& clock_;
  std::function<void()> on_due_;
  boost::asio::steady_timer timer_;
  std::uint64_t generation_ = 0;
};

Clock::Clock(boost::asio::io_context& io, WallClock wall_clock)
    : io_(io), wall_clock_(std::move(wall_clock)), steady_start_(Steady::now()), start_(wall_clock_()) {}

Time Clock::fresh() {
  const auto passed = std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - steady_start_);
  return start_ + passed.count();
}

Time Clock::wall_time() {
  const Time monotonic = now();
  return monotonic + wall_offset(wall_clock_, [this] { return fresh(); });
}

std::unique_ptr<engine::Timer> Clock::timer(std::function<void()> on_due) {
  return std::make_unique<AsioTimer>(*this, std::move(on_due));
}

}  // namespace streampick::net
