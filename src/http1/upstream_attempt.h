/// \file
/// An attempt that is sent to one server, and the queue of attempts that wait for a connection.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <memory>
#include <utility>

#include "engine/message.h"
#include "streampick/router.h"

namespace streampick::http1 {

struct UpstreamAttempt {
  engine::AttemptId id;
  std::shared_ptr<const engine::Message> message;
  Time expires = 0;        ///< when the wait for its response ends
  Time begin_by = kNever;  ///< its last byte must have reached the server before this time
};

/// Attempts that wait for a connection, in order of arrival.
class AttemptQueue {
 public:
  bool empty() const { return attempts_.empty(); }
  std::size_t size() const { return attempts_.size(); }
  /// The attempt that has waited longest.
  const UpstreamAttempt& front() const { return attempts_.front(); }

  void push(UpstreamAttempt attempt) { attempts_.push_back(std::move(attempt)); }
  UpstreamAttempt pop() {
    UpstreamAttempt attempt = std::move(attempts_.front());
    attempts_.pop_front();
    return attempt;
  }
  UpstreamAttempt pop_newest() {
    UpstreamAttempt attempt = std::move(attempts_.back());
    attempts_.pop_back();
    return attempt;
  }
  std::deque<UpstreamAttempt> take_all() { return std::exchange(attempts_, {}); }
  /// Returns whether the attempt was queued.
  bool remove(engine::AttemptId id) {
    return std::erase_if(attempts_, [&](const UpstreamAttempt& queued) { return queued.id == id; }) > 0;
  }

 private:
  std::deque<UpstreamAttempt> attempts_;
};

}  // namespace streampick::http1
