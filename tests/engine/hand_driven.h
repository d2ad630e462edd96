// A hand-driven world for one engine: time that moves when told, servers that record what is sent to them,
// askers that record what they are answered. No socket.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "engine/engine.h"

namespace streampick::test {

class HandDriven final : public engine::TimeSource {
 public:
  Time now() override { return now_; }
  Time wall_time() override { return now_ + wall_steps_; }
  /// The wall clock steps, forward or back; the monotonic one runs on.
  void step_wall_clock(Time by) { wall_steps_ += by; }
  std::unique_ptr<engine::Timer> timer(std::function<void()> due) override {
    return std::make_unique<HandTimer>(*this, std::move(due));
  }
  // Moves on, calling each timer at its time, in the order of their times; of two at one time the one that
  // was made first.
  void advance(Time by) {
    const Time until = now_ + by;
    for (;;) {
      HandTimer* first = nullptr;
      for (const auto& [number, timer] : timers_)
        if (timer->at_ <= until && (first == nullptr || timer->at_ < first->at_)) first = timer;
      if (first == nullptr) break;
      now_ = std::max(now_, first->at_);
      first->at_ = kNever;
      first->due_();
    }
    now_ = until;
  }
  // Time passes and nothing of ours is run: a paused process.
  void stall(Time by) { now_ += by; }

 private:
  struct HandTimer final : engine::Timer {
    HandTimer(HandDriven& owner, std::function<void()> due)
        : owner_(owner), due_(std::move(due)), number_(++owner_.made_) {
      owner_.timers_.emplace(number_, this);
    }
    ~HandTimer() override { owner_.timers_.erase(number_); }
    void set(Time at) override { at_ = at; }
    void cancel() override { at_ = kNever; }
    HandDriven& owner_;
    std::function<void()> due_;
    std::uint64_t number_;
    Time at_ = kNever;
  };
  std::uint64_t made_ = 0;
  std::map<std::uint64_t, HandTimer*> timers_;  // in the order they were made
  Time now_ = 1'000'000'000'000;
  Time wall_steps_ = 0;
};

struct Sent {
  std::string server;
  engine::AttemptId attempt;
  std::shared_ptr<const engine::Message> message;
  Time at, begin_by;
  bool forgotten = false;
  bool closed = false;  // forgotten as overdue: its connection is not waited for
  bool taken_back = false;
};

class Fleet final : public engine::UpstreamFactory {
 public:
  explicit Fleet(HandDriven& time) : time_(time) {}
  std::unique_ptr<engine::Upstream> make(const std::string& name, std::uint32_t) override {
    return std::make_unique<Server>(*this, name);
  }
  Time sending_stops_at(const std::string& name) const { return by_name_.at(name)->sending_stops_at(); }
  std::vector<Sent> sent;
  std::vector<std::pair<std::string, std::string>> kept;  // server, value
  std::set<std::string> gone;                             // whose transport was given up
  bool wants_cache_fills = false;
  int closed_idle = 0;          // times that all which were idle at a server were closed
  std::set<std::string> dials;  // whose connections are still being made: nothing goes out to them

 private:
  struct Server final : engine::Upstream {
    Server(Fleet& owner, std::string name) : owner_(owner), name_(std::move(name)) {
      owner_.by_name_[name_] = this;
    }
    ~Server() override {
      owner_.gone.insert(name_);
      owner_.by_name_.erase(name_);
    }
    void set_address(const std::string&) override {}
    void send(engine::AttemptId attempt, std::shared_ptr<const engine::Message> message, Time,
              Time begin_by) override {
      owner_.sent.push_back({name_, attempt, std::move(message), owner_.time_.now(), begin_by});
    }
    void cancel(engine::AttemptId attempt, engine::CancelReason reason) override {
      for (Sent& sent : owner_.sent)
        if (sent.attempt == attempt) {
          sent.forgotten = true;
          sent.closed = reason == engine::CancelReason::timed_out;
        }
    }
    bool cancel_unsent(engine::AttemptId attempt) override {
      if (!owner_.dials.contains(name_)) return false;
      for (Sent& sent : owner_.sent) sent.taken_back |= sent.attempt == attempt;
      return true;
    }
    void close_idle(Time unused_since) override { owner_.closed_idle += unused_since == kNever ? 1 : 0; }
    bool close_oldest_idle() override { return false; }
    bool wants_cache_fills() const override { return owner_.wants_cache_fills; }
    void fill_cache(const std::string&, const std::string& value) override {
      owner_.kept.emplace_back(name_, value);
    }
    Fleet& owner_;
    std::string name_;
  };
  HandDriven& time_;
  std::map<std::string, Server*> by_name_;
};

struct RecordingAsker final : engine::ResponseSink {
  void respond(std::uint64_t tag, engine::Response reply) override {
    replies.emplace_back(tag, std::move(reply));
  }
  bool client_gone() override { return gone; }
  std::vector<std::pair<std::uint64_t, engine::Response>> replies;
  bool gone = false;  // it can be seen, and nobody has told
};

struct QuietRoster final : engine::EndpointDiscovery {
  void watch() override { ++watches; }
  int watches = 0;
};

struct IdleFront final : engine::Downstream {
  void on_drain_started() override { ++drains; }
  void stop_accepting() override { stopped = true; }
  std::size_t unanswered() const override { return waiting; }
  std::size_t open_connections() const override { return 0; }
  int drains = 0;
  void on_drain_ended() override { ++ends; }
  int ends = 0;
  bool stopped = false;
  std::size_t waiting = 0;
};

}  // namespace streampick::test
