// One client's RESP connection without its socket: bytes in, requests for the engine and replies out. Replies
// leave in the order of their commands, however the attempts behind them end. No I/O, no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "engine/downstream.h"
#include "resp/commands.h"
#include "resp/decode.h"
#include "resp/encode.h"
#include "resp/info.h"

namespace streampick::resp {

struct User {
  std::string name, password;
  std::string tenant;  // of all its requests; empty: none
};

// What all conversations of a front share. Set once.
struct FrontRules {
  TableSettings table;
  std::vector<User> users;    // none: nobody need say who he is
  std::string tenant;         // of those who don't say; empty: none
  std::size_t pipeline = 64;  // requests of one connection whose answers are not written yet, about
  std::size_t replies = 256;  // commands of one connection whose replies are not written yet
  std::size_t longest_value = 64 * 1024;
  std::function<Figures()> figures = [] { return Figures{}; };  // of the front, for INFO
};

// A request for the engine. The tag comes back with its answer.
struct Ask {
  std::uint64_t tag = 0;
  const Command* command = nullptr;
  Part part;
  std::string id, idempotency_key;  // empty: the front's to choose
  std::string tenant;               // empty: none
  Time patience = 0;                // 0: the class's
};

class Conversation {
 public:
  Conversation(const FrontRules& rules, std::int64_t id);

  // Reads commands until the bytes are used up or there is enough to answer; returns how many it used. What
  // was used is taken: each command gets its reply.
  std::size_t put(std::string_view bytes);
  // Whether put() would use anything now.
  bool wants_more() const;
  std::vector<Ask> take_asks() { return std::exchange(asks_, {}); }

  void answered(std::uint64_t tag, engine::Response reply);
  // The id that the ask named is open: nothing ran.
  void id_is_open(std::uint64_t tag);

  // Bytes to write, in order. Their answers count as unwritten until written() is told.
  std::string take_output();
  bool has_output() const { return !output_.empty(); }
  void written();

  // Nothing more is read: the framing is lost, or the client said so. Once its output is written the
  // connection ends.
  bool over() const { return over_; }
  bool lost() const { return decoder_.failed() || foreign_; }  // the client could not be understood
  // It speaks HTTP: a page in a browser can be made to send such bytes to any port. Nothing of it is run.
  bool foreign() const { return foreign_; }
  std::size_t open_requests() const { return open_parts_; }
  std::size_t unwritten() const { return unwritten_parts_; }
  bool at_rest() const { return !parked_ && slots_.empty() && output_.empty() && unwritten_parts_ == 0; }
  bool half_asked() const { return !decoder_.at_rest(); }
  /// Ends the conversation in the midst of a command: behind the replies to all before it the client is told
  /// the error, and nothing more is read.
  void abandon_command(const std::string& error);
  Version version() const { return version_; }
  std::uint64_t commands() const { return next_slot_; }

 private:
  struct Slot {
    const Command* command = nullptr;  // none: the reply is `value` as it stands
    Version version = Version::resp2;
    bool has_key = false;  // the client told a KEY
    std::size_t left = 0;  // parts without an answer
    std::vector<Value> parts;
    std::vector<bool> answered;       // by part
    std::vector<std::uint64_t> keys;  // by part, as hashes
    std::vector<engine::MemoryReservation> leases;
    Value value;
  };
  // What is open on a key. A command on a key waits for an earlier one when either of them writes it: a
  // client that pipelines a write and a read expects to read what it wrote.
  struct OnKey {
    std::size_t reads = 0, writes = 0;
  };

  void take(Value command);
  void admit(Plan planned, const std::string& tenant);
  bool conflicts(const Plan& planned) const;
  void local(Plan plan);
  Value hello(const std::vector<std::string>& words);
  Value client(const std::vector<std::string>& words);
  Value authenticate(const std::string& name, const std::string& password);
  void reply(Value value);
  void set(std::uint64_t tag, Value value, engine::MemoryReservation reservation);
  void flush();
  std::string who(const Told& told, std::string& tenant) const;

  const FrontRules& rules_;
  std::int64_t id_;
  Decoder decoder_;
  Version version_ = Version::resp2;
  std::string name_;
  const User* user_ = nullptr;
  Time patience_ = 0;
  std::deque<Slot> slots_;
  std::uint64_t first_slot_ = 0, next_slot_ = 0;
  std::unordered_map<std::uint64_t, OnKey> keys_;
  struct Parked {
    Plan planned;
    std::string tenant;
  };
  std::optional<Parked> parked_;  // waits for what is open on its keys; nothing is read past it
  std::vector<Ask> asks_;
  std::string output_;
  std::vector<engine::MemoryReservation> output_leases_, written_leases_;
  std::size_t open_parts_ = 0, unwritten_parts_ = 0;
  std::size_t output_parts_ = 0, writing_parts_ = 0;
  bool over_ = false, foreign_ = false;
};

}  // namespace streampick::resp
