// Keeps one server's entry in etcd: a key under a lease that is kept alive, so that the key is removed when
// the server dies. Before the server stops, the entry is marked as draining; revoking the lease removes it.
// No I/O: the class issues requests through RegistrationActions and is told their results.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "streampick/router.h"

namespace streampick::etcd {

struct RegistrationSettings {
  long long ttl_s = 5;  // of the lease: a dead server's key stays this long after its last keep-alive
  Time retry_first = 200'000, retry_most = 2'000'000;  // us, first and longest delay between two attempts
};

class RegistrationActions {
 public:
  virtual ~RegistrationActions() = default;
  virtual void grant(long long ttl_s) = 0;
  // Writes the entry under the lease; `draining`: with the phase "terminating".
  virtual void put(std::int64_t lease, bool draining) = 0;
  virtual void keep_alive(std::int64_t lease) = 0;
  virtual void revoke(std::int64_t lease) = 0;
};

class Registration {
 public:
  enum class State : std::uint8_t { waiting, granting, putting, registered, revoking, ended };

  Registration(const RegistrationSettings& settings, RegistrationActions& actions)
      : settings_(settings), actions_(actions), retry_delay_(settings.retry_first) {}

  void start(Time now) { grant(now); }
  // Marks the entry as draining, now or when it is first written.
  void drain(Time now) {
    if (draining_ || state_ == State::revoking || state_ == State::ended) return;
    draining_ = true;
    if (state_ == State::putting) put_again_ = true;
    if (state_ == State::registered) put(now);
  }
  // Removes the entry and ends the registration.
  void end(Time now) {
    if (state_ == State::revoking || state_ == State::ended) return;
    if (lease_ == 0) {
      // A lease that is being granted has no key yet and expires by itself.
      state_ = State::ended;
      return;
    }
    state_ = State::revoking;
    next_time_ = now + kRequestTimeout;
    actions_.revoke(lease_);
  }

  void granted(Time now, std::int64_t lease) {
    if (state_ != State::granting) return;
    lease_ = lease;
    lease_confirmed_at_ = now;
    put(now);
  }
  void was_put(Time now) {
    if (state_ != State::putting) return;
    retry_delay_ = settings_.retry_first;
    if (std::exchange(put_again_, false)) return put(now);
    state_ = State::registered;
    next_time_ = now + keep_alive_interval();
  }
  // `ttl_s` 0: the lease and its key no longer exist.
  void kept(Time now, long long ttl_s) {
    if (state_ != State::registered && state_ != State::putting) return;
    if (ttl_s <= 0) {
      lease_ = 0;
      ++lost_;
      return grant(now);
    }
    lease_confirmed_at_ = now;
    if (state_ == State::registered) next_time_ = now + keep_alive_interval();
  }
  void revoked() {
    if (state_ == State::revoking) state_ = State::ended;
  }
  // The last request or its connection failed.
  void failed(Time now) {
    if (state_ == State::revoking) {
      state_ = State::ended;  // the lease expires by itself
      return;
    }
    if (state_ == State::ended) return;
    retry_later(now);
  }

  void on_time(Time now) {
    if (now < next_time_) return;
    switch (state_) {
      case State::waiting:
        // The lease may have outlived the failure. Then its key still exists and is only written again.
        if (lease_ != 0 && now - lease_confirmed_at_ < settings_.ttl_s * 1'000'000) return put(now);
        lease_ = 0;
        return grant(now);
      case State::granting:
      case State::putting:
      case State::revoking: return failed(now);
      case State::registered: next_time_ = now + keep_alive_interval(); return actions_.keep_alive(lease_);
      case State::ended: return;
    }
  }
  Time next_time() const { return state_ == State::ended ? kNever : next_time_; }

  State state() const { return state_; }
  bool draining() const { return draining_; }
  std::uint64_t lost() const { return lost_; }  // leases that expired

 private:
  static constexpr Time kRequestTimeout = 1'000'000;  // us
  Time keep_alive_interval() const { return std::max<Time>(100'000, settings_.ttl_s * 1'000'000 / 3); }
  void grant(Time now) {
    state_ = State::granting;
    next_time_ = now + kRequestTimeout;
    actions_.grant(settings_.ttl_s);
  }
  void put(Time now) {
    state_ = State::putting;
    next_time_ = now + kRequestTimeout;
    actions_.put(lease_, draining_);
  }
  void retry_later(Time now) {
    state_ = State::waiting;
    next_time_ = now + retry_delay_;
    retry_delay_ = std::min(2 * retry_delay_, settings_.retry_most);
  }

  RegistrationSettings settings_;
  RegistrationActions& actions_;
  State state_ = State::waiting;
  bool draining_ = false, put_again_ = false;
  std::int64_t lease_ = 0;
  std::uint64_t lost_ = 0;
  Time next_time_ = 0, lease_confirmed_at_ = 0, retry_delay_;
};

}  // namespace streampick::etcd
