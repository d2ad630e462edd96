// A blocking HTTP client of a router: one persistent connection, one request at a time. For tests,
// measurements and the testbed.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace streampick::standin {

struct HttpAsk {
  std::string request_class, key;
  std::uint64_t id = 0;  // must differ for every request
  double remaining = 2;  // seconds until the client gives up
  bool save = false;
  std::string value;  // body of a save, whose idempotency key is made from `id`
};

// Returns the request as it is sent.
std::string request_text(const HttpAsk& ask);

class HttpClient {
 public:
  // Throws boost::system::system_error. `address`: "host:port".
  explicit HttpClient(const std::string& address);
  // Sends a request and returns the status of its answer. Returns 0 if the connection ends first; the client
  // can then not be used again.
  int ask(const HttpAsk& ask);

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 16384> chunk_{};
  std::string in_;
};

}  // namespace streampick::standin
