/// The server at the management address: each connection carries one command line and one answer, then
/// closes.
///
/// The server must answer under any load, also while other clients hold connections open and send nothing.
/// The number of connections is therefore limited, each connection has deadlines, and when the limit is
/// reached an idle connection is evicted, the oldest first. Used only on the event loop's thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "management/command.h"
#include "net/listener.h"

namespace streampick::management {

class CommandServer final : private net::Listener::Handler {
 public:
  /// Takes the whole answer, line ends included. The handler must call it once, within 1 s.
  using Respond = std::function<void(std::string)>;
  using Handler = std::function<void(const Command&, Respond)>;
  struct Counts {
    std::uint64_t accepted = 0;   ///< connections
    std::uint64_t answered = 0;   ///< commands
    std::uint64_t malformed = 0;  ///< lines without a valid command
    std::uint64_t evicted = 0;    ///< connections closed to make room for others
    std::uint64_t timed_out = 0;  ///< connections closed at a deadline
  };
  static constexpr std::size_t kMaxConnections = 12;

  /// Throws boost::system::system_error when it cannot listen on `address`.
  CommandServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, Handler handler);
  ~CommandServer() override;
  CommandServer(const CommandServer&) = delete;
  CommandServer& operator=(const CommandServer&) = delete;

  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const { return listener_.address(); }
  [[nodiscard]] std::size_t open_connections() const { return sessions_.size(); }
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  class Session;
  using Sessions = std::list<std::shared_ptr<Session>>;

  bool can_accept() override;
  void on_accepted(boost::asio::ip::tcp::socket socket) override;
  void on_resource_exhausted() override { evict_one(); }
  bool evict_one();
  bool evict_first_of(const std::function<bool(const Session&)>& may_be_evicted);
  void on_closed(Sessions::iterator position);

  Handler handler_;
  net::Listener listener_;
  Sessions sessions_;  ///< in the order of acceptance
  Counts counts_;
};

}  // namespace streampick::management
