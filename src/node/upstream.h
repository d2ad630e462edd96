// The connections to one server: attempts go out on them, outcomes come back. One request at a time
// on each connection; a connection is dear to the server, so it is kept and used again.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/verb.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "clock.h"
#include "streampick/router.h"

namespace streampick::node {

// The part of a client's request that goes on to a server, unchanged.
struct Forward {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  std::string target, txn, idempotency_key, content_type, body;
};

// A part of the memory set aside for large bodies, given back when its holder goes.
class Lease {
 public:
  Lease() = default;
  Lease(std::shared_ptr<std::size_t> held, std::size_t bytes) : held_(std::move(held)), bytes_(bytes) {
    *held_ += bytes_;
  }
  Lease(Lease&& other) noexcept : held_(std::move(other.held_)), bytes_(other.bytes_) {}
  Lease& operator=(Lease&& other) noexcept {
    std::swap(held_, other.held_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~Lease() {
    if (held_) *held_ -= bytes_;
  }

 private:
  std::shared_ptr<std::size_t> held_;
  std::size_t bytes_ = 0;
};

struct Answer {
  std::string content_type, body;
  Lease lease;  // of a body over the usual size
};

struct AttemptId {
  RequestId request = 0;
  std::uint32_t number = 0;
  friend bool operator==(const AttemptId&, const AttemptId&) = default;
};

// Shared by the connections to all servers.
struct UpstreamShared {
  virtual ~UpstreamShared() = default;
  // Once for each attempt that was not forgotten, and never from within send().
  virtual void attempt_ended(AttemptId attempt, Outcome outcome, Answer answer) = 0;
  // Called when the descriptors for servers are used up: closes an idle connection somewhere.
  virtual void free_a_connection() = 0;

  std::vector<char> scratch = std::vector<char>(64 * 1024);  // what is read goes here first

  // Bytes of large bodies that are held at this moment, from the first one read to the last one written.
  std::shared_ptr<std::size_t> large = std::make_shared<std::size_t>(0);
  std::size_t most_large = 8 * 1024 * 1024;
  std::size_t connections = 0, most_connections = 0;
  Time dial_time_out = 0;
  std::uint64_t dials = 0;
};

class Upstream {
 public:
  Upstream(boost::asio::io_context& io, Clock& clock, UpstreamShared& shared, std::string name);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  void set_address(const boost::asio::ip::tcp::endpoint& address);
  // No request's first byte is written at this time or later; kNever lifts it.
  void send_nothing_from(Time at) { nothing_from_ = at; }
  Time nothing_from() const { return nothing_from_; }

  void send(AttemptId attempt, std::shared_ptr<const Forward> forward, Time expires);
  // Stops the attempt, closing its connection if it was on one. No outcome follows.
  void forget(AttemptId attempt);
  void close_idle(Time unused_since);  // those last used then or before
  bool close_oldest_idle();
  const boost::asio::ip::tcp::endpoint& address() const { return address_; }

 private:
  class Connection;
  using Link = std::shared_ptr<Connection>;
  struct Job {
    AttemptId attempt;
    std::shared_ptr<const Forward> forward;
    Time expires = 0;
  };

  void dial();
  void start(const Link& link, Job job);
  void came_free(const Link& link);
  void dial_failed(const Link& link);
  void drop(const Link& link);
  void end(AttemptId attempt, Outcome outcome, Answer answer = {});
  void end_soon(AttemptId attempt, Outcome outcome);

  boost::asio::io_context& io_;
  Clock& clock_;
  UpstreamShared& shared_;
  std::string name_;
  boost::asio::ip::tcp::endpoint address_;
  Time nothing_from_ = kNever;
  std::vector<Link> idle_;  // the most recently used last
  std::unordered_set<Link> busy_, dialling_;
  std::deque<Job> waiting_;      // for a connection
  std::shared_ptr<bool> alive_;  // posted handlers hold it weakly
};

}  // namespace streampick::node
