/// \file
/// A client connection of the RESP front.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "engine/downstream.h"
#include "net/tcp.h"
#include "resp/conversation.h"
#include "resp/front.h"

namespace streampick::resp {

/// Reads commands from the socket, passes them to the Conversation, submits the requests that it makes of
/// them to the engine, and writes the replies.
class RespFront::Session final : public engine::ResponseSink, public std::enable_shared_from_this<Session> {
 public:
  Session(RespFront& owner, net::tcp::socket socket, std::int64_t id);
  void set_position(Sessions::iterator position) { position_ = position; }

  void respond(std::uint64_t tag, engine::Response reply) override;

  /// Bytes that the event loop has just read without a delay show that the client was there a moment ago, so
  /// that no system call is needed.
  bool client_gone() override;

  /// Reads and answers as much as possible. Must not be called from within a call of the engine.
  void process();
  /// The front can take further requests: continues after is_waiting_for_capacity().
  void on_capacity();

  /// Closes the connection, and cancels its open requests.
  void close();
  /// Closes the connection without a call to the front, which is being destroyed.
  void detach();

  bool has_no_pending_work() const;
  /// Whether nothing is unanswered, including unread bytes and a first command that may be in transit.
  bool is_idle() const { return has_no_pending_work() && !has_unread_bytes() && !awaits_first_command(); }
  bool has_unread_bytes() const;
  bool lingering() const { return lingering_; }
  bool is_waiting_for_capacity() const { return waiting_for_capacity_; }
  Time since() const { return since_; }

  /// Answers the commands that have been received so far, including unread bytes in the kernel, and then ends
  /// the connection. Bytes that arrive later are not read.
  void stop_reading();
  /// Closes the connection if its client has disconnected or a time limit has passed.
  void check(Time now);

 private:
  bool awaits_first_command() const;

  // Whether a command has arrived in part, and the rest does not arrive or arrives too slowly.
  bool command_overdue(Time now) const;
  void abandon_command(const std::string& error);

  // Records when the partly received command began, after `used` bytes were read that completed `commands`
  // commands.
  void track_partial_command(std::size_t used, std::uint64_t commands);
  bool hung_up();
  bool may_read() const;
  void schedule_processing();

  // Repeats because the answer to one request can release the next command on its key.
  void submit_all();
  void process_unconsumed();

  // Passes bytes to the conversation, and returns how many of them it consumed.
  std::size_t consume(std::string_view bytes);
  bool reject_early(const KeyRequest& request, std::uint32_t request_class);
  engine::IncomingRequest to_incoming(KeyRequest request, std::uint32_t request_class);
  void submit(KeyRequest request);
  void update_unwritten();

  // Returns whether there may be more to read at once.
  bool read();
  void write();
  void write_output();

  // Waits for the next bytes, or ends the connection if nothing is left to do.
  void wait_or_close();
  bool has_read_all() const { return stopping_ && bytes_to_read_ == 0 && unconsumed_.empty(); }

  // Ends a connection whose client is still connected. Closing a socket with unread bytes would reset the
  // connection, and the client could lose its last replies. So the socket is shut down for writing, and
  // further bytes are read and dropped, within limits. No command among them runs, so the client can safely
  // send them elsewhere.
  void begin_lingering();
  void wait();
  void readable();

  RespFront* owner_;  // nullptr once it is closed
  net::tcp::socket socket_;
  Conversation conversation_;
  std::string unconsumed_;  // read but not consumed yet
  std::string out_;
  std::size_t written_ = 0, counted_requests_ = 0, discarded_ = 0;
  std::size_t bytes_to_read_ = 0;                      // bytes left to read after stop_reading()
  std::unordered_map<std::uint64_t, RequestId> open_;  // by tag
  Time since_;                                         // when bytes arrived last, or when lingering began
  Time write_since_ = 0;
  Time partial_since_ = 0;         // when the first byte of a partly received command arrived; 0: none
  std::size_t partial_bytes_ = 0;  // of that command
  Sessions::iterator position_;
  bool waiting_ = false, writing_ = false, posted_ = false, waiting_for_capacity_ = false, stopping_ = false;
  bool lingering_ = false;
  bool in_read_handler_ = false;  // the handler of a wait for the socket is running
};

}  // namespace streampick::resp
