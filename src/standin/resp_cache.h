// A stand-in for a RESP cache or origin: it keeps values, answers in order, counts what it executed, and
// misbehaves as its script says. For tests, tools and measurements; never a part of the router.
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

// What happens to one command instead of a plain answer.
struct Fault {
  enum class Kind : std::uint8_t {
    none,
    close,            // executes and closes without a word
    close_unseen,     // closes without executing it
    close_mid_reply,  // executes, writes half of its reply and closes
    half_close,       // answers and ends its sending; what comes after is read and not answered
    stall,            // executes and holds its reply, and all behind it, until release()
    push_before,      // a push, then the reply
    push_after,
    push_inside,     // the reply is an array of the true one, with a push among its elements
    wrong_type,      // a map
    endless_length,  // announces 512 MB and goes on sending
    extra_reply,     // its reply twice
    noise,           // bytes that are no RESP
    error,           // executes nothing and replies `text` as an error
    failed_error,    // executes and replies `text` as an error
  };
  Kind kind = Kind::none;
  std::string text = {};
};

struct RespCacheOptions {
  bool speaks_resp3 = true;           // else HELLO is an unknown command
  bool greets = true;                 // else HELLO is refused and the connection closed
  std::string password = {};          // empty: anybody
  std::chrono::microseconds work{0};  // between a command and its reply
};

class RespCache {
 public:
  explicit RespCache(boost::asio::io_context& io, RespCacheOptions options = {});
  ~RespCache();
  RespCache(const RespCache&) = delete;
  RespCache& operator=(const RespCache&) = delete;

  boost::asio::ip::tcp::endpoint endpoint() const;
  std::string address() const;

  // Called once for each command but greetings, in the order in which they are taken up: `words` without
  // ROUTE, `nth` counts from 1 on its connection. None: plain answers.
  std::function<Fault(const std::vector<std::string>& words, std::size_t nth)> script;
  // Goes on with what stalls.
  void release();
  // A push to all connections: >2 draining.
  void say_draining();
  void push_to_all(const std::string& kind);
  void close_all();
  // Refuses new connections from here on.
  void stop_listening();

  std::map<std::string, std::string> values;
  // By id where one was told (ROUTE ID), else by the command's name and key: how often its effect was had.
  std::map<std::string, std::uint64_t> executions;
  std::uint64_t commands = 0, dropped_repeats = 0, accepted = 0, stores = 0, greetings = 0;
  std::vector<std::chrono::steady_clock::time_point> taken;  // when each command was taken up
  bool record_times = false;
  std::size_t open() const { return connections_.size(); }
  std::size_t unreplied() const;  // commands taken or waiting, on all connections

 private:
  class Connection;
  void accept();

  boost::asio::io_context& io_;
  RespCacheOptions options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint endpoint_;  // also when it listens no more
  std::list<std::shared_ptr<Connection>> connections_;
  std::map<std::string, std::string> keyed_;  // replies to writes with a KEY
};

}  // namespace streampick::standin
