// A client of a router in its plainest form: one connection that is kept, one request at a time, blocking.
// For tests and measurements.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace streampick::standin {

struct HttpAsk {
  std::string request_class, key;
  std::uint64_t id = 0;  // new with every request
  double remaining = 2;  // s
  bool save = false;
  std::string value;  // of a save; its id is its idempotency key too
};

// As the wire has it.
std::string request_text(const HttpAsk& ask);

class HttpClient {
 public:
  // Throws boost::system::system_error. `address`: "host:port".
  explicit HttpClient(const std::string& address);
  // Returns the answer's status; 0: the connection ended instead, and none can be asked for again.
  int ask(const HttpAsk& ask);

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 16384> chunk_{};
  std::string in_;
};

}  // namespace streampick::standin
