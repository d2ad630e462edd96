#include "standin/http_client.h"

#include <boost/asio/write.hpp>
#include <cstdio>
#include <cstdlib>

namespace streampick::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string request_text(const HttpAsk& ask) {
  std::array<char, 17> id{};
  std::snprintf(id.data(), id.size(), "%016llx", static_cast<unsigned long long>(ask.id));
  std::array<char, 32> remaining{};
  std::snprintf(remaining.data(), remaining.size(), "%.3f", ask.remaining);
  std::string out = (ask.save ? "PUT /" : "GET /") + ask.request_class + "/" + ask.key +
                    " HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id.data() + "\r\nX-Lane: " + ask.request_class +
                    "\r\nX-Remaining: " + remaining.data() + "\r\n";
  if (ask.save)
    out += std::string("Idempotency-Key: k") + id.data() +
           "\r\nContent-Length: " + std::to_string(ask.value.size()) + "\r\n";
  return out + "\r\n" + ask.value;
}

HttpClient::HttpClient(const std::string& address) : socket_(io_) {
  const std::size_t colon = address.rfind(':');
  socket_.connect({asio::ip::make_address(address.substr(0, colon)),
                   static_cast<unsigned short>(std::atoi(address.c_str() + colon + 1))});
  socket_.set_option(tcp::no_delay(true));
}

int HttpClient::ask(const HttpAsk& ask) {
  boost::system::error_code error;
  asio::write(socket_, asio::buffer(request_text(ask)), error);
  for (in_.clear();;) {
    const std::size_t got = socket_.read_some(asio::buffer(chunk_), error);
    if (error) return 0;
    in_.append(chunk_.data(), got);
    const std::size_t head = in_.find("\r\n\r\n");
    if (head == std::string::npos) continue;
    const std::size_t at = in_.find("Content-Length: ");
    const std::size_t length = at < head ? std::strtoul(in_.c_str() + at + 16, nullptr, 10) : 0;
    if (in_.size() >= head + 4 + length) return std::atoi(in_.c_str() + 9);
  }
}

}  // namespace streampick::standin
