/// \file
/// Runs the gossip protocol on a UDP socket in the daemon's event loop. Datagrams from addresses that are not
/// peers are dropped and counted, sending is limited by token buckets, and no call blocks. All calls must be
/// made on the event loop's thread.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "engine/time.h"
#include "membership/address.h"
#include "membership/gossip_protocol.h"
#include "membership/send_budget.h"
#include "membership/socket_settings.h"
#include "membership/wire.h"

namespace streampick::membership {

class GossipSocket {
 public:
  struct Counts {
    std::array<std::uint64_t, kMessageKinds> sent{};  ///< by MessageKind
    std::array<std::uint64_t, kMessageKinds> received{};
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t longest = 0;      ///< size of the largest sent datagram, in bytes
    std::uint64_t not_peers = 0;    ///< received from addresses that are not peers, and dropped
    std::uint64_t over_budget = 0;  ///< not sent, as the budget was used up
    std::uint64_t send_errors = 0;  ///< not sent: full socket buffer, or no route
    std::uint64_t too_long = 0;     ///< not sent, as larger than max_datagram_size
    std::uint64_t discarded = 0;    ///< received while this process was suspended for too long, and dropped
    std::array<std::uint64_t, kDecodeErrors> decode_errors{};
  };
  using OnChange = std::function<void(const Change&)>;
  /// Callbacks of the other protocols that share the socket.
  struct PayloadHandler {
    std::function<void(const ReceivedPayload&)> on_payload = [](const ReceivedPayload&) {};
    std::function<void()> on_open = [] {};
  };

  /// Opens the socket. If that fails, for instance because the old process still has the address during an
  /// upgrade, or because there is no free file descriptor, it retries until it succeeds.
  GossipSocket(boost::asio::io_context& io, engine::TimeSource& time, Settings protocol,
               SocketSettings settings, std::uint64_t seed, OnChange on_change);
  ~GossipSocket();
  GossipSocket(const GossipSocket&) = delete;
  GossipSocket& operator=(const GossipSocket&) = delete;

  /// To be called before the event loop runs.
  void set_payload_handler(PayloadHandler handler);
  /// Sends at most protocol().max_payload_size() bytes, in this iteration of the event loop. Drops them if
  /// the budget is used up.
  void send_payload(std::uint32_t protocol, Address to, std::string bytes);
  void set_facts(Facts facts);
  void set_contacts(std::vector<Address> contacts);
  /// Announces to some members that this process leaves, and closes the socket.
  void leave();
  [[nodiscard]] bool is_open() const { return socket_.is_open(); }
  /// The system's message for the failure to open the socket; empty while the socket is open.
  [[nodiscard]] const std::string& open_error() const { return open_error_; }
  [[nodiscard]] const GossipProtocol& protocol() const { return protocol_; }
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  void open();
  void wait_readable();
  void wait_after_errors();
  void on_wakeup();
  void discard_waiting();
  void receive_waiting(Time now);
  void handle_datagram(std::string_view datagram, const udp::endpoint& sender, Time now);
  void flush();
  void send(const OutgoingMessage& outgoing, Time now);
  [[nodiscard]] bool is_peer(Address address) const;
  /// 0 if the endpoint is not a peer's.
  [[nodiscard]] Address peer_address(const udp::endpoint& endpoint) const;
  [[nodiscard]] std::optional<udp::endpoint> peer_endpoint(Address address) const;

  boost::asio::io_context& io_;
  engine::TimeSource& time_;
  GossipProtocol protocol_;
  SocketSettings settings_;
  OnChange on_change_;
  PayloadHandler payload_handler_;
  SendBudget budget_;
  SendBudget payload_budget_;
  udp::socket socket_;
  boost::asio::steady_timer retry_;
  std::unique_ptr<engine::Timer> timer_;
  std::map<udp::endpoint, std::uint32_t> peer_numbers_;
  std::vector<char> buffer_;
  std::string open_error_;
  int read_errors_ = 0;  // in the last call of receive_waiting()
  bool has_left_ = false;
  bool is_dispatching_payloads_ = false;
  Counts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace streampick::membership
