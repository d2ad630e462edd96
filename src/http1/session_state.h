/// \file
/// The states of a client connection, and the connections in each.
///
/// | state | waits for | leaves to | time limit |
/// | --- | --- | --- | --- |
/// | accepted | the first request's head | reading_body, processing, responding | kRequestHeadTimeout |
/// | idle | a further request | reading_head | overload::KeepAlivePolicy::idle_timeout() |
/// | reading_head | the rest of a further request's head | reading_body, processing, responding |
/// kRequestHeadTimeout | | reading_body | the rest of a buffered body | processing, uploading, responding |
/// kBodyStallTimeout, rate | | uploading | the rest of a body that the engine reads | processing, responding
/// | as reading_body, unless paused | | processing | the engine's response | responding | the engine's
/// deadline | | responding | the socket, or a streamed body | idle, lingering | kResponseStallTimeout | |
/// lingering | the client's close | (closed) | kLingerTimeout |
///
/// A request with an error goes to responding from any state in which it is received. An error or close of
/// the client's side closes the connection in any state. A message that was read in one piece passes the
/// states between within one call.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

namespace streampick::http1 {

class ClientSession;

enum class SessionState : std::uint8_t {
  accepted,
  idle,
  reading_head,
  reading_body,
  uploading,
  processing,
  responding,
  lingering,
};

/// Owns the open sessions: one list a state, in the order in which they entered it, so that the one that has
/// been there longest is found at once.
class SessionLists {
 public:
  using List = std::list<std::shared_ptr<ClientSession>>;
  using Position = List::iterator;

  [[nodiscard]] const List& in(SessionState state) const { return lists_[index(state)]; }
  [[nodiscard]] const std::array<List, 8>& all() const { return lists_; }
  Position insert(SessionState state, std::shared_ptr<ClientSession> session) {
    List& list = lists_[index(state)];
    return list.insert(list.end(), std::move(session));
  }
  /// To the end of the list of `to`. The position stays valid.
  void move(Position position, SessionState from, SessionState to) {
    List& target = lists_[index(to)];
    target.splice(target.end(), lists_[index(from)], position);
  }
  void erase(Position position, SessionState state) { lists_[index(state)].erase(position); }

  /// Sessions that have sent at least one request and do not linger.
  [[nodiscard]] std::size_t active() const {
    std::size_t count = 0;
    for (const SessionState state :
         {SessionState::idle, SessionState::reading_head, SessionState::reading_body, SessionState::uploading,
          SessionState::processing, SessionState::responding}) {
      count += in(state).size();
    }
    return count;
  }

 private:
  static constexpr std::size_t index(SessionState state) { return static_cast<std::size_t>(state); }
  std::array<List, 8> lists_;
};

}  // namespace streampick::http1
