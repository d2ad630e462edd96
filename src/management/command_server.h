/// The operators' address: one line to a connection, one answer, and the end.
///
/// It must answer under any load, and beside callers that hold a connection and say nothing. So the number of
/// connections is bounded, each has its deadlines, and where none is left the one that has been idle for
/// longest is evicted. For one thread, that of the event loop.
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
  /// Takes the whole answer, with the ends of its lines; called once, at once or within 1 s.
  using Respond = std::function<void(std::string)>;
  using Handler = std::function<void(const Command&, Respond)>;
  struct Counts {
    std::uint64_t accepted = 0;   ///< connections
    std::uint64_t answered = 0;   ///< commands
    std::uint64_t malformed = 0;  ///< lines that hold no command
    std::uint64_t evicted = 0;    ///< connections that gave their place to another
    std::uint64_t timed_out = 0;  ///< connections whose deadline passed
  };
  static constexpr std::size_t kMaxConnections = 12;

  /// Throws boost::system::system_error when the address can't be listened on.
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
  Sessions sessions_;  ///< in the order they were accepted
  Counts counts_;
};

}  // namespace streampick::management
