#include "testbed/relay.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "membership/wire.h"

namespace streampick::testbed {

namespace asio = boost::asio;
using boost::system::error_code;
using udp = asio::ip::udp;

namespace {
constexpr std::size_t kMaxDelayedDatagrams = 50'000;
std::int64_t now_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
}  // namespace

// The socket at which the other processes reach one process.
struct Relay::Port {
  Port(Relay& owner, std::size_t process)
      : relay(owner), to(process), socket(owner.io_, {asio::ip::make_address("127.0.0.1"), 0}) {
    read();
  }
  void read() {
    socket.async_receive_from(asio::buffer(buffer), sender, [this](error_code error, std::size_t got) {
      if (error == asio::error::operation_aborted) return;
      if (!error) {
        const auto from = std::find(relay.real_.begin(), relay.real_.end(), sender);
        if (from == relay.real_.end())
          ++relay.strangers_;
        else
          relay.pass(static_cast<std::size_t>(from - relay.real_.begin()), to, {buffer.data(), got});
      }
      read();
    });
  }
  Relay& relay;
  std::size_t to;
  udp::socket socket;
  udp::endpoint sender;
  std::array<char, 2'048> buffer{};
};

Relay::Relay(asio::io_context& io, std::vector<udp::endpoint> real, std::string fleet, Faults& faults)
    : io_(io),
      real_(std::move(real)),
      fleet_(std::move(fleet)),
      faults_(faults),
      counts_(real_.size() * real_.size()) {
  for (std::size_t i = 0; i < real_.size(); ++i) ports_.push_back(std::make_unique<Port>(*this, i));
}

Relay::~Relay() = default;

std::string Relay::address(std::size_t process) const {
  return "127.0.0.1:" + std::to_string(ports_[process]->socket.local_endpoint().port());
}

void Relay::pass(std::size_t from, std::size_t to, std::string datagram) {
  Count& count = counts_[from * real_.size() + to];
  ++count.all;
  count.bytes += datagram.size();
  count.longest = std::max<std::uint64_t>(count.longest, datagram.size());
  const auto message = membership::decode(datagram, fleet_);
  if (const auto* read = std::get_if<membership::Message>(&message))
    ++count.datagrams[static_cast<std::size_t>(read->kind())];
  for (const std::int64_t after : faults_.pass(from, to, datagram, now_us())) {
    if (under_way_ >= kMaxDelayedDatagrams) return;
    error_code ignored;
    // Sent from the relay's socket for the sender, because the receiver knows the sender by that address.
    if (after <= 0) {
      ports_[from]->socket.send_to(asio::buffer(datagram), real_[to], 0, ignored);
      continue;
    }
    ++under_way_;
    auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(after));
    timer->async_wait([this, timer, from, to, datagram](error_code cancelled) {
      --under_way_;
      error_code unsent;
      if (!cancelled) ports_[from]->socket.send_to(asio::buffer(datagram), real_[to], 0, unsent);
    });
  }
}

}  // namespace streampick::testbed
