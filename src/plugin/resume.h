// What to make of a host that stood still: stopped by a signal or a debugger, or asleep with its laptop. No
// I/O.
//
// A pause shows as a timer that is served long after it was due, while the loop had nothing else to do. Time
// that passed so is no time in which servers were slow: it is taken out of the time that the decisions see,
// so that no copies go out for timers that fell due all at once and no server is thought ill. Clients'
// deadlines are real and are not moved.
//
// After a pause nothing new is sent before the list of servers has been read again, since servers may have
// been told to go meanwhile; news that was written to us during the pause counts as told when it was written.
// Where the list can't be had within a bound the old one is used, as it is whenever it is out of reach.
#pragma once

#include <algorithm>
#include <cstdint>

namespace streampick::plugin {

class Resume {
 public:
  struct Settings {
    long long least = 150'000;  // us late, from which on it was a pause; a busy machine is late by less
    long long hold = 500'000;   // us; the longest that new attempts wait for the list
  };
  explicit Resume(const Settings& settings) : settings_(settings) {}
  Resume() : Resume(Settings{}) {}

  // The loop came to life at `now`, having waited for `due` at the latest; both in real us. Returns by how
  // much it stood still; 0: not at all.
  long long woke(long long now, long long due) {
    if (due <= 0 || now - due < settings_.least) return 0;
    const long long length = now - due;
    ++pauses_;
    skipped_ += length;
    hold(now);
    return length;
  }
  // Nothing new goes out before the list has been read: after a pause, or a rest (rest.h).
  void hold(long long now) {
    hold_until_ = now + settings_.hold;
    holding_ = true;
  }
  // The list was read after the pause: a whole one, or the watch told again where it stands.
  void list_read() { holding_ = false; }
  // Whether a new attempt may go out now.
  bool may_send(long long now) {
    if (holding_ && now >= hold_until_) holding_ = false;
    return !holding_;
  }
  long long hold_until() const { return holding_ ? hold_until_ : 0; }
  long long skipped() const { return skipped_; }  // us, in all
  std::uint64_t pauses() const { return pauses_; }

 private:
  Settings settings_;
  long long skipped_ = 0, hold_until_ = 0;
  std::uint64_t pauses_ = 0;
  bool holding_ = false;
};

}  // namespace streampick::plugin
