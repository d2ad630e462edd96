// One server's entry in etcd: a key under a lease that is kept alive, so that it goes when the server dies;
// marked as draining before the server stops, and taken out by revoking the lease. No I/O: what is asked of
// etcd and what comes back pass through here.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "streampick/router.h"

namespace streampick::etcd {

struct RegistrationSettings {
  long long ttl_s = 5;  // of the lease: how long after its last word a dead server's key stays
  Time retry_first = 200'000, retry_most = 2'000'000;
};

class RegistrationActions {
 public:
  virtual ~RegistrationActions() = default;
  virtual void grant(long long ttl_s) = 0;
  // The entry under the lease; `draining`: with the phase terminating.
  virtual void put(std::int64_t lease, bool draining) = 0;
  virtual void keep_alive(std::int64_t lease) = 0;
  virtual void revoke(std::int64_t lease) = 0;
};

class Registration {
 public:
  enum class State : std::uint8_t { waiting, granting, putting, registered, revoking, ended };

  Registration(const RegistrationSettings& settings, RegistrationActions& actions)
      : settings_(settings), actions_(actions), retry_(settings.retry_first) {}

  void start(Time now) { grant(now); }
  // From here on the entry says draining; one that is not there yet begins so.
  void drain(Time now) {
    if (draining_ || state_ == State::revoking || state_ == State::ended) return;
    draining_ = true;
    if (state_ == State::putting) again_ = true;
    if (state_ == State::registered) put(now);
  }
  // Takes the entry out, and ends.
  void end(Time now) {
    if (state_ == State::revoking || state_ == State::ended) return;
    if (lease_ == 0) {
      // One that is being granted has no key yet; it runs out by itself.
      state_ = State::ended;
      return;
    }
    state_ = State::revoking;
    due_ = now + kAnswer;
    actions_.revoke(lease_);
  }

  void granted(Time now, std::int64_t lease) {
    if (state_ != State::granting) return;
    lease_ = lease;
    heard_ = now;
    put(now);
  }
  void was_put(Time now) {
    if (state_ != State::putting) return;
    retry_ = settings_.retry_first;
    if (std::exchange(again_, false)) return put(now);
    state_ = State::registered;
    due_ = now + beat();
  }
  // `ttl_s` 0: there is no such lease any more, nor its key.
  void kept(Time now, long long ttl_s) {
    if (state_ != State::registered && state_ != State::putting) return;
    if (ttl_s <= 0) {
      lease_ = 0;
      ++lost_;
      return grant(now);
    }
    heard_ = now;
    if (state_ == State::registered) due_ = now + beat();
  }
  void revoked() {
    if (state_ == State::revoking) state_ = State::ended;
  }
  // What was asked last failed, or its connection did.
  void failed(Time now) {
    if (state_ == State::revoking) {
      state_ = State::ended;  // it runs out by itself
      return;
    }
    if (state_ == State::ended) return;
    wait(now);
  }

  void on_time(Time now) {
    if (now < due_) return;
    switch (state_) {
      case State::waiting:
        // The lease may have outlived the trouble: then its key is there still, and only the word is due.
        if (lease_ != 0 && now - heard_ < settings_.ttl_s * 1'000'000) return put(now);
        lease_ = 0;
        return grant(now);
      case State::granting:
      case State::putting:
      case State::revoking: return failed(now);
      case State::registered: due_ = now + beat(); return actions_.keep_alive(lease_);
      case State::ended: return;
    }
  }
  Time next_time() const { return state_ == State::ended ? kNever : due_; }

  State state() const { return state_; }
  bool draining() const { return draining_; }
  std::uint64_t lost() const { return lost_; }  // leases that ran out

 private:
  static constexpr Time kAnswer = 1'000'000;
  Time beat() const { return std::max<Time>(100'000, settings_.ttl_s * 1'000'000 / 3); }
  void grant(Time now) {
    state_ = State::granting;
    due_ = now + kAnswer;
    actions_.grant(settings_.ttl_s);
  }
  void put(Time now) {
    state_ = State::putting;
    due_ = now + kAnswer;
    actions_.put(lease_, draining_);
  }
  void wait(Time now) {
    state_ = State::waiting;
    due_ = now + retry_;
    retry_ = std::min(2 * retry_, settings_.retry_most);
  }

  RegistrationSettings settings_;
  RegistrationActions& actions_;
  State state_ = State::waiting;
  bool draining_ = false, again_ = false;
  std::int64_t lease_ = 0;
  std::uint64_t lost_ = 0;
  Time due_ = 0, heard_ = 0, retry_;
};

}  // namespace streampick::etcd
