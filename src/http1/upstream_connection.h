/// \file
/// One connection to a server. It carries one request at a time.
///
/// The states and their transitions:
///
/// | state      | event                                              | next state                    |
/// | ---------- | -------------------------------------------------- | ----------------------------- |
/// | connecting | connected                                          | idle                          |
/// |            | failed, timed out                                  | closed                        |
/// | idle       | start()                                            | sending                       |
/// |            | bytes or a close while watch_idle() reads          | closed                        |
/// | sending    | last byte of the request written                   | receiving                     |
/// |            | ... after bytes had been received: malformed       | closed                        |
/// |            | write failed, upload truncated, bytes in an upload | closed                        |
/// |            | `begin_by` reached                                 | closed                        |
/// | receiving  | response complete                                  | idle, or closed if not reusable |
/// |            | body too long or too slow to buffer                | streaming                     |
/// |            | drain()                                            | draining                      |
/// |            | `begin_by` reached with bytes undelivered          | closed                        |
/// |            | malformed, broken                                  | closed                        |
/// | draining   | response complete                                  | idle, or closed if not reusable |
/// |            | malformed, broken, drain time over                 | closed                        |
/// | streaming  | response complete                                  | idle, or closed if not reusable |
/// |            | malformed, broken, stalled, reader closed          | closed                        |
/// | any        | close()                                            | closed                        |
#pragma once

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "engine/message.h"
#include "http1/request_writer.h"
#include "http1/response_decoder.h"
#include "http1/response_stream.h"
#include "http1/upstream_attempt.h"
#include "net/tcp.h"

namespace streampick::http1 {

class Upstream;

/// Owned by its Upstream and by its pending operations: after close() it lives until those have ended. It
/// reports to its Upstream by the functions that are declared there for connections.
///
/// From start() to the end of the response the socket is read. An idle connection is not read, so that
/// is_clean() finds bytes that arrive meanwhile; only watch_idle() reads it, to notice that the server closes
/// it.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  /// The connection counts as open in the descriptor budget from here until close().
  explicit UpstreamConnection(Upstream& owner);
  ~UpstreamConnection() = default;
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  /// `timeout` is in microseconds; 0 leaves it to the kernel's connect timeout.
  void connect(const net::tcp::endpoint& server, Time timeout);
  /// Sends the request of an attempt on an idle connection and waits for the response.
  void start(UpstreamAttempt attempt, Time now);
  /// Cancels the attempt, and reads and discards its response for up to `max_wait` microseconds so that the
  /// connection can be used again. Requires can_drain().
  void drain(Time max_wait);
  /// Closes the connection and reports nothing to the owner. A streamed response is truncated.
  void close();

  /// Whether the request was written completely and is a read, so that its response may be discarded.
  bool can_drain() const;
  /// Whether neither bytes nor a close arrived on an idle connection since the last response. Such bytes
  /// (garbage or a second response) belong to no request and would be taken for the response to the next one.
  bool is_clean();
  /// Reads an idle connection from now on, to notice that the server closes it. Returns false if it is not
  /// clean.
  bool watch_idle();

  const std::optional<UpstreamAttempt>& attempt() const { return attempt_; }
  const net::tcp::endpoint& server() const { return server_; }
  /// When the last response ended, or the connection was established; 0 before that.
  Time last_used() const { return last_used_; }
  void mark_used(Time now) { last_used_ = now; }
  /// When the last response ended; 0 if there was none.
  Time last_response_at() const { return last_response_at_; }
  /// When the last request was started.
  Time request_started_at() const { return request_started_at_; }
  /// Whether a byte has arrived since the last request was started.
  bool has_received() const { return has_received_; }

 private:
  enum class State : std::uint8_t { connecting, idle, sending, receiving, draining, streaming, closed };
  using Handler = void (UpstreamConnection::*)();
  static constexpr std::size_t kReadBufferSize = std::size_t{16} * 1024;

  void on_connect_ended(bool connected);
  void close_socket();

  void subscribe_to_upload();
  void watch_begin_deadline();
  void on_begin_deadline();
  void write_request();
  void wait_writable();
  bool may_resume_writing() const;
  void fail_write_soon();
  void on_write_failed();
  void on_request_written();

  void read();
  void on_read(const net::error_code& error, std::size_t size);
  void on_early_bytes();
  void on_disconnected();
  void decode(std::string_view bytes);
  bool on_head();
  bool buffer_long_body(std::uint64_t length);
  bool buffer_short_body(std::size_t length);
  bool buffer_body_of_unknown_length();
  bool on_body();
  bool is_too_soon_after_another() const;
  void on_malformed(const std::string& reason);
  void on_response_complete(bool reusable);
  void finish(Outcome outcome, engine::Answer answer, bool reusable);

  void stream_after(Time wait);
  bool start_streaming();
  std::function<void()> make_posted_callback(Handler handler);
  bool forward_body();
  void resume_reading();
  void on_reader_closed();
  void watch_for_stall();
  void end_stream(engine::BodyStream::State state);
  void truncate_stream(const std::string& reason);
  void on_stream_complete(bool reusable);

  Upstream* owner_;  // null once the connection is closed
  State state_ = State::connecting;
  net::tcp::endpoint server_;
  net::tcp::socket socket_;
  // For the connect timeout, `begin_by`, the buffering time, drain time or stall check, of which only one
  // runs at a time.
  boost::asio::steady_timer timer_;
  std::optional<UpstreamAttempt> attempt_;
  RequestWriter writer_;
  ResponseDecoder decoder_;
  engine::MemoryReservation body_memory_;   // for a long body that is buffered
  engine::MemoryReservation short_memory_;  // for a short one
  ResponseStream stream_;
  Time last_used_ = 0;
  Time last_response_at_ = 0;
  Time request_started_at_ = 0;
  bool has_received_ = false;
  bool received_early_ = false;  // bytes arrived while the request was being written
  bool disconnected_ = false;    // the server closed the connection while the request was being written
  bool reading_ = false;         // a read is pending
  std::array<char, kReadBufferSize> buffer_;
};

}  // namespace streampick::http1
