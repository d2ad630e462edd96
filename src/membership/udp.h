// The fleet's view on a socket: the thin shell round the core. One UDP socket on the daemon's loop; datagrams
// from whoever is no peer are dropped and counted, what is sent has a budget, and nothing here ever waits.
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
#include "membership/budget.h"
#include "membership/core.h"
#include "membership/settings.h"
#include "membership/wire.h"

namespace streampick::membership {

class UdpShell {
 public:
  struct Counts {
    std::array<std::uint64_t, kKinds> sent{}, received{};
    std::uint64_t bytes_sent = 0, bytes_received = 0, longest = 0;
    std::uint64_t strangers = 0;    // datagrams from addresses that are no peer
    std::uint64_t over_budget = 0;  // not sent
    std::uint64_t not_taken = 0;    // by the system: its buffer was full, or there was no way
    std::uint64_t too_long = 0;     // never sent
    std::uint64_t thrown_away = 0;  // what waited while this process slept
    std::array<std::uint64_t, kUnreadableKinds> unreadable{};
  };
  using Report = std::function<void(const Change&)>;
  // What other parts of the program have to do with the socket.
  struct Guests {
    std::function<void(const Guest&)> heard = [](const Guest&) {};
    std::function<void()> opened = [] {};
  };

  // Where the address is in use, as in an upgrade, or no descriptor is to be had, it is tried again.
  UdpShell(boost::asio::io_context& io, engine::TimeSource& time, Settings core, UdpSettings settings,
           std::uint64_t seed, Report report);
  ~UdpShell();
  UdpShell(const UdpShell&) = delete;
  UdpShell& operator=(const UdpShell&) = delete;

  // To be set before the loop runs.
  void set_guests(Guests guests);
  // Sent within this turn of the loop, if the budget allows; at most core().room_for_guests() bytes.
  void tell_for(std::uint32_t guest, Address to, std::string payload);
  void say(Facts facts);
  void set_contacts(std::vector<Address> contacts);
  // Tells the others, and closes.
  void leave();
  bool open() const { return socket_.is_open(); }
  const std::string& why_closed() const { return why_closed_; }
  const Core& core() const { return core_; }
  const Counts& counts() const { return counts_; }

 private:
  void begin();
  void wait();
  void wait_later();
  void read();
  void after();
  bool is_peer(Address address) const;
  Address from(const udp::endpoint& endpoint) const;
  std::optional<udp::endpoint> to(Address address) const;

  boost::asio::io_context& io_;
  engine::TimeSource& time_;
  Core core_;
  UdpSettings settings_;
  Report report_;
  Guests heard_by_;
  Budget budget_, guests_;
  udp::socket socket_;
  boost::asio::steady_timer retry_;
  std::unique_ptr<engine::Timer> timer_;
  std::map<udp::endpoint, std::uint32_t> numbers_;
  std::vector<char> buffer_ = std::vector<char>(2'048);
  std::string why_closed_;
  int read_errors_ = 0;  // of the last round of reads
  bool over_ = false, handing_ = false;
  Counts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace streampick::membership
