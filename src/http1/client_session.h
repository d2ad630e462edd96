/// \file
/// One client connection: receives requests, hands them to the engine, and writes the responses in order.
///
/// The socket is read in nearly every state, so that a disconnect is noticed while a request is in progress.
/// Pipelined bytes wait in a ReadAheadBuffer. The states are listed in session_state.h.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http1/client_backlog.h"
#include "http1/client_limits.h"
#include "http1/read_ahead_buffer.h"
#include "http1/reader.h"
#include "http1/response_writer.h"
#include "http1/server_context.h"
#include "http1/streamed_upload.h"

namespace streampick::http1 {

class ClientSession final : public engine::ResponseSink, public std::enable_shared_from_this<ClientSession> {
 public:
  using State = SessionState;

  ClientSession(ServerContext& server, net::tcp::socket socket);

  /// Starts to read. `position` is this session's place in the list of State::accepted.
  void start(SessionLists::Position position);

  // ---- engine::ResponseSink
  void respond(std::uint64_t tag, engine::Response response) override;
  bool client_gone() override;
  Time sending_at() override;

  // ---- For the server

  /// When the present state was entered; in the states of one message, when that message began.
  [[nodiscard]] Time since() const { return since_; }
  [[nodiscard]] bool has_unread_bytes() const;
  /// Whether the connection is idle and has unread bytes, which may be a further request.
  [[nodiscard]] bool has_unread_request() const { return state_ == State::idle && has_unread_bytes(); }
  /// Whether the client has disconnected while the socket is not read, so that no read reports it.
  [[nodiscard]] bool has_disconnected_unseen();
  /// Whether a body arrives more slowly than clients may send, or has stalled.
  [[nodiscard]] bool is_too_slow(Time now) const;
  /// Called when the time limit of the present state has passed. Unread bytes count as having arrived in
  /// time: the session then goes on. Returns whether the connection is being ended.
  bool time_out();
  /// Ends the connection by an orderly close if no request is in progress.
  void close_if_idle();
  /// Closes at once, cancels the request in progress and leaves the session lists.
  void close();
  /// Called when the server is being destroyed: closes the socket and no longer uses the server.
  void detach();

 private:
  [[nodiscard]] bool is_closed() const { return server_ == nullptr; }
  [[nodiscard]] bool has_disconnected();
  [[nodiscard]] bool is_receiving() const;
  [[nodiscard]] bool is_silent() const { return read_ahead_.empty() && !parser_->got_some(); }
  [[nodiscard]] bool may_read() const;
  void enter(State state);
  void enter_within_message(State state);
  void time_out_request();

  // Receiving: client_session.cpp
  void wait_for_bytes();
  void on_read(net::error_code error, std::size_t count);
  void on_bytes(std::size_t count);
  void discard_lingering(std::size_t count);
  void keep_pipelined(std::string_view bytes);
  void parse_received(std::string_view bytes);
  void parse_read_ahead();

  // Requests: client_session_requests.cpp
  void prepare_for_message();
  std::size_t parse(std::string_view bytes);
  bool accept_head();
  bool shed_load();
  void on_body_bytes(std::size_t count);
  void on_message_complete();
  void on_message_incomplete();
  bool may_buffer_body();
  [[nodiscard]] std::size_t kept_bytes() const;
  [[nodiscard]] bool reserve_kept_bytes(std::size_t more = 0);
  void update_kept_reservation();
  void send_continue();
  void handle_request();
  void answer_health_check();
  void start_upload();
  std::shared_ptr<engine::BodyStream> open_upload();
  void continue_upload();
  [[nodiscard]] bool has_left_during_upload();
  void write_upload();
  void on_upload_writable();
  [[nodiscard]] bool is_client_sending() const;
  [[nodiscard]] bool has_unsent_body() const;
  void cancel_upload();

  // Responses: client_session_responses.cpp
  void fail(RequestError error);
  void fail_parsing(const net::error_code& error);
  void reject_without_memory();
  void send(OutgoingResponse response);
  void release_body();
  void decide_persistence();
  void write_response();
  void wait_until_writable();
  void on_response_written();
  void on_read_ahead_overflow();

  // Closing: client_session.cpp
  void close_truncated();
  void close_soon();
  void leave();

  ServerContext* server_;  // null once the session is closed
  net::tcp::socket socket_;
  State state_ = State::accepted;
  Time since_;
  SessionLists::Position position_;

  // Receiving
  ReadAheadBuffer read_ahead_;
  std::size_t lingering_discarded_ = 0;
  bool is_reading_ = false;      // a read is pending
  bool is_prompt_read_ = false;  // the bytes being handled were read as soon as the event loop reported them
  bool is_caught_up_ = false;    // all bytes that had arrived were read, and a read has been pending since
  Time caught_up_at_ = 0;        // since when, if is_caught_up_
  bool has_pipelined_bytes_ = false;  // unparsed bytes follow the request in progress
  std::array<char, kClientReadChunk> chunk_;

  // The request in progress
  RequestHead head_;
  std::string body_;
  std::optional<RequestReader> parser_;
  engine::MemoryReservation body_reservation_;  // of body_, if it is long
  std::size_t message_bytes_ = 0;               // of the request that the engine has, if its body is short
  engine::MemoryReservation kept_reservation_;  // of kept_bytes()
  StreamedUpload upload_;
  ClientBacklog backlog_;
  Time upload_paused_at_ = 0;
  std::size_t body_bytes_ = 0;  // received since the head was complete
  Time last_body_bytes_at_ = 0;
  Time sending_at_ = 0;    // when the client was last known to be still sending the request
  RequestId request_ = 0;  // the engine's id; 0: none
  bool head_checked_ = false;
  bool continue_sent_ = false;

  // The response in progress
  ResponseWriter writer_;
  std::size_t response_count_ = 0;
  bool closes_after_response_ = false;
  bool body_abandoned_ = false;  // the rest of a body may still arrive: it must not be parsed as a request
};

}  // namespace streampick::http1
