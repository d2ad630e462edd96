// A stand-in for a cache or origin that speaks HTTP/1.1: each GET and PUT is answered 200, or 404 where it
// holds no values. For measurements and the demo; never a part of the router.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace streampick::standin {

class HttpCache {
 public:
  // Answers each read with `value`; empty: with 404.
  HttpCache(boost::asio::io_context& io, std::string value);
  ~HttpCache();
  HttpCache(const HttpCache&) = delete;
  HttpCache& operator=(const HttpCache&) = delete;
  std::string address() const;
  std::uint64_t requests = 0;
  std::atomic<std::chrono::milliseconds> delay{};  // before each answer; may be set from another thread

 private:
  class Connection;
  void accept();
  boost::asio::io_context& io_;
  std::string value_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Connection>> connections_;
};

}  // namespace streampick::standin
