// A stand-in for a cache server or origin that speaks HTTP/1.1. It answers GET and PUT with 200, or with 404
// if it holds no value. For measurements, tests and the testbed; not part of the router.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>

namespace streampick::standin {

class HttpCache {
 public:
  // Answers each read with `value`, or with 404 if `value` is empty.
  HttpCache(boost::asio::io_context& io, std::string value);
  ~HttpCache();
  HttpCache(const HttpCache&) = delete;
  HttpCache& operator=(const HttpCache&) = delete;
  std::string address() const;
  std::uint64_t requests = 0;
  std::uint64_t accepted_connections = 0;
  std::atomic<std::chrono::milliseconds> delay{};  // time before each answer; may be set from another thread
  // Limits the server to `slots` requests in progress, each for `delay`, and `line` queued requests; further
  // requests are answered with 503. 0 slots: no limit. Must be set before the first request.
  std::size_t slots = 0, line = 0;
  std::uint64_t turned_away = 0;
  // `working` counts the requests in progress: from when a request is read until it is answered or its
  // connection ends. `most_working` is their maximum since it was last set to 0. Both may be used from
  // another thread.
  std::atomic<std::size_t> working{0}, most_working{0};
  std::uint64_t keys = 0;  // lacks each key whose hash is a multiple of this number; 0: holds all keys

 private:
  class Connection;
  void accept();
  void came_free();
  boost::asio::io_context& io_;
  std::string value_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::size_t at_work_ = 0;
  std::deque<std::weak_ptr<Connection>> in_line_;
};

}  // namespace streampick::standin
