// The protocol state of one connection to a RESP server, without its socket: turns commands into bytes to
// write, and received bytes into outcomes of attempts. RESP matches replies to commands by order alone, so
// the pipeline tracks written bytes and expected replies exactly. No I/O, no clock.
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
  bool send_ids = false;                    // the server supports ROUTE and receives ids, keys and deadlines
  std::size_t longest_value = 1024 * 1024;  // bytes of a value in a reply
  std::int64_t store_ms = 0;                // expiry of values that fill a cache; 0: none
};

struct AttemptResult {
  engine::AttemptId attempt;
  Outcome outcome = Outcome::error;
  engine::Answer answer = {};
};

// Interprets the reply of a server to a command. `options`: the command was sent with the client's own
// arguments, such as SET with NX or GET. `null_is_miss`: the server is a cache, so a value that it lacks may
// exist elsewhere.
AttemptResult interpret_reply(engine::AttemptId attempt, const Command* command, bool options, Value reply,
                              bool null_is_miss);
// Classifies an error reply of a server by its first word. The table is in docs/resp.md.
Outcome outcome_of_error(std::string_view text);

class Pipeline {
 public:
  enum class State : std::uint8_t { greeting, ready, closing, broken };

  Pipeline(const ServerRules& rules, bool null_is_miss);

  // Appends a command to output(). `remaining`: the time in microseconds that the router waits for the reply.
  // `begin_by`: see begin_by().
  void send(engine::AttemptId attempt, const engine::Message& message, Time remaining,
            Time begin_by = kNever);
  // Stores a value in the cache. No attempt waits for the reply.
  void store(const std::string& key, const std::string& value);
  // Removes a value from the cache. No attempt waits for the reply.
  void remove(const std::string& key);

  // The bytes to write next. The caller passes the number of bytes that it wrote to written(), which returns
  // the number of attempts whose commands are now completely written.
  std::string_view output() const { return std::string_view(out_).substr(out_offset_); }
  std::size_t written(std::size_t bytes);
  // Drops the commands of which no byte is written yet; none of them ran. Used when the server drains.
  void drop_unsent();

  /// Attempts of which no byte is written yet, in the order of sending.
  std::vector<engine::AttemptId> unsent() const;
  /// When the last byte of the attempt's command must be written; kNever also for an unknown attempt.
  Time begin_by(engine::AttemptId attempt) const;
  /// The attempt whose command is partly written, if any.
  std::optional<engine::AttemptId> partially_sent() const;

  // Cancels an attempt. If no byte of its command is written, the command is dropped; if all bytes are
  // written, its reply will be ignored. A partly written command can neither be dropped nor completed: the
  // connection then writes nothing more, and ends once all earlier commands are answered.
  void cancel(engine::AttemptId attempt);
  // Drops the command of an attempt if no byte of it is written. Otherwise returns false and changes nothing.
  bool cancel_unsent(engine::AttemptId attempt);

  // Processes received bytes.
  void put(std::string_view bytes);
  // Handles the end of the connection. Completely written commands may have run; the others did not.
  void end();

  std::vector<AttemptResult> take_ended() { return std::exchange(ended_, {}); }
  std::vector<Value> take_pushes() { return decoder_.take_pushes(); }
  State state() const { return state_; }
  bool usable() const { return state_ == State::ready; }
  // Whether the connection takes no new commands and expects no further reply.
  bool finished() const {
    return state_ == State::broken || (state_ == State::closing && written_entries() == 0);
  }
  // Sends no new commands on this connection, because the server asked for it or has moved.
  void close_when_answered() {
    if (state_ == State::ready) state_ = State::closing;
  }
  const std::string& error() const { return error_; }
  std::size_t in_flight() const { return entries_.size(); }  // including replies that no attempt waits for
  std::size_t awaited_replies() const { return awaited_replies_; }
  bool carries_write() const { return writes_ > 0; }
  bool greeted() const { return state_ != State::greeting; }
  Version version() const { return version_; }
  // The number of replies to cancelled attempts since the last call.
  std::uint64_t take_ignored_replies() { return std::exchange(ignored_replies_, 0); }
  bool is_idle() const { return entries_.empty() && decoder_.is_idle(); }
  std::uint64_t pushes() const { return decoder_.pushes(); }

 private:
  enum class Role : std::uint8_t { hello, auth, attempt, store };
  struct Entry {
    Role role = Role::attempt;
    engine::AttemptId attempt;
    const Command* command = nullptr;  // of an attempt; nullptr: a command that the router does not know
    bool write = false, options = false;
    std::uint64_t begin = 0, end = 0;  // byte offsets since the start of the connection
    Time begin_by = kNever;            // the last byte must be written before
    bool cancelled = false;
  };

  Entry& append(Role role, const std::vector<std::string_view>& words);
  void append_greeting(bool use_resp3);
  void on_reply(Value reply);
  void on_greeting_reply(Role role, Value reply);
  void on_entry_removed(const Entry& entry);
  void fail(std::string error);
  void end_entries_from(std::size_t index, Outcome outcome);
  std::size_t written_entries() const;

  const ServerRules* rules_;
  bool null_is_miss_;
  State state_ = State::greeting;
  Version version_ = Version::resp2;
  Decoder decoder_;
  std::deque<Entry> entries_;
  std::deque<Entry>::iterator entry_of(engine::AttemptId attempt);
  std::string out_;
  std::size_t out_offset_ = 0;
  std::uint64_t written_ = 0, appended_ = 0;  // bytes since the start of the connection
  std::size_t awaited_replies_ = 0, writes_ = 0;
  std::uint64_t ignored_replies_ = 0;
  std::vector<AttemptResult> ended_;
  std::string error_;
};

}  // namespace streampick::resp
