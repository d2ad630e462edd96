// The protocol state of one RESP client connection, without its socket: turns received bytes into requests
// for the engine, and answers of the engine into replies. Replies leave in the order of their commands, in
// whatever order the requests end. No I/O, no clock.
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
  std::string tenant;  // of all requests of this user; empty: none
};

// Settings that all conversations of a front share. Set once at the start.
struct FrontRules {
  TableSettings table;
  std::vector<User> users;  // empty: clients need not authenticate
  std::string tenant;       // of requests that name no tenant; empty: none
  std::size_t pipeline =
      64;  // approximate limit of requests per connection whose replies are not written yet
  std::size_t replies = 256;  // limit of commands per connection whose replies are not written yet
  std::size_t longest_value = 64 * 1024;
  std::function<Statistics()> statistics = [] { return Statistics{}; };  // statistics of the front, for INFO
};

// A request for the engine. The engine's answer carries the same tag.
struct KeyRequest {
  std::uint64_t tag = 0;
  const Command* command = nullptr;
  Part part;
  std::string id, idempotency_key;  // empty: the front chooses one
  std::string tenant;               // empty: none
  Time timeout = 0;                 // in microseconds; 0: the default of the request class
};

class Conversation {
 public:
  Conversation(const FrontRules& rules, std::int64_t id);

  // Reads commands until all bytes are consumed or the pipeline limits are reached. Returns the number of
  // consumed bytes. Each command in the consumed bytes gets a reply.
  std::size_t put(std::string_view bytes);
  // Whether put() would consume any bytes now.
  bool wants_more() const;
  std::vector<KeyRequest> take_requests() { return std::exchange(requests_, {}); }

  void answered(std::uint64_t tag, engine::Response reply);
  // Another open request has the id that this request named, so nothing ran.
  void on_duplicate_id(std::uint64_t tag);

  // Bytes to write, in order. Their replies count as unwritten until written() is called.
  std::string take_output();
  bool has_output() const { return !output_.empty(); }
  void written();

  // Whether reading has ended, because of a protocol error or because the client sent QUIT. The connection
  // ends once its output is written.
  bool ended() const { return ended_; }
  bool has_invalid_input() const {
    return decoder_.failed() || is_http_;
  }  // the client did not send valid RESP
  // The client speaks HTTP. A web page can make a browser send HTTP requests to any port; the router runs
  // none of their content.
  bool is_http() const { return is_http_; }
  std::size_t open_requests() const { return open_parts_; }
  std::size_t unwritten() const { return unwritten_parts_; }
  bool is_idle() const { return !waiting_ && pending_.empty() && output_.empty() && unwritten_parts_ == 0; }
  bool in_command() const { return !decoder_.is_idle(); }
  /// Ends the conversation in the middle of a command: after the replies to all earlier commands the client
  /// receives the error, and nothing more is read.
  void abandon_command(const std::string& error);
  Version version() const { return version_; }
  std::uint64_t commands() const { return next_number_; }

 private:
  struct PendingReply {
    const Command* command = nullptr;  // nullptr: the reply is `value`
    Version version = Version::resp2;
    bool has_key = false;  // the client sent an idempotency key
    std::size_t left = 0;  // parts that are not answered yet
    std::vector<Value> parts;
    std::vector<bool> answered;       // by part
    std::vector<std::uint64_t> keys;  // by part, as hashes of the keys
    std::vector<engine::MemoryReservation> reservations;
    Value value;
  };
  // The number of open requests on a key. A command waits for an earlier command on the same key if either of
  // them is a write, because a client that pipelines a write and a read expects to read the written value.
  struct OpenRequests {
    std::size_t reads = 0, writes = 0;
  };

  void take(Value command);
  void admit(ParsedCommand parsed, const std::string& tenant);
  bool conflicts(const ParsedCommand& parsed) const;
  void local(ParsedCommand parsed);
  Value hello(const std::vector<std::string>& words);
  Value client(const std::vector<std::string>& words);
  Value authenticate(const std::string& name, const std::string& password);
  void reply(Value value);
  void set(std::uint64_t tag, Value value, engine::MemoryReservation reservation);
  void flush();
  std::string determine_tenant(const RequestOptions& options, std::string& tenant) const;

  const FrontRules& rules_;
  std::int64_t id_;
  Decoder decoder_;
  Version version_ = Version::resp2;
  std::string name_;
  const User* user_ = nullptr;
  Time timeout_ = 0;
  std::deque<PendingReply> pending_;
  std::uint64_t first_number_ = 0, next_number_ = 0;
  std::unordered_map<std::uint64_t, OpenRequests> open_by_key_;
  struct WaitingCommand {
    ParsedCommand parsed;
    std::string tenant;
  };
  std::optional<WaitingCommand>
      waiting_;  // a command that waits for open requests on its keys; no later command is read
  std::vector<KeyRequest> requests_;
  std::string output_;
  std::vector<engine::MemoryReservation> output_reservations_, unwritten_reservations_;
  std::size_t open_parts_ = 0, unwritten_parts_ = 0;
  std::size_t output_parts_ = 0, writing_parts_ = 0;
  bool ended_ = false, is_http_ = false;
};

}  // namespace streampick::resp
