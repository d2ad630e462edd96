/// \file
/// A blocking client that tells an orderly close from a reset.
#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace streampick::test {

/// Writes and reads only when it is called, without running an event loop.
struct RawClient {
  enum class Way { fin, reset };

  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  explicit RawClient(boost::asio::io_context& io) : socket(io) {}
  RawClient(boost::asio::io_context& io, const tcp::endpoint& to) : socket(io) { socket.connect(to); }
  void write(const std::string& text) {
    error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(text), ignored);
  }
  /// Writes, and returns once the other side's kernel holds all of it.
  void deliver(const std::string& text) {
    write(text);
    wait_until_delivered(socket);
  }
  /// Returns once the other side's kernel holds all that was written to the socket, or after a second if the
  /// other side has reset it or takes no more.
  static void wait_until_delivered(tcp::socket& from) {
    int waiting = 0;
    for (int turn = 0; turn < 10'000; ++turn) {
      if (::ioctl(from.native_handle(), SIOCOUTQ, &waiting) != 0 || waiting == 0) return;
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
  }
  /// Reads into `got` all that has arrived, and sets `end` if the connection has ended. Does not wait.
  void take() {
    error_code error;
    socket.non_blocking(true);
    std::array<char, 64 * 1024> chunk{};
    while (!error) got.append(chunk.data(), socket.read_some(boost::asio::buffer(chunk), error));
    if (error != boost::asio::error::would_block) end = error;
  }
  /// Number of times that `text` occurs in `got`.
  std::size_t count(const std::string& text) const {
    std::size_t occurrences = 0;
    for (std::size_t at = got.find(text); at != std::string::npos; at = got.find(text, at + text.size()))
      ++occurrences;
    return occurrences;
  }
  /// Closes the connection with a reset.
  void reset() {
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
  }
  /// Closes the connection in the given way.
  void go(Way way) { way == Way::fin ? socket.close() : reset(); }
  tcp::socket socket;
  std::string got;  ///< received so far
  error_code end;   ///< how the connection ended: end of file, or a reset
};

}  // namespace streampick::test
