/// \file
/// The engine's side towards servers: an Upstream sends attempts to one server and reports how each ended.
/// All calls are made on the engine's thread. Times are points on the engine's clock, in microseconds.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "engine/message.h"

namespace streampick::engine {

/// Receives the outcomes of attempts.
class AttemptObserver {
 public:
  virtual ~AttemptObserver() = default;
  /// Called once for each attempt that was not cancelled, never from within Upstream::send().
  virtual void on_attempt_ended(AttemptId attempt, Outcome outcome, Answer answer) = 0;
  /// Called right before the first byte of an attempt is written, and before writing resumes after a partial
  /// write. Returns the latest deadline that may be sent to the server, or nothing if no byte may be written
  /// because the client has disconnected or the request is finished. The attempt then ends as not sent.
  virtual std::optional<Time> may_write(AttemptId /*attempt*/) { return kNever; }
};

enum class CancelReason : std::uint8_t {
  no_longer_needed,  ///< the request is finished; the response may well be on its way
  timed_out,         ///< no response arrived in time
};

/// Connections to one server, in one protocol.
class Upstream {
 public:
  virtual ~Upstream() = default;
  /// `address` is "host:port". Connections to a former address take no new attempt.
  virtual void set_address(const std::string& address) = 0;
  /// Starts an attempt. The server may begin it only before `begin_by`: bytes that have not reached it by
  /// then are not sent any more. The response is not waited for beyond `expires`.
  virtual void send(AttemptId attempt, std::shared_ptr<const Message> message, Time expires,
                    Time begin_by) = 0;
  /// Stops an attempt; no outcome is reported.
  virtual void cancel(AttemptId attempt, CancelReason reason) = 0;
  /// Stops an attempt of which no byte was written, for instance while its connection is being established.
  /// Returns whether it did; then no outcome is reported.
  virtual bool cancel_unsent(AttemptId attempt) = 0;
  /// Closes idle connections that were last used at `unused_since` or earlier.
  virtual void close_idle(Time unused_since) = 0;
  /// Returns whether there was an idle connection to close.
  virtual bool close_oldest_idle() = 0;
  /// Whether a response body is still being streamed. Its attempt ended with the first byte.
  [[nodiscard]] virtual bool has_streaming_response() const { return false; }
  /// Whether the router must store values from the origin at this cache server after a miss there.
  [[nodiscard]] virtual bool wants_cache_fills() const { return false; }
  /// Stores a value, at low priority and within a bounded queue.
  virtual void fill_cache(const std::string& /*key*/, const std::string& /*value*/) {}
  /// Removes the value of a key from the server as soon as possible, since it may be stale.
  virtual void invalidate(const std::string& /*key*/) {}

  /// No request's first byte is written at `time` or later; kNever lifts the limit. At that time attempts
  /// that still wait for a connection end as not sent, so that another server can be tried.
  virtual void stop_sending_at(Time time) { sending_stops_at_ = time; }
  [[nodiscard]] Time sending_stops_at() const { return sending_stops_at_; }

 protected:
  Time sending_stops_at_ = kNever;
};

/// Creates the Upstream of each server.
class UpstreamFactory {
 public:
  virtual ~UpstreamFactory() = default;
  /// `kind`: index of the server's kind in the settings, or kNone.
  virtual std::unique_ptr<Upstream> make(const std::string& name, std::uint32_t kind) = 0;
};

}  // namespace streampick::engine
