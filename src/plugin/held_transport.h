// An upstream that queues new attempts while nothing may be sent: after the host was suspended, until the
// endpoint list has been read again. The queue is bounded by the number of open calls, and a call that ends
// removes its attempts.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "engine/upstream.h"

namespace streampick::plugin {

class HeldTransport final : public engine::Upstream {
 public:
  // When `may_send` becomes true again the owner must call release().
  HeldTransport(std::unique_ptr<engine::Upstream> inner, std::function<bool()> may_send)
      : inner_(std::move(inner)), may_send_(std::move(may_send)) {}

  ~HeldTransport() override {
    if (on_destroy) on_destroy();
  }
  std::function<void()> on_destroy;

  void stop_sending_at(Time at) override {
    engine::Upstream::stop_sending_at(at);
    inner_->stop_sending_at(at);
  }
  void set_address(const std::string& address) override { inner_->set_address(address); }
  void send(engine::AttemptId attempt, std::shared_ptr<const engine::Message> message, Time expires,
            Time begin_by) override {
    if (held_.empty() && may_send_()) return forward({attempt, std::move(message), expires, begin_by});
    held_.push_back({attempt, std::move(message), expires, begin_by});
  }
  bool cancel_unsent(engine::AttemptId attempt) override {
    const auto is_attempt = [&](const Held& one) { return one.attempt == attempt; };
    return std::erase_if(held_, is_attempt) > 0 || inner_->cancel_unsent(attempt);
  }
  void cancel(engine::AttemptId attempt, engine::CancelReason reason) override {
    if (!cancel_unsent(attempt)) inner_->cancel(attempt, reason);
  }
  void close_idle(Time unused_since) override { inner_->close_idle(unused_since); }
  bool close_oldest_idle() override { return inner_->close_oldest_idle(); }
  bool has_streaming_response() const override { return inner_->has_streaming_response(); }
  bool wants_cache_fills() const override { return inner_->wants_cache_fills(); }
  void fill_cache(const std::string& key, const std::string& value) override {
    inner_->fill_cache(key, value);
  }
  void invalidate(const std::string& key) override { inner_->invalidate(key); }

  // Sends the queued attempts. A server that is leaving gets none of them: stop_sending_at() is passed on to
  // the inner upstream, which checks it for each attempt before its first byte is written.
  void release() {
    auto held = std::exchange(held_, {});
    for (Held& one : held) forward(std::move(one));
  }
  std::size_t held() const { return held_.size(); }

 private:
  struct Held {
    engine::AttemptId attempt;
    std::shared_ptr<const engine::Message> message;
    Time expires, begin_by;
  };
  void forward(Held one) { inner_->send(one.attempt, std::move(one.message), one.expires, one.begin_by); }

  std::unique_ptr<engine::Upstream> inner_;
  std::function<bool()> may_send_;
  std::deque<Held> held_;
};

}  // namespace streampick::plugin
