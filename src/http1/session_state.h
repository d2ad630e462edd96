/// \file
/// The states of a client connection, and the lists of the sessions in each state.
///
/// | state        | waits for                            | time limit                             |
/// | ------------ | ------------------------------------ | -------------------------------------- |
/// | accepted     | head of the first request            | kRequestHeadTimeout                    |
/// | idle         | a further request                    | KeepAlivePolicy::idle_timeout()        |
/// | reading_head | rest of a further request's head     | kRequestHeadTimeout                    |
/// | reading_body | rest of a buffered body              | kBodyStallTimeout and the minimum rate |
/// | uploading    | rest of a body that the engine reads | as reading_body, unless paused         |
/// | processing   | the engine's response                | the engine's deadline                  |
/// | responding   | the socket, or a streamed body       | kResponseStallTimeout                  |
/// | lingering    | the client's close                   | kLingerTimeout                         |
///
/// | state        | next states                                     |
/// | ------------ | ----------------------------------------------- |
/// | accepted     | reading_body, processing, responding, lingering |
/// | idle         | reading_head, lingering                         |
/// | reading_head | reading_body, processing, responding            |
/// | reading_body | processing, uploading, responding               |
/// | uploading    | processing, responding                          |
/// | processing   | responding                                      |
/// | responding   | idle, lingering                                 |
/// | lingering    | (closed)                                        |
///
/// A request with an error leads to responding from any state in which a request is received. A socket error
/// or a close by the client closes the connection in any state. A message that arrives in one read passes
/// through the states in between within one call.
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

/// Owns the open sessions: one list for each state, in the order in which the sessions entered it, so that
/// the session that has been in a state longest is at the front.
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
  /// Moves a session to the end of the list of `to`. `position` stays valid.
  void move(Position position, SessionState from, SessionState to) {
    List& target = lists_[index(to)];
    target.splice(target.end(), lists_[index(from)], position);
  }
  void erase(Position position, SessionState state) { lists_[index(state)].erase(position); }

  /// The number of sessions that have sent at least one request and do not linger.
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
