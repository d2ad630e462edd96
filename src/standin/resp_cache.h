// A stand-in for a RESP cache server or origin. It stores values, answers commands in order, counts what it
// executed, and injects the faults that its script returns. For tests, tools and measurements; not part of
// the router.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace streampick::standin {

// What happens to one command instead of a normal reply.
struct Fault {
  enum class Kind : std::uint8_t {
    none,
    close,            // executes the command and closes the connection without a reply
    close_unseen,     // closes the connection without executing the command
    close_mid_reply,  // executes the command, writes half of the reply and closes the connection
    half_close,       // replies and shuts down sending; later commands are read and not answered
    stall,            // executes the command and holds its reply, and all later ones, until release()
    push_before,      // sends a push, then the reply; push_after: the reply, then a push
    push_after,
    push_inside,     // the reply is an array that contains the correct reply and a push
    wrong_type,      // the reply is a map
    endless_length,  // announces a string of 512 MB and sends without end
    extra_reply,     // sends the reply twice
    noise,           // sends bytes that are not RESP
    error,           // replies with the error `text` without executing the command
    failed_error,    // executes the command and replies with the error `text`
  };
  Kind kind = Kind::none;
  std::string text = {};
};

struct RespCacheOptions {
  bool speaks_resp3 = true;           // false: HELLO is an unknown command
  bool greets = true;                 // false: HELLO is refused and the connection closed
  std::string password = {};          // empty: no password needed
  std::chrono::microseconds work{0};  // time between a command and its reply
};

class RespCache {
 public:
  explicit RespCache(boost::asio::io_context& io, RespCacheOptions options = {});
  ~RespCache();
  RespCache(const RespCache&) = delete;
  RespCache& operator=(const RespCache&) = delete;

  boost::asio::ip::tcp::endpoint endpoint() const;
  std::string address() const;

  // Called once for each command except HELLO and AUTH, in the order of execution. `words` lacks the ROUTE
  // prefix; `nth` counts from 1 on each connection. Unset: all replies are normal.
  std::function<Fault(const std::vector<std::string>& words, std::size_t nth)> script;
  // Sends the held replies of stalled connections and resumes them.
  void release();
  // Sends the push `draining` to all connections.
  void say_draining();
  void push_to_all(const std::string& kind);
  void close_all();
  // Refuses new connections from now on.
  void stop_listening();

  std::map<std::string, std::string> values;
  // Number of executions by request id (ROUTE ID), or by the command's name and key if it has no id.
  std::map<std::string, std::uint64_t> executions;
  std::uint64_t commands = 0, dropped_repeats = 0, accepted = 0, stores = 0, greetings = 0;
  // When each command was executed, if `record_times` is set.
  std::vector<std::chrono::steady_clock::time_point> taken;
  bool record_times = false;
  std::size_t open() const { return connections_.size(); }
  std::size_t unreplied() const;  // commands without a reply yet, on all connections

 private:
  class Connection;
  void accept();

  boost::asio::io_context& io_;
  RespCacheOptions options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint endpoint_;  // stays valid after stop_listening()
  std::list<std::shared_ptr<Connection>> connections_;
  std::map<std::string, std::string> keyed_;  // replies to writes by their ROUTE KEY, repeated for duplicates
};

}  // namespace streampick::standin
