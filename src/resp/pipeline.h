// One connection to a RESP server without its socket: commands in, bytes out; bytes in, outcomes out. Replies
// are matched by their order alone, so what was written and what is owed is kept to the byte. No I/O, no
// clock.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "engine/message.h"
#include "resp/commands.h"
#include "resp/decode.h"
#include "resp/encode.h"

namespace streampick::resp {

struct ServerRules {
  std::string user, password;               // empty: no AUTH
  bool send_ids = false;                    // the server reads ROUTE: it is told ids, keys and deadlines
  std::size_t longest_value = 1024 * 1024;  // of a reply
  std::int64_t store_ms = 0;                // life of what is stored back; 0: for good
};

struct Ended {
  engine::AttemptId attempt;
  Outcome outcome = Outcome::error;
  engine::Answer answer = {};
};

// What a server's reply to a command means. `options`: the command went out with words of its own, as SET
// does with NX or GET. `null_is_miss`: the server holds copies, so that what it lacks may exist.
Ended read_reply(engine::AttemptId attempt, const Command* command, bool options, Value reply,
                 bool null_is_miss);
// How an error that a server replied is to be taken: by its first word. The table is in docs/resp.md.
Outcome outcome_of_error(std::string_view text);

class Pipeline {
 public:
  enum class State : std::uint8_t { greeting, ready, closing, broken };

  Pipeline(const ServerRules& rules, bool null_is_miss);

  // Takes a command. Its bytes are in output() from here on. `remaining`: microseconds that the router waits.
  void send(engine::AttemptId attempt, const engine::Message& message, Time remaining);
  // Stores a value: nobody waits for its reply.
  void store(const std::string& key, const std::string& value);
  // Drops a copy, likewise.
  void remove(const std::string& key);

  // Bytes that are to be written, as one run; written() says how many of them were, and returns how many
  // attempts are out whole with them.
  std::string_view output() const { return std::string_view(out_).substr(out_at_); }
  std::size_t written(std::size_t bytes);
  // Takes back what has no byte written yet: none of it ran. For a drain.
  void drop_unsent();

  /// Attempts none of whose bytes are written, in their order.
  std::vector<engine::AttemptId> unsent() const;
  /// The attempt of which a part is written and a part is not.
  std::optional<engine::AttemptId> half_sent() const;

  // Nobody waits for it any more. Its reply is passed over; if none of its bytes are written, none will be.
  // A command of which a part is written can't be taken back nor go on: the connection then takes no further
  // bytes, and ends once what stands before it is answered.
  void forget(engine::AttemptId attempt);
  // The first case of these alone: false, and all stays, where one of its bytes is written.
  bool cancel_unsent(engine::AttemptId attempt);

  // Bytes that came.
  void put(std::string_view bytes);
  // The connection ended: what was written whole may have run, the rest never did.
  void end();

  std::vector<Ended> take_ended() { return std::exchange(ended_, {}); }
  std::vector<Value> take_pushes() { return decoder_.take_pushes(); }
  State state() const { return state_; }
  bool usable() const { return state_ == State::ready; }
  // Nothing more is owed on a connection that takes nothing new.
  bool finished() const { return state_ == State::broken || (state_ == State::closing && sent_whole() == 0); }
  // The server wants nothing new here.
  void close_when_answered() {
    if (state_ == State::ready) state_ = State::closing;
  }
  const std::string& why() const { return why_; }
  std::size_t in_flight() const { return entries_.size(); }  // also of those that nobody waits for
  std::size_t waited_for() const { return waited_for_; }
  bool carries_write() const { return writes_ > 0; }
  bool greeted() const { return state_ != State::greeting; }
  Version version() const { return version_; }
  std::uint64_t take_passed_over() { return std::exchange(passed_over_, 0); }  // replies nobody waited for
  bool at_rest() const { return entries_.empty() && decoder_.at_rest(); }
  std::uint64_t pushes() const { return decoder_.pushes(); }

 private:
  enum class Role : std::uint8_t { hello, auth, attempt, store };
  struct Entry {
    Role role = Role::attempt;
    engine::AttemptId attempt;
    const Command* command = nullptr;  // of an attempt; none: the router does not know it
    bool write = false, options = false;
    std::uint64_t begin = 0, end = 0;  // its place in all that was ever to be written
    bool forgotten = false;
  };

  Entry& offer(Role role, const std::vector<std::string_view>& words);
  void greet(bool three);
  void take(Value reply);
  void greeted_with(Role role, Value reply);
  void leave(const Entry& entry);
  void break_off(std::string why);
  void cut_from(std::size_t index, Outcome outcome);
  std::size_t sent_whole() const;

  const ServerRules* rules_;
  bool null_is_miss_;
  State state_ = State::greeting;
  Version version_ = Version::resp2;
  Decoder decoder_;
  std::deque<Entry> entries_;
  std::deque<Entry>::iterator entry_of(engine::AttemptId attempt);
  std::string out_;
  std::size_t out_at_ = 0;
  std::uint64_t written_ = 0, offered_ = 0;  // bytes, ever
  std::size_t waited_for_ = 0, writes_ = 0;
  std::uint64_t passed_over_ = 0;
  std::vector<Ended> ended_;
  std::string why_;
};

}  // namespace streampick::resp
